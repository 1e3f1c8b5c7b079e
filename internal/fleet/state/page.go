package state

// bytesPerSend is how many bytes the items of one message take: with its envelope it goes into a datagram of 1200.
const bytesPerSend = 1000

// page is how many items of a list the next message takes: most at most, of bytesPerSend together, but one at least if there
// are any.
func page[T any](items []T, most int, size func(T) int) (n int) {
	bytes := 0
	for n < min(len(items), most) {
		bytes += size(items[n])
		if n > 0 && bytes > bytesPerSend {
			break
		}
		n++
	}
	return n
}
