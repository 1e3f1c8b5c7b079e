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

// traceColumns are the columns of a trace. Group, key and kind may be empty.
var traceColumns = []string{"time", "class", "group", "key", "kind"}

// traceRow is one recorded request.
type traceRow struct {
	Time  *float64 `json:"time"` // seconds
	Class string   `json:"class"`
	Group int      `json:"group"`
	Key   int      `json:"key"`
	Kind  string   `json:"kind"`
}

// ParseTrace reads recorded arrivals that replace a schedule: CSV with a header line, or JSON lines. Times are
// divided by speed. Each row is used rate times on average: a random share of the rows, drawn with the plan's
// seed, if rate is below 1. The trace is one stage. The error lists all faults with file, line and column.
func ParseTrace(plan *Plan, file string, text []byte, speed, rate float64) ([]Arrival, error) {
	if !(speed > 0 && speed < 1e6) || !(rate > 0 && rate <= 1000) {
		return nil, errors.New("speed and rate of a trace must be above zero, speed below 1000000 and rate at most 1000")
	}
	t := &traceReader{plan: plan, faults: &reader{&yamlfile.Reader{File: file}}, rng: rand.New(rand.NewPCG(plan.Seed, 0x7472)), speed: speed, rate: rate}
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		t.readJSONLines(text)
	} else {
		t.readCSV(text)
	}
	if len(t.arrivals) == 0 && len(t.faults.Errors) == 0 {
		t.faults.Errors = append(t.faults.Errors, file+": the trace is empty")
	}
	if len(t.faults.Errors) > 0 {
		return nil, t.faults.Errors
	}
	return t.arrivals, nil
}

// traceReader collects the arrivals and the errors of a trace.
type traceReader struct {
	plan        *Plan
	faults      *reader
	rng         *rand.Rand
	speed, rate float64
	lastTime    float64
	arrivals    []Arrival
}

func (t *traceReader) addFault(line, column int, format string, args ...any) {
	if len(t.faults.Errors) < 100 {
		t.faults.Errors = append(t.faults.Errors, fmt.Sprintf("%s:%d:%d: ", t.faults.File, line, column)+fmt.Sprintf(format, args...))
	}
}

func (t *traceReader) readJSONLines(text []byte) {
	for i, line := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		var row traceRow
		err := decoder.Decode(&row)
		if err == nil && decoder.More() {
			err = errors.New("more than one object")
		}
		switch {
		case err != nil:
			t.addFault(i+1, int(decoder.InputOffset())+1, "%v", err)
		case row.Time == nil:
			t.addFault(i+1, 1, "no time")
		default:
			t.addRow(row, i+1, [5]int{1, 1, 1, 1, 1})
		}
	}
}

func (t *traceReader) readCSV(text []byte) {
	reader := csv.NewReader(bytes.NewReader(text))
	header, err := reader.Read()
	if err == io.EOF {
		return
	}
	if err == nil && !slices.Equal(header, traceColumns) {
		t.addFault(1, 1, "the header line is %s; it must be %s", strings.Join(header, ","), strings.Join(traceColumns, ","))
		return
	}
	for {
		cells, err := reader.Read()
		if err == io.EOF {
			return
		}
		if parseErr := new(csv.ParseError); errors.As(err, &parseErr) {
			t.addFault(parseErr.Line, parseErr.Column, "%v", parseErr.Err)
			if !errors.Is(err, csv.ErrFieldCount) {
				return // the start of the next row is unknown
			}
			continue
		}
		var columns [5]int
		line := 0
		for i := range columns {
			line, columns[i] = reader.FieldPos(i)
		}
		var row traceRow
		seconds, timeErr := strconv.ParseFloat(cells[0], 64)
		row.Time, row.Class, row.Kind = &seconds, cells[1], cells[4]
		var groupErr, keyErr error
		if cells[2] != "" {
			row.Group, groupErr = strconv.Atoi(cells[2])
		}
		if cells[3] != "" {
			row.Key, keyErr = strconv.Atoi(cells[3])
		}
		invalid := false
		for i, err := range []error{0: timeErr, 2: groupErr, 3: keyErr} {
			if err != nil {
				t.addFault(line, columns[i], "%s: %q is not a number", traceColumns[i], cells[i])
				invalid = true
			}
		}
		if !invalid {
			t.addRow(row, line, columns)
		}
	}
}

// addRow checks a row and adds its arrivals. The columns are those of its fields in the line.
func (t *traceReader) addRow(row traceRow, line int, columns [5]int) {
	class := slices.IndexFunc(t.plan.Classes, func(c Class) bool { return c.Name == row.Class })
	switch seconds := *row.Time; {
	case math.IsNaN(seconds) || seconds < 0 || seconds > 7*24*3600:
		t.addFault(line, columns[0], "time: %v is not between 0 s and 7 days", seconds)
	case seconds < t.lastTime:
		t.addFault(line, columns[0], "time: %v is before the previous row's %v", seconds, t.lastTime)
	case class < 0:
		t.addFault(line, columns[1], "class: %q is not a class of the plan", row.Class)
	case row.Group < 0 || row.Group >= t.plan.Groups:
		t.addFault(line, columns[2], "group: %d is not one of the plan's %d groups", row.Group, t.plan.Groups)
	case row.Key < 0:
		t.addFault(line, columns[3], "key: %d is negative", row.Key)
	case row.Kind != "" && Kind(row.Kind) != t.plan.Classes[class].Kind:
		t.addFault(line, columns[4], "kind: %q, but the plan's class %s is a %s", row.Kind, row.Class, t.plan.Classes[class].Kind)
	default:
		t.lastTime = seconds
		for copies := t.rate; copies >= 1 || copies > 0 && t.rng.Float64() < copies; copies-- {
			if len(t.arrivals) >= t.plan.MaxArrivals {
				t.addFault(line, columns[0], "more than %d arrivals; raise most", t.plan.MaxArrivals)
				return
			}
			t.arrivals = append(t.arrivals, Arrival{
				At: time.Duration(seconds / t.speed * float64(time.Second)), Class: class, Group: row.Group, Key: row.Key,
				Session: t.rng.IntN(t.plan.Sessions), Follows: -1, Number: len(t.arrivals),
			})
		}
	}
}

// WriteTrace writes arrivals as a trace that [ParseTrace] reads.
func WriteTrace(w io.Writer, plan *Plan, arrivals []Arrival) error {
	writer := csv.NewWriter(w)
	_ = writer.Write(traceColumns)
	for _, arrival := range arrivals {
		class := plan.Classes[arrival.Class]
		_ = writer.Write([]string{
			strconv.FormatFloat(arrival.At.Seconds(), 'f', 6, 64), class.Name, strconv.Itoa(arrival.Group), strconv.Itoa(arrival.Key), string(class.Kind),
		})
	}
	writer.Flush()
	return writer.Error()
}
