package peer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/state"
	"lilaccove/internal/netloop"
)

const (
	channelWords = 4
	wordsEvery   = 100 * time.Millisecond
	wordsSaid    = 50              // logged in a second
	catchUpMost  = 2 * time.Second // a gateway that starts waits so long for another's words at most
)

// words are those of operators to the whole fleet.
type words struct {
	l     *Links
	w     *state.Words
	begun time.Duration
	apply func(host string, out bool)
	said  netloop.Sparse
}

// OnWord has do called whenever the fleet leaves a database out, or has it serve again.
func (l *Links) OnWord(do func(host string, out bool)) { l.words.apply = do }

func (l *Links) newWords() *words {
	own, _ := l.m.Own()
	s := &words{l: l, said: netloop.Sparse{Most: wordsSaid}, begun: l.loop.Now(), w: state.NewWords(own.Name, fmt.Sprintf("%s@%x", own.Name, own.Session), rand.Uint64())}
	l.every(wordsEvery, s.tick)
	return s
}

// wordsMessage is a message with its sender.
type wordsMessage struct {
	From string             `cbor:"1,keyasint"`
	Body state.WordsMessage `cbor:"2,keyasint"`
}

func (s *words) tick() {
	s.w.Tick(s.l.loop.Now())
	s.after()
}

func (s *words) after() {
	own, _ := s.l.m.Own()
	for _, m := range s.w.Take() {
		s.l.post(m.To, channelWords, wordsMessage{From: own.Name, Body: m.Message})
	}
}

// stand tells who lives: not the view, for a word must not wait until a change has held.
func (s *words) stand() {
	var names []string
	for _, e := range s.l.m.Members() {
		if e.State.Live() {
			names = append(names, e.Name)
		}
	}
	s.w.Live(names)
}

func (s *words) receive(body []byte) error {
	var msg wordsMessage
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	if !fleet.Name(msg.From) {
		return errBad
	}
	for _, host := range s.w.Receive(msg.From, msg.Body) {
		s.tell(host, msg.From)
	}
	s.after()
	return nil
}

// tell does what the words about a database come to.
func (s *words) tell(host, from string) {
	out, conflict := s.w.Out(host)
	s.said.Printf(s.l.loop.Now(), "event=fleet_word host=%q out=%t conflict=%t from=%s", host, out, conflict, from)
	if s.apply != nil {
		s.apply(host, out)
	}
}

// Say takes an operator's word on a database to the whole fleet; false: there is no room for one more.
func (l *Links) Say(host string, out bool) bool {
	if !l.words.w.Say(l.loop.Now(), host, out) {
		return false
	}
	own, _ := l.m.Own()
	l.words.tell(host, own.Name)
	l.words.after()
	return true
}

// Out tells whether the fleet leaves a database out.
func (l *Links) Out(host string) bool {
	out, _ := l.words.w.Out(host)
	return out
}

// CaughtUp tells whether this gateway knows what operators told the fleet, or need not wait for it any longer.
func (l *Links) CaughtUp() bool {
	age := l.loop.Now() - l.words.begun
	return l.words.w.Synced() || age > catchUpMost || len(l.file.Seeds) == 0 && len(l.m.Members()) == 0
}

// StateReport is what GET /v1/fleet/state tells.
type StateReport struct {
	Name      string       `json:"name"`
	Digest    string       `json:"digest"` // equal in all gateways that have the same words
	CaughtUp  bool         `json:"caught_up"`
	Words     []state.Word `json:"words"`
	Conflicts []string     `json:"conflicts,omitempty"` // databases about which words differ; they are left out
}

// State tells in JSON what operators told the fleet, as this gateway has it.
func (l *Links) State() []byte {
	own, _ := l.m.Own()
	w := l.words.w
	r := StateReport{Name: own.Name, Digest: hex(w.Digest()), CaughtUp: l.CaughtUp(), Words: w.All()}
	for i, x := range r.Words {
		if _, conflict := w.Out(x.Host); conflict && (i == 0 || r.Words[i-1].Host != x.Host) {
			r.Conflicts = append(r.Conflicts, x.Host)
		}
	}
	if r.Words == nil {
		r.Words = []state.Word{}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
