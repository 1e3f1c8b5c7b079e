package lab

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// History writes what happened in a run as JSON lines, for checkers that read it afterwards. A nil History drops entries.
type History struct {
	mu      sync.Mutex
	encoder *json.Encoder
	start   time.Time
}

// HistoryEntry is one line of a History.
type HistoryEntry struct {
	AtMS    float64 `json:"at_ms"` // since the start of the run
	Kind    string  `json:"kind"`  // fault, front, log, request
	Gateway string  `json:"gateway,omitempty"`
	What    string  `json:"what"`
	Class   string  `json:"class,omitempty"`
	DueMS   float64 `json:"due_ms,omitempty"` // of a request
	TookMS  float64 `json:"took_ms,omitempty"`
	Tries   int     `json:"tries,omitempty"`
}

// NewHistory returns a History that writes to w, or nil if w is nil.
func NewHistory(w io.Writer) *History {
	if w == nil {
		return nil
	}
	return &History{encoder: json.NewEncoder(w), start: time.Now()}
}

// SetStart sets the time from which AtMS counts.
func (h *History) SetStart(start time.Time) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.start = start
	}
}

// Add sets the entry's time and writes it.
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
