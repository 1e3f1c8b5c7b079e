package plan

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilaccove/internal/yamlfile"
)

// traceColumns are those of a trace; the last two may be empty.
var traceColumns = []string{"time", "class", "group", "key", "kind"}

type row struct {
	Time  *float64 `json:"time"` // seconds
	Class string   `json:"class"`
	Group int      `json:"group"`
	Key   int      `json:"key"`
	Kind  string   `json:"kind"`
}

// ParseTrace reads recorded arrivals in place of a schedule: CSV with a first line of names, or JSON lines. Time
// is divided by speed; of the rows a share is kept, or each comes several times, drawn from the plan's seed. The
// trace is one stage. Everything wrong with it is told with file, line and column.
func ParseTrace(p *Plan, file string, text []byte, speed, rate float64) ([]Arrival, error) {
	if !(speed > 0 && speed < 1e6) || !(rate > 0 && rate <= 1000) {
		return nil, errors.New("a trace is scaled by figures above zero")
	}
	t := &tracer{p: p, r: &reader{&yamlfile.Reader{File: file}}, rnd: rand.New(rand.NewPCG(p.Seed, 0x7472)), speed: speed, rate: rate}
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		t.lines(text)
	} else {
		t.csv(text)
	}
	if len(t.list) == 0 && len(t.r.Errors) == 0 {
		t.r.Errors = append(t.r.Errors, file+": the trace is empty")
	}
	if len(t.r.Errors) > 0 {
		return nil, t.r.Errors
	}
	return t.list, nil
}

type tracer struct {
	p           *Plan
	r           *reader
	rnd         *rand.Rand
	speed, rate float64
	last        float64
	list        []Arrival
}

func (t *tracer) fault(line, column int, format string, args ...any) {
	if len(t.r.Errors) < 100 {
		t.r.Errors = append(t.r.Errors, fmt.Sprintf("%s:%d:%d: ", t.r.File, line, column)+fmt.Sprintf(format, args...))
	}
}

func (t *tracer) lines(text []byte) {
	for i, line := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(line))
		d.DisallowUnknownFields()
		var x row
		err := d.Decode(&x)
		if err == nil && d.More() {
			err = errors.New("more than one object")
		}
		switch {
		case err != nil:
			t.fault(i+1, int(d.InputOffset())+1, "%v", err)
		case x.Time == nil:
			t.fault(i+1, 1, "no time")
		default:
			t.take(x, i+1, [5]int{1, 1, 1, 1, 1})
		}
	}
}

func (t *tracer) csv(text []byte) {
	c := csv.NewReader(bytes.NewReader(text))
	head, err := c.Read()
	if err == io.EOF {
		return
	}
	if err == nil && !slices.Equal(head, traceColumns) {
		t.fault(1, 1, "the first line names %s; %s are wanted", strings.Join(head, ","), strings.Join(traceColumns, ","))
		return
	}
	for {
		cells, err := c.Read()
		if err == io.EOF {
			return
		}
		if bad := new(csv.ParseError); errors.As(err, &bad) {
			t.fault(bad.Line, bad.Column, "%v", bad.Err)
			if !errors.Is(err, csv.ErrFieldCount) {
				return // where the next row begins is not known
			}
			continue
		}
		var at [5]int
		line := 0
		for i := range at {
			line, at[i] = c.FieldPos(i)
		}
		var x row
		seconds, e1 := strconv.ParseFloat(cells[0], 64)
		x.Time, x.Class, x.Kind = &seconds, cells[1], cells[4]
		var e2, e3 error
		if cells[2] != "" {
			x.Group, e2 = strconv.Atoi(cells[2])
		}
		if cells[3] != "" {
			x.Key, e3 = strconv.Atoi(cells[3])
		}
		bad := false
		for i, err := range []error{0: e1, 2: e2, 3: e3} {
			if err != nil {
				t.fault(line, at[i], "%s: %q is no number", traceColumns[i], cells[i])
				bad = true
			}
		}
		if !bad {
			t.take(x, line, at)
		}
	}
}

func (t *tracer) take(x row, line int, at [5]int) {
	class := slices.IndexFunc(t.p.Classes, func(c Class) bool { return c.Name == x.Class })
	switch s := *x.Time; {
	case math.IsNaN(s) || s < 0 || s > 7*24*3600:
		t.fault(line, at[0], "time: %v is no moment of a run", s)
	case s < t.last:
		t.fault(line, at[0], "time: %v goes back behind %v", s, t.last)
	case class < 0:
		t.fault(line, at[1], "class: the plan has no %q", x.Class)
	case x.Group < 0 || x.Group >= t.p.Groups:
		t.fault(line, at[2], "group: %d is not one of the plan's %d", x.Group, t.p.Groups)
	case x.Key < 0:
		t.fault(line, at[3], "key: %d is below zero", x.Key)
	case x.Kind != "" && Kind(x.Kind) != t.p.Classes[class].Kind:
		t.fault(line, at[4], "kind: %q, but the plan's %s is a %s", x.Kind, x.Class, t.p.Classes[class].Kind)
	default:
		t.last = s
		for n := t.rate; n >= 1 || n > 0 && t.rnd.Float64() < n; n-- {
			if len(t.list) >= t.p.MaxArrivals {
				t.fault(line, at[0], "more than %d arrivals; raise most", t.p.MaxArrivals)
				return
			}
			t.list = append(t.list, Arrival{
				At: time.Duration(s / t.speed * float64(time.Second)), Class: class, Group: x.Group, Key: x.Key,
				Session: t.rnd.IntN(t.p.Sessions), Follows: -1, Number: len(t.list),
			})
		}
	}
}

// WriteTrace writes arrivals as a trace that Trace reads.
func WriteTrace(w io.Writer, p *Plan, list []Arrival) error {
	c := csv.NewWriter(w)
	_ = c.Write(traceColumns)
	for _, a := range list {
		class := p.Classes[a.Class]
		_ = c.Write([]string{
			strconv.FormatFloat(a.At.Seconds(), 'f', 6, 64), class.Name, strconv.Itoa(a.Group), strconv.Itoa(a.Key), string(class.Kind),
		})
	}
	c.Flush()
	return c.Error()
}
