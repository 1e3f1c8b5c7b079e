// Package audit reports which versions each gateway acts on and which gateways lag, and records what each did: spans of
// activity, chained by hash, and the findings that follow from the records of all gateways. It consists of state machines
// without input or output.
package audit

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	reportInterval     = time.Second
	reportFanout       = 2           // members that a report goes to
	versionsPerMessage = 8           // versions in one report, the sender's own included
	minRetention       = time.Minute // of the version of a gateway that no longer reports
	// Added to minRetention for each gateway of the fleet: two reports of eight versions each arrive per second, so that with
	// N gateways a version is renewed every N/16 s on average; this is about three times that.
	retentionPerGateway = 200 * time.Millisecond
	maxKnownVersions    = 4096
	maxRequests         = 3 // without a newer list, after which the newer version is assumed to belong to another service
)

// Version is what one process acts on.
type Version struct {
	Name            string `cbor:"1,keyasint" json:"name"`
	Session         uint64 `cbor:"2,keyasint" json:"session"`
	Count           uint64 `cbor:"3,keyasint" json:"count"`           // incremented with each report: the greater is the newer
	ListVersion     int64  `cbor:"4,keyasint" json:"list"`            // of the list of databases, discovery's seq
	OverridesDigest uint64 `cbor:"5,keyasint" json:"words"`           // of the operator overrides
	ViewDigest      uint64 `cbor:"6,keyasint" json:"view"`            // of the stable view
	ConfigDigest    string `cbor:"7,keyasint" json:"config"`          // of the settings, without those that are each gateway's own
	FleetFileDigest string `cbor:"8,keyasint" json:"file"`            // of the fleet file, likewise
	Build           string `cbor:"9,keyasint,omitempty" json:"build"` // of the program
	AgeMS           uint32 `cbor:"10,keyasint,omitempty" json:"-"`    // in a message: how long ago its gateway sent it
}

// Valid reports whether a version is well-formed.
func (v *Version) Valid() bool {
	return v.Name != "" && len(v.Name) <= 64 && v.ListVersion >= 0 && len(v.ConfigDigest)+len(v.FleetFileDigest)+len(v.Build) <= 256
}

// VersionsMessage is a report to another gateway: the sender's own version and some of those it knows.
type VersionsMessage struct {
	Versions  []Version `cbor:"1,keyasint"`
	Timestamp Timestamp `cbor:"2,keyasint,omitempty"` // of the sender's clock
}

// VersionsSend is a message to a member.
type VersionsSend struct {
	To      string
	Message VersionsMessage
}

// KnownVersion is the version of a gateway as this gateway knows it.
type KnownVersion struct {
	Version
	ReceivedAt   time.Duration // when it was last received
	SentAt       time.Duration // the latest time at which its gateway can have sent it: AgeMS lacks the time in transit
	LaggingSince time.Duration // since when others have had a newer list; 0: it has the newest
}

// VersionsConfig holds the parameters of Versions.
type VersionsConfig struct {
	Name          string
	MaxLag        time.Duration // how long the list may lag before it is requested out of turn
	RequestSpread time.Duration // the requests of stragglers are spread over this time multiplied by the number of gateways
	Seed          uint64
}

// Versions are those of the fleet, as one gateway knows them. Use NewVersions.
type Versions struct {
	cfg           VersionsConfig
	rnd           *rand.Rand
	own           Version
	others        map[string]*KnownVersion
	members       []string
	nextReport    time.Duration
	laggingSince  time.Duration // 0: this process has the newest list
	nextRequest   time.Duration
	requests      int   // for the current newest list
	ignoredList   int64 // a list version of others that discovery does not supply
	totalRequests uint64
}

// NewVersions returns one that knows no other gateway.
func NewVersions(cfg VersionsConfig) *Versions {
	return &Versions{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x617564)), others: map[string]*KnownVersion{}}
}

// SetMembers sets the live members; the own name among them is ignored.
func (v *Versions) SetMembers(names []string) {
	v.members = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == v.cfg.Name })
}

// Set sets what this process acts on.
func (v *Versions) Set(own Version) {
	own.Name, own.Count = v.cfg.Name, v.own.Count+1
	if own.ListVersion > v.own.ListVersion {
		v.requests, v.nextReport = 0, 0 // report at once
	}
	v.own = own
}

// Receive applies a report of another gateway.
func (v *Versions) Receive(now time.Duration, msg VersionsMessage) {
	for _, version := range msg.Versions {
		sentAt := now - time.Duration(version.AgeMS)*time.Millisecond
		version.AgeMS = 0
		known := v.others[version.Name]
		switch {
		case version.Name == v.cfg.Name || !version.Valid() || sentAt+v.retention() <= now:
		case known == nil && len(v.others) < maxKnownVersions:
			v.others[version.Name] = &KnownVersion{Version: version, ReceivedAt: now, SentAt: sentAt}
		case known != nil && known.olderThan(version, sentAt):
			known.Version, known.ReceivedAt, known.SentAt = version, now, max(known.SentAt, sentAt)
		}
	}
}

// retention returns how long a version is kept that its gateway no longer reports.
func (v *Versions) retention() time.Duration {
	return minRetention + time.Duration(len(v.members))*retentionPerGateway
}

// olderThan reports whether another version is newer than this one: by its count, or, from another process of the gateway,
// because it was sent later.
func (k *KnownVersion) olderThan(version Version, sentAt time.Duration) bool {
	if version.Session == k.Session {
		return version.Count > k.Count
	}
	return sentAt > k.SentAt
}

// newestList returns the newest list version of all that are known.
func (v *Versions) newestList() (list int64) {
	list = v.own.ListVersion
	for _, other := range v.others {
		list = max(list, other.ListVersion)
	}
	return list
}

// Tick sends reports and checks whether this process lags. request means that discovery is to be asked out of turn. Lagging
// never leads to more than that: only discovery supplies the contents of a newer list.
func (v *Versions) Tick(now time.Duration) (out []VersionsSend, request bool) {
	for name, other := range v.others {
		if other.SentAt+v.retention() <= now {
			delete(v.others, name)
		}
	}
	newest := v.newestList()
	for _, other := range v.others {
		if other.ListVersion >= newest {
			other.LaggingSince = 0
		} else if other.LaggingSince == 0 {
			other.LaggingSince = now
		}
	}
	switch {
	case v.own.ListVersion >= newest || newest <= v.ignoredList:
		v.laggingSince, v.requests = 0, 0
	case v.laggingSince == 0:
		v.laggingSince = now
		v.nextRequest = now + v.cfg.MaxLag + v.jitter()
	case now >= v.nextRequest && v.requests >= maxRequests:
		v.ignoredList = newest
	case now >= v.nextRequest:
		v.requests++
		v.totalRequests++
		v.nextRequest = now + 2*v.cfg.MaxLag + v.jitter()
		request = true
	}
	if now >= v.nextReport && len(v.members) > 0 {
		v.nextReport = now + reportInterval/2 + time.Duration(v.rnd.Int64N(int64(reportInterval)))
		v.own.Count++
		msg := VersionsMessage{Versions: []Version{v.own}}
		list := v.All()
		for _, i := range v.rnd.Perm(len(list)) {
			if known := list[i]; known.Name != v.cfg.Name && len(msg.Versions) < versionsPerMessage {
				known.AgeMS = uint32(max(0, now-known.SentAt) / time.Millisecond)
				msg.Versions = append(msg.Versions, known.Version)
			}
		}
		for _, i := range v.rnd.Perm(len(v.members))[:min(reportFanout, len(v.members))] {
			out = append(out, VersionsSend{To: v.members[i], Message: msg})
		}
	}
	return out, request
}

// jitter returns a random part of the time over which the requests of all stragglers are spread.
func (v *Versions) jitter() time.Duration {
	return time.Duration(v.rnd.Int64N(int64(v.cfg.RequestSpread)*int64(len(v.members)+1) + 1))
}

// Lagging returns since when this process has had an older list than others, or 0 if it has the newest, and how often it
// has requested the newer one.
func (v *Versions) Lagging() (since time.Duration, requests uint64) {
	return v.laggingSince, v.totalRequests
}

// Others returns the versions of the other gateways.
func (v *Versions) Others() (list []KnownVersion) {
	for _, other := range v.others {
		list = append(list, *other)
	}
	return list
}

// All returns the versions of the fleet, the own one included, sorted by name.
func (v *Versions) All() []KnownVersion {
	list := append(v.Others(), KnownVersion{Version: v.own, LaggingSince: v.laggingSince})
	slices.SortFunc(list, func(a, b KnownVersion) int { return strings.Compare(a.Name, b.Name) })
	return list
}
