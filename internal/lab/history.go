package lab

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// History is what happened in a run, a JSON object a line, for checkers that read it afterwards.
type History struct {
	mu      sync.Mutex
	encoder *json.Encoder
	start   time.Time
}

// HistoryEntry is one line of it.
type HistoryEntry struct {
	AtMS    float64 `json:"at_ms"` // since the begin of the run
	Kind    string  `json:"kind"`  // fault, front, log, request
	Gateway string  `json:"gateway,omitempty"`
	What    string  `json:"what"`
	Class   string  `json:"class,omitempty"`
	DueMS   float64 `json:"due_ms,omitempty"` // of a request
	TookMS  float64 `json:"took_ms,omitempty"`
	Tries   int     `json:"tries,omitempty"`
}

// NewHistory writes to w; a nil one forgets.
func NewHistory(w io.Writer) *History {
	if w == nil {
		return nil
	}
	return &History{encoder: json.NewEncoder(w), start: time.Now()}
}

// SetStart sets the moment that is 0.
func (h *History) SetStart(start time.Time) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.start = start
	}
}

// Add writes a line.
func (h *History) Add(entry HistoryEntry) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	entry.AtMS = millis(time.Since(h.start))
	_ = h.encoder.Encode(entry)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
