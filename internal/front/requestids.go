// The ids of requests that may still run.

package front

import "lilaccove/internal/gateway"

// maxAbandonedIDs bounds the memory for the ids of requests whose clients have left.
const maxAbandonedIDs = 4096

// SharedIDs are the ids of requests that the processes of this gateway share during an upgrade.
type SharedIDs interface {
	// Claim reserves an id; it returns false if another process has it in use.
	Claim(id string) bool
	// Release ends the use of a claimed id.
	Release(id string)
}

// requestIDs are the ids of requests that are unanswered, and of those that may still run although their clients have left. Databases could not
// tell two requests with the same id apart, and a write would run twice.
type requestIDs struct {
	used      map[string]struct{}
	abandoned int // how many of used belong to requests whose clients have left
	shared    SharedIDs
}

// claim reserves the id of a request; it returns false if it is in use.
func (ids *requestIDs) claim(id string) bool {
	if _, used := ids.used[id]; used || ids.shared != nil && !ids.shared.Claim(id) {
		return false
	}
	ids.used[id] = struct{}{}
	return true
}

// release ends the use of an id.
func (ids *requestIDs) release(id string) {
	delete(ids.used, id)
	if ids.shared != nil {
		ids.shared.Release(id)
	}
}

// ShareIDs shares the ids of requests with other processes of this gateway. It must be called before the first request.
func (f *Front) ShareIDs(shared SharedIDs) { f.ids.shared = shared }

// abandonID releases the id of a request whose client has left: when its deadline is over, if a database may have received it.
func (f *Front) abandonID(request *gateway.Request) {
	if !request.Started() || request.Deadline <= f.loop.Now() || f.ids.abandoned >= maxAbandonedIDs {
		f.ids.release(request.Name)
		return
	}
	f.ids.abandoned++
	f.loop.At(request.Deadline, func() {
		f.ids.abandoned--
		f.ids.release(request.Name)
	})
}
