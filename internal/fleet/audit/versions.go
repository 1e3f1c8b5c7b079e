// Package audit tells which gateway acts on which versions, who is behind, and what each did: spans of acts, chained by
// hash, and the findings that follow from those of all gateways. It is made of state machines without input or output.
package audit

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	tellEvery = time.Second
	tellTo    = 2
	perSend   = 8
	keepAfter = time.Minute // what was heard of one that says nothing any more,
	// and so much longer for each gateway of the fleet: two messages with nine versions come in each second, so that one is renewed
	// every N/18 s in the mean; four times that.
	keepEach  = 200 * time.Millisecond
	knownMost = 4096
	asksMost  = 3 // that bring nothing newer, after which the newer version is taken for another service's
)

// Version is what one process acts on.
type Version struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Session uint64 `cbor:"2,keyasint" json:"session"`
	Count   uint64 `cbor:"3,keyasint" json:"count"`           // rises with each telling: the greater is the newer
	List    int64  `cbor:"4,keyasint" json:"list"`            // the list of databases, discovery's seq
	Words   uint64 `cbor:"5,keyasint" json:"words"`           // digest of operators' words
	View    uint64 `cbor:"6,keyasint" json:"view"`            // digest of the stable view
	Config  string `cbor:"7,keyasint" json:"config"`          // digest of the settings, without what is each gateway's own
	File    string `cbor:"8,keyasint" json:"file"`            // digest of the fleet file, likewise
	Build   string `cbor:"9,keyasint,omitempty" json:"build"` // of the program
	AgeMS   uint32 `cbor:"10,keyasint,omitempty" json:"-"`    // in a message: how long ago its gateway told it
}

// Sound tells whether a version can be one.
func (v *Version) Sound() bool {
	return v.Name != "" && len(v.Name) <= 64 && v.List >= 0 && len(v.Config)+len(v.File)+len(v.Build) <= 256
}

// Message is what one gateway tells another: its own version and some that it heard of.
type Message struct {
	Versions []Version `cbor:"1,keyasint"`
	Stamp    Stamp     `cbor:"2,keyasint,omitempty"` // of the sender's clock
}

// Send is a message to a member.
type Send struct {
	To      string
	Message Message
}

// Known is a version as this gateway knows it.
type Known struct {
	Version
	Heard  time.Duration // when it was last heard of
	Told   time.Duration // when its gateway told it, at the earliest, whoever passed it on
	Behind time.Duration // since when others have had a newer list; 0: it has the newest
}

// Config is what a machine is told at its start.
type Config struct {
	Name  string
	Bound time.Duration // so long a list may be behind before it is asked for out of turn
	Pace  time.Duration // a straggler waits up to so long for each gateway of the fleet, so that not all ask at once
	Seed  uint64
}

// Versions are those of the fleet, as one gateway knows them. Use New.
type Versions struct {
	cfg    Config
	rnd    *rand.Rand
	own    Version
	others map[string]*Known
	live   []string
	next   time.Duration
	behind time.Duration // since when
	askAt  time.Duration
	asks   int
	given  int64 // a list that others had and that discovery does not tell
	asked  uint64
}

// New makes one that knows nobody.
func New(cfg Config) *Versions {
	return &Versions{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x617564)), others: map[string]*Known{}}
}

// Live tells which gateways can be told.
func (v *Versions) Live(names []string) {
	v.live = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == v.cfg.Name })
}

// Set tells what this process acts on now.
func (v *Versions) Set(own Version) {
	own.Name, own.Count = v.cfg.Name, v.own.Count+1
	if own.List > v.own.List {
		v.asks, v.next = 0, 0 // others are told at once
	}
	v.own = own
}

// Receive takes in what another gateway tells.
func (v *Versions) Receive(now time.Duration, msg Message) {
	for _, x := range msg.Versions {
		told := now - time.Duration(x.AgeMS)*time.Millisecond
		x.AgeMS = 0
		o := v.others[x.Name]
		switch {
		case x.Name == v.cfg.Name || !x.Sound() || told+v.keep() <= now:
		case o == nil && len(v.others) < knownMost:
			v.others[x.Name] = &Known{Version: x, Heard: now, Told: told}
		case o != nil && o.before(x, told):
			o.Version, o.Heard, o.Told = x, now, max(o.Told, told)
		}
	}
}

// keep is for how long a version is known that its gateway does not tell any more.
func (v *Versions) keep() time.Duration {
	return keepAfter + time.Duration(len(v.live))*keepEach
}

// before tells whether a version is newer than this one: by its count, or as another process of the gateway told it later.
func (k *Known) before(x Version, told time.Duration) bool {
	if x.Session == k.Session {
		return x.Count > k.Count
	}
	return told > k.Told
}

// newest is the newest list that anybody lately told of.
func (v *Versions) newest() (list int64) {
	list = v.own.List
	for _, o := range v.others {
		list = max(list, o.List)
	}
	return list
}

// Tick tells others and watches for being behind. ask: discovery is to be asked out of turn. It never leads to more than
// that: what is in a newer list is discovery's to tell.
func (v *Versions) Tick(now time.Duration) (out []Send, ask bool) {
	for n, o := range v.others {
		if o.Told+v.keep() <= now {
			delete(v.others, n)
		}
	}
	newest := v.newest()
	for _, o := range v.others {
		if o.List >= newest {
			o.Behind = 0
		} else if o.Behind == 0 {
			o.Behind = now
		}
	}
	switch {
	case v.own.List >= newest || newest <= v.given:
		v.behind, v.asks = 0, 0
	case v.behind == 0:
		v.behind = now
		v.askAt = now + v.cfg.Bound + v.spread()
	case now >= v.askAt && v.asks >= asksMost:
		v.given = newest
	case now >= v.askAt:
		v.asks++
		v.asked++
		v.askAt = now + 2*v.cfg.Bound + v.spread()
		ask = true
	}
	if now >= v.next && len(v.live) > 0 {
		v.next = now + tellEvery/2 + time.Duration(v.rnd.Int64N(int64(tellEvery)))
		v.own.Count++
		msg := Message{Versions: []Version{v.own}}
		list := v.All()
		for _, i := range v.rnd.Perm(len(list)) {
			if k := list[i]; k.Name != v.cfg.Name && len(msg.Versions) < perSend {
				k.AgeMS = uint32(max(0, now-k.Told) / time.Millisecond)
				msg.Versions = append(msg.Versions, k.Version)
			}
		}
		for _, i := range v.rnd.Perm(len(v.live))[:min(tellTo, len(v.live))] {
			out = append(out, Send{To: v.live[i], Message: msg})
		}
	}
	return out, ask
}

// spread is a random part of the time in which a fleet of stragglers asks one after the other.
func (v *Versions) spread() time.Duration {
	return time.Duration(v.rnd.Int64N(int64(v.cfg.Pace)*int64(len(v.live)+1) + 1))
}

// Behind tells since when this process has had an older list than others, and how often it asked for that; 0: it has the
// newest.
func (v *Versions) Behind() (since time.Duration, asked uint64) { return v.behind, v.asked }

// Others are the versions of the other gateways.
func (v *Versions) Others() (list []Known) {
	for _, o := range v.others {
		list = append(list, *o)
	}
	return list
}

// All are the versions of the fleet, this process's among them, sorted by name.
func (v *Versions) All() []Known {
	list := append(v.Others(), Known{Version: v.own, Behind: v.behind})
	slices.SortFunc(list, func(a, b Known) int { return strings.Compare(a.Name, b.Name) })
	return list
}
