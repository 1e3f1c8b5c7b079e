package audit

import (
	"slices"
	"time"
)

const (
	fenceParts = 3                       // two of three have to be ahead before the third is shut out
	backAfter  = time.Second             // it has what the others have for so long before it takes writes again
	freshFor   = 5 * time.Second         // a telling that is older says nothing of what its gateway has now
	wakeMost   = 2 * time.Second         // who stood still and hears of nobody goes on after that
	wakeLeast  = 1500 * time.Millisecond // who stood still for less was not away
)

// Fence decides whether this process shuts itself out: it takes no writes, and no new clients, while it acts on knowledge
// that it knows to be old and cannot bring up. It is a lease of sorts, which the process takes from itself: nobody else can.
// Use NewFence.
type Fence struct {
	bound   time.Duration
	since   time.Duration // behind two thirds since then; 0: it is not
	backAt  time.Duration // it has caught up and is let back then
	on      bool
	wokeAt  time.Duration // it stood still until then and has heard nothing since; 0: it has
	lost    time.Duration
	word    *bool // operators' word
	wordFor int64 // the list for which the word to go on holds
}

// NewFence is one that shuts out after being behind for longer than bound.
func NewFence(bound time.Duration) *Fence { return &Fence{bound: bound} }

// Override takes an operator's word. To go on is for the list that this process has: the next one is judged anew.
func (f *Fence) Override(out bool, list int64) { f.word, f.wordFor = &out, list }

// NotePause notes how long the process has stood still, all in all. It is to be called before anything is sent; true: this
// process was away for so long that it cannot know what has changed.
func (f *Fence) NotePause(now, lost time.Duration) bool {
	away := lost - f.lost
	if f.lost = lost; away >= wakeLeast {
		f.wokeAt = now
	}
	return f.wokeAt > 0
}

// PauseEnd is until when this process stood still, where it has heard nothing since; 0: it has.
func (f *Fence) PauseEnd() time.Duration { return f.wokeAt }

// Tick judges. own is the list that this process acts on, others what the rest tell; members are those of the view.
func (f *Fence) Tick(now time.Duration, own int64, others []KnownVersion, members []string) {
	lists := []int64{own}
	heard := false
	for _, o := range others {
		if slices.Contains(members, o.Name) && now-o.ReceivedAt < freshFor {
			lists = append(lists, o.ListVersion)
			heard = heard || o.ReceivedAt > f.wokeAt
		}
	}
	if heard || now-f.wokeAt >= wakeMost || len(members) < 2 {
		f.wokeAt = 0
	}
	// The greatest list that two thirds have, of all members: who is silent has nothing. So no more than a third can be
	// behind it, and two processes cannot shut each other out, for lists are in one order.
	slices.Sort(lists)
	slices.Reverse(lists)
	most := max(len(members), len(lists))
	need := (most*(fenceParts-1) + fenceParts - 1) / fenceParts
	behind := len(lists) >= need && lists[need-1] > own
	switch {
	case !behind:
		f.since = 0
		if f.on && f.backAt == 0 {
			f.backAt = now + backAfter
		}
		if f.backAt > 0 && now >= f.backAt {
			f.on, f.backAt = false, 0
		}
	case f.since == 0:
		f.since, f.backAt = now, 0
	case now-f.since >= f.bound:
		f.on, f.backAt = true, 0
	}
	if f.word != nil && !*f.word && f.wordFor != own {
		f.word = nil
	}
}

// Fenced tells whether this process is shut out, and why.
func (f *Fence) Fenced() (out bool, why string) {
	switch {
	case f.word != nil && *f.word:
		return true, "an operator shut it out"
	case f.word != nil:
		return false, ""
	case f.on:
		return true, "its list is older than that of two thirds of the fleet, and cannot be brought up"
	case f.wokeAt > 0:
		return true, "it stood still and has not heard since"
	}
	return false, ""
}
