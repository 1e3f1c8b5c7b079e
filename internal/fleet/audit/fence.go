package audit

import (
	"slices"
	"time"
)

const (
	quorumParts     = 3                       // a gateway is fenced only if two thirds of the fleet are ahead of it
	unfenceDelay    = time.Second             // how long it has had the current list before it accepts writes again
	maxReportAge    = 5 * time.Second         // older reports say nothing about the list that a gateway has now
	pauseFenceLimit = 2 * time.Second         // a gateway that receives nothing after a pause goes on after that
	minPause        = 1500 * time.Millisecond // shorter pauses are ignored
)

// Fence decides whether this process fences itself: it accepts no writes and no new clients while it acts on information
// that it knows to be outdated and cannot update. It resembles a lease that only the process itself can revoke. Use
// NewFence.
type Fence struct {
	maxLag       time.Duration
	laggingSince time.Duration // since when two thirds have had a newer list; 0: they have not
	unfenceAt    time.Duration // when the fence is lifted, as the list has caught up; 0: not planned
	fenced       bool
	pauseEnd     time.Duration // end of the last pause if nothing has been received since; 0: something has
	totalPause   time.Duration
	override     *bool // of an operator
	overrideList int64 // the list for which an override that lifts the fence holds
}

// NewFence returns a Fence that fences the process once its list has lagged for maxLag.
func NewFence(maxLag time.Duration) *Fence { return &Fence{maxLag: maxLag} }

// Override sets an operator override. One that lifts the fence holds only for the given list: with the next one the fence
// decides again.
func (f *Fence) Override(fenced bool, list int64) { f.override, f.overrideList = &fenced, list }

// NotePause takes the total time for which the process has been paused. It must be called before anything is sent. It
// reports whether this process was paused for so long that it cannot know what has changed.
func (f *Fence) NotePause(now, totalPause time.Duration) bool {
	pause := totalPause - f.totalPause
	if f.totalPause = totalPause; pause >= minPause {
		f.pauseEnd = now
	}
	return f.pauseEnd > 0
}

// PauseEnd returns when the last pause ended if nothing has been received since; 0: something has.
func (f *Fence) PauseEnd() time.Duration { return f.pauseEnd }

// Tick updates the fence. ownList is the list version that this process acts on, others are the reports of the other
// gateways, and members are those of the view.
func (f *Fence) Tick(now time.Duration, ownList int64, others []KnownVersion, members []string) {
	lists := []int64{ownList}
	received := false
	for _, other := range others {
		if slices.Contains(members, other.Name) && now-other.ReceivedAt < maxReportAge {
			lists = append(lists, other.ListVersion)
			received = received || other.ReceivedAt > f.pauseEnd
		}
	}
	if received || now-f.pauseEnd >= pauseFenceLimit || len(members) < 2 {
		f.pauseEnd = 0
	}
	// The greatest list that two thirds of all members have; silent members count as having none. So no more than a third
	// can lag behind it, and two processes cannot fence each other, because list versions are totally ordered.
	slices.Sort(lists)
	slices.Reverse(lists)
	memberCount := max(len(members), len(lists))
	quorum := (memberCount*(quorumParts-1) + quorumParts - 1) / quorumParts
	lagging := len(lists) >= quorum && lists[quorum-1] > ownList
	switch {
	case !lagging:
		f.laggingSince = 0
		if f.fenced && f.unfenceAt == 0 {
			f.unfenceAt = now + unfenceDelay
		}
		if f.unfenceAt > 0 && now >= f.unfenceAt {
			f.fenced, f.unfenceAt = false, 0
		}
	case f.laggingSince == 0:
		f.laggingSince, f.unfenceAt = now, 0
	case now-f.laggingSince >= f.maxLag:
		f.fenced, f.unfenceAt = true, 0
	}
	if f.override != nil && !*f.override && f.overrideList != ownList {
		f.override = nil
	}
}

// Fenced reports whether this process is fenced, and why.
func (f *Fence) Fenced() (fenced bool, reason string) {
	switch {
	case f.override != nil && *f.override:
		return true, "fenced by an operator"
	case f.override != nil:
		return false, ""
	case f.fenced:
		return true, "its list is older than that of two thirds of the fleet and cannot be updated"
	case f.pauseEnd > 0:
		return true, "it was paused and has received nothing since"
	}
	return false, ""
}
