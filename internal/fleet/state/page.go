package state

// maxItemBytes limits the total size of the items in one message, so that with its envelope it fits into a datagram of 1200
// bytes.
const maxItemBytes = 1000

// itemsThatFit returns how many leading items the next message carries: at most limit, at most maxItemBytes together, but
// at least one if there are any.
func itemsThatFit[T any](items []T, limit int, size func(T) int) (count int) {
	total := 0
	for count < min(len(items), limit) {
		total += size(items[count])
		if count > 0 && total > maxItemBytes {
			break
		}
		count++
	}
	return count
}
