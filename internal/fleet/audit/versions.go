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
	Name            string `cbor:"1,keyasint" json:"name"`
	Session         uint64 `cbor:"2,keyasint" json:"session"`
	Count           uint64 `cbor:"3,keyasint" json:"count"`           // rises with each telling: the greater is the newer
	ListVersion     int64  `cbor:"4,keyasint" json:"list"`            // the list of databases, discovery's seq
	OverridesDigest uint64 `cbor:"5,keyasint" json:"words"`           // digest of operators' words
	ViewDigest      uint64 `cbor:"6,keyasint" json:"view"`            // digest of the stable view
	ConfigDigest    string `cbor:"7,keyasint" json:"config"`          // digest of the settings, without what is each gateway's own
	FleetFileDigest string `cbor:"8,keyasint" json:"file"`            // digest of the fleet file, likewise
	Build           string `cbor:"9,keyasint,omitempty" json:"build"` // of the program
	AgeMS           uint32 `cbor:"10,keyasint,omitempty" json:"-"`    // in a message: how long ago its gateway told it
}

// Valid tells whether a version can be one.
func (v *Version) Valid() bool {
	return v.Name != "" && len(v.Name) <= 64 && v.ListVersion >= 0 && len(v.ConfigDigest)+len(v.FleetFileDigest)+len(v.Build) <= 256
}

// VersionsMessage is what one gateway tells another: its own version and some that it heard of.
type VersionsMessage struct {
	Versions  []Version `cbor:"1,keyasint"`
	Timestamp Timestamp `cbor:"2,keyasint,omitempty"` // of the sender's clock
}

// VersionsSend is a message to a member.
type VersionsSend struct {
	To      string
	Message VersionsMessage
}

// KnownVersion is a version as this gateway knows it.
type KnownVersion struct {
	Version
	ReceivedAt   time.Duration // when it was last heard of
	SentAt       time.Duration // when its gateway told it, at the earliest, whoever passed it on
	LaggingSince time.Duration // since when others have had a newer list; 0: it has the newest
}

// VersionsConfig is what a machine is told at its start.
type VersionsConfig struct {
	Name          string
	MaxLag        time.Duration // so long a list may be behind before it is asked for out of turn
	RequestSpread time.Duration // a straggler waits up to so long for each gateway of the fleet, so that not all ask at once
	Seed          uint64
}

// Versions are those of the fleet, as one gateway knows them. Use New.
type Versions struct {
	cfg    VersionsConfig
	rnd    *rand.Rand
	own    Version
	others map[string]*KnownVersion
	live   []string
	next   time.Duration
	behind time.Duration // since when
	askAt  time.Duration
	asks   int
	given  int64 // a list that others had and that discovery does not tell
	asked  uint64
}

// NewVersions makes one that knows nobody.
func NewVersions(cfg VersionsConfig) *Versions {
	return &Versions{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x617564)), others: map[string]*KnownVersion{}}
}

// SetMembers tells which gateways can be told.
func (v *Versions) SetMembers(names []string) {
	v.live = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == v.cfg.Name })
}

// Set tells what this process acts on now.
func (v *Versions) Set(own Version) {
	own.Name, own.Count = v.cfg.Name, v.own.Count+1
	if own.ListVersion > v.own.ListVersion {
		v.asks, v.next = 0, 0 // others are told at once
	}
	v.own = own
}

// Receive takes in what another gateway tells.
func (v *Versions) Receive(now time.Duration, msg VersionsMessage) {
	for _, x := range msg.Versions {
		told := now - time.Duration(x.AgeMS)*time.Millisecond
		x.AgeMS = 0
		o := v.others[x.Name]
		switch {
		case x.Name == v.cfg.Name || !x.Valid() || told+v.keep() <= now:
		case o == nil && len(v.others) < knownMost:
			v.others[x.Name] = &KnownVersion{Version: x, ReceivedAt: now, SentAt: told}
		case o != nil && o.before(x, told):
			o.Version, o.ReceivedAt, o.SentAt = x, now, max(o.SentAt, told)
		}
	}
}

// keep is for how long a version is known that its gateway does not tell any more.
func (v *Versions) keep() time.Duration {
	return keepAfter + time.Duration(len(v.live))*keepEach
}

// before tells whether a version is newer than this one: by its count, or as another process of the gateway told it later.
func (k *KnownVersion) before(x Version, told time.Duration) bool {
	if x.Session == k.Session {
		return x.Count > k.Count
	}
	return told > k.SentAt
}

// newest is the newest list that anybody lately told of.
func (v *Versions) newest() (list int64) {
	list = v.own.ListVersion
	for _, o := range v.others {
		list = max(list, o.ListVersion)
	}
	return list
}

// Tick tells others and watches for being behind. ask: discovery is to be asked out of turn. It never leads to more than
// that: what is in a newer list is discovery's to tell.
func (v *Versions) Tick(now time.Duration) (out []VersionsSend, ask bool) {
	for n, o := range v.others {
		if o.SentAt+v.keep() <= now {
			delete(v.others, n)
		}
	}
	newest := v.newest()
	for _, o := range v.others {
		if o.ListVersion >= newest {
			o.LaggingSince = 0
		} else if o.LaggingSince == 0 {
			o.LaggingSince = now
		}
	}
	switch {
	case v.own.ListVersion >= newest || newest <= v.given:
		v.behind, v.asks = 0, 0
	case v.behind == 0:
		v.behind = now
		v.askAt = now + v.cfg.MaxLag + v.spread()
	case now >= v.askAt && v.asks >= asksMost:
		v.given = newest
	case now >= v.askAt:
		v.asks++
		v.asked++
		v.askAt = now + 2*v.cfg.MaxLag + v.spread()
		ask = true
	}
	if now >= v.next && len(v.live) > 0 {
		v.next = now + tellEvery/2 + time.Duration(v.rnd.Int64N(int64(tellEvery)))
		v.own.Count++
		msg := VersionsMessage{Versions: []Version{v.own}}
		list := v.All()
		for _, i := range v.rnd.Perm(len(list)) {
			if k := list[i]; k.Name != v.cfg.Name && len(msg.Versions) < perSend {
				k.AgeMS = uint32(max(0, now-k.SentAt) / time.Millisecond)
				msg.Versions = append(msg.Versions, k.Version)
			}
		}
		for _, i := range v.rnd.Perm(len(v.live))[:min(tellTo, len(v.live))] {
			out = append(out, VersionsSend{To: v.live[i], Message: msg})
		}
	}
	return out, ask
}

// spread is a random part of the time in which a fleet of stragglers asks one after the other.
func (v *Versions) spread() time.Duration {
	return time.Duration(v.rnd.Int64N(int64(v.cfg.RequestSpread)*int64(len(v.live)+1) + 1))
}

// Lagging tells since when this process has had an older list than others, and how often it asked for that; 0: it has the
// newest.
func (v *Versions) Lagging() (since time.Duration, asked uint64) { return v.behind, v.asked }

// Others are the versions of the other gateways.
func (v *Versions) Others() (list []KnownVersion) {
	for _, o := range v.others {
		list = append(list, *o)
	}
	return list
}

// All are the versions of the fleet, this process's among them, sorted by name.
func (v *Versions) All() []KnownVersion {
	list := append(v.Others(), KnownVersion{Version: v.own, LaggingSince: v.behind})
	slices.SortFunc(list, func(a, b KnownVersion) int { return strings.Compare(a.Name, b.Name) })
	return list
}
