package plan

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const goodPlan = `seed: 7
groups: 3
sessions: {count: 50, follow: 60%, after: 300 ms}
classes:
  browse: {kind: bounded-read, mix: 70%, aim: 500 ms, deadline: 1200 ms}
  own: {kind: session-read, mix: 10%, aim: 500 ms, deadline: 1.5 s, worth: 2}
  write: {kind: write, mix: 20%, aim: 600 ms, deadline: 3 s, worth: 4}
stages:
  - {name: warm, shape: constant, rate: 100/s, for: 5 s}
  - {shape: ramp, from: 100/s, to: 400/s, for: 10 s}
  - {shape: burst, rate: 400/s, times: 2.3, rise: 1 s, hold: 3 s, fall: 1 s}
  - {shape: step, rates: [100/s, 200/s], for: 4 s}
  - {shape: pause, for: 2 s}
events:
  - {at: 8 s, do: roll, part: 50%, for: 4 s}
`

func parse(t *testing.T, text string) *Plan {
	p, err := Parse("p.yaml", []byte(text))
	require.NoError(t, err)
	return p
}

func TestParseGoodPlan(t *testing.T) {
	p := parse(t, goodPlan)
	assert.Equal(t, 26*time.Second, p.Duration())
	assert.Equal(t, Class{Name: "own", Kind: SessionRead, Mix: 0.1, Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2,
		Bound: 3 * time.Second}, p.Classes[1])
	assert.Equal(t, []string{"warm", "2", "3", "4", "5"}, []string{p.Stages[0].Name, p.Stages[1].Name, p.Stages[2].Name, p.Stages[3].Name, p.Stages[4].Name})
}

// The error lists everything that is wrong, each with its line and column.
func TestBadPlans(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(goodPlan, old, new, 1) }
	tests := []struct{ name, text, want string }{
		{"empty", "", "p.yaml: the plan is empty"},
		{"no YAML", "a: [", "p.yaml: line 1"},
		{"unknown key", goodPlan + "rats: 3\n", "p.yaml:16:1: rats: unknown"},
		{"duplicate key", goodPlan + "seed: 3\n", "p.yaml:16:1: seed: stands twice"},
		{"duplicate class", swap("  own:", "  browse:"), "p.yaml:6:3: browse: stands twice"},
		{"no unit", swap("aim: 500 ms", "aim: 500"), `p.yaml:5:47: aim: "500" has no unit; write it like 500 ms`},
		{"wrong unit", swap("aim: 500 ms", "aim: 500 m"), `unknown unit "m"`},
		{"not a number", swap("aim: 500 ms", "aim: .nan"), "is no figure"},
		{"negative", swap("rate: 100/s", "rate: -100/s"), `p.yaml:9:41: rate: "-100/s" is below zero`},
		{"rate without unit", swap("rate: 100/s", "rate: 100"), `"100" has no unit`},
		{"stage without length", swap("for: 5 s", "for: 0 s"), "p.yaml:9:53: for: the stage must last longer than 0 s"},
		{"missing length", swap(", for: 5 s", ""), "for: missing"},
		{"unused key", swap("shape: pause, for", "shape: pause, rate: 1/s, for"), "does not use it"},
		{"shape", swap("shape: ramp", "shape: hill"), `"hill" is not constant`},
		{"mix", swap("mix: 20%", "mix: 30%"), "p.yaml:5:3: classes: the mix adds up to 110%, not to 100%"},
		{"mix over one", swap("mix: 20%", "mix: 120%"), "over 100%"},
		{"aim after the deadline", swap("deadline: 1200 ms", "deadline: 100 ms"), "later than the deadline"},
		{"kind", swap("kind: write", "kind: delete"), `"delete" is not bounded-read`},
		{"no kind", swap("kind: write, ", ""), "write: kind is missing"},
		{"fraction", swap("groups: 3", "groups: 2.5"), "a whole number from 1 to 1000 is wanted"},
		{"event", swap("do: roll", "do: burn"), `"burn" is not one of`},
		{"alias", swap("groups: 3", "groups: &a 3\nkeys: *a"), "aliases are not read"},
		{"no stages", goodPlan[:strings.Index(goodPlan, "stages:")], "must be a list of at least one stage"},
		{"a list for a mapping", swap("{count: 50, follow: 60%, after: 300 ms}", "[1]"), "a mapping of names"},
	}
	for _, tt := range tests {
		_, err := Parse("p.yaml", []byte(tt.text))
		if assert.Error(t, err, tt.name) {
			assert.Contains(t, err.Error(), tt.want, tt.name)
		}
	}
	_, err := Parse("p.yaml", []byte(swap("groups: 3", "groups: 0")+"rats: 3\nmice: 4\n"))
	assert.Len(t, err, 3, "all errors are listed")
}

// The same plan gives the same schedule. The number of arrivals follows the integral of the rate, also within a stage.
func TestSchedule(t *testing.T) {
	for _, arrivals := range []string{"even", "poisson"} {
		p := parse(t, goodPlan+"arrivals: "+arrivals+"\n")
		p.FollowShare = 0
		list, err := Schedule(p)
		require.NoError(t, err)
		repeated, err := Schedule(p)
		require.NoError(t, err)
		assert.Equal(t, list, repeated)
		between := func(from, to float64) (n float64) {
			for _, a := range list {
				if s := a.At.Seconds(); s >= from && s < to {
					n++
				}
			}
			return n
		}
		for _, tt := range []struct{ from, to, want float64 }{
			{0, 5, 500}, {5, 10, 875}, {10, 15, 1625}, {15, 16, 660}, {16, 19, 2760}, {19, 20, 660}, {20, 22, 200}, {22, 24, 400}, {24, 26, 0},
		} {
			slack := 1.0
			if arrivals == "poisson" {
				slack = 5 * math.Sqrt(tt.want)
			}
			assert.InDelta(t, tt.want, between(tt.from, tt.to), slack+0.5, "%s, %v to %v s", arrivals, tt.from, tt.to)
		}
		for i := 1; i < len(list); i++ {
			require.LessOrEqual(t, list[i-1].At, list[i].At)
		}
		assert.Equal(t, 2, list[len(list)/2].Stage)
	}
	p := parse(t, goodPlan)
	p.MaxArrivals = 100
	_, err := Schedule(p)
	assert.ErrorContains(t, err, "raise most")
}

func TestReadsFollowWrites(t *testing.T) {
	p := parse(t, goodPlan)
	p.FollowShare = 1
	list, err := Schedule(p)
	require.NoError(t, err)
	byNumber := map[int]Arrival{}
	for _, a := range list {
		byNumber[a.Number] = a
	}
	require.Len(t, byNumber, len(list), "numbers are unique")
	follows := 0
	for _, a := range list {
		if a.Follows >= 0 {
			write := byNumber[a.Follows]
			assert.Equal(t, Write, p.Classes[write.Class].Kind)
			assert.Equal(t, []int{write.Session, write.Group, write.Key}, []int{a.Session, a.Group, a.Key})
			assert.Equal(t, write.At+300*time.Millisecond, a.At)
			follows++
		}
	}
	assert.Positive(t, follows)
}

func TestTraces(t *testing.T) {
	p := parse(t, goodPlan)
	p.FollowShare = 0
	list, err := Schedule(p)
	require.NoError(t, err)
	var trace bytes.Buffer
	require.NoError(t, WriteTrace(&trace, p, list))
	parsed, err := ParseTrace(p, "t.csv", trace.Bytes(), 1, 1)
	require.NoError(t, err)
	require.Len(t, parsed, len(list))
	for i := range list {
		assert.Equal(t, []int{list[i].Class, list[i].Group, list[i].Key}, []int{parsed[i].Class, parsed[i].Group, parsed[i].Key})
		assert.InDelta(t, list[i].At.Seconds(), parsed[i].At.Seconds(), 2e-6)
	}
	halved, err := ParseTrace(p, "t.csv", trace.Bytes(), 2, 0.5)
	require.NoError(t, err)
	assert.InDelta(t, len(list)/2, len(halved), 5*math.Sqrt(float64(len(list))))
	assert.InDelta(t, list[len(list)-1].At.Seconds()/2, halved[len(halved)-1].At.Seconds(), 0.2)
	doubled, err := ParseTrace(p, "t.csv", trace.Bytes(), 1, 2)
	require.NoError(t, err)
	assert.Len(t, doubled, 2*len(list))
	fromJSON, err := ParseTrace(p, "t.json", []byte(`{"time":0.5,"class":"write","group":2,"key":9}`+"\n\n"+`{"time":1,"class":"own"}`), 1, 1)
	require.NoError(t, err)
	assert.Equal(t, 500*time.Millisecond, fromJSON[0].At)
	assert.Equal(t, 9, fromJSON[0].Key)
}

func TestBadTraces(t *testing.T) {
	p := parse(t, goodPlan)
	const head = "time,class,group,key,kind\n"
	for _, tt := range []struct{ text, want string }{
		{"", "t: the trace is empty"}, {head, "t: the trace is empty"},
		{"when,class\n", "t:1:1: the header line is when,class"},
		{head + "1,write,0,1,write\n0.5,write,0,1,write\n", "t:3:1: time: 0.5 is before the previous row's 1"},
		{head + "1,other,0,1,\n", `t:2:3: class: "other" is not a class of the plan`},
		{head + "1,write,9,1,\n", "t:2:9: group: 9 is not one of the plan's 3 groups"},
		{head + "1,write,x,1,\n", `t:2:9: group: "x" is not a number`},
		{head + "1,write,0,1,session-read\n", "t:2:13: kind"},
		{head + "NaN,write,0,1,\n", "t:2:1: time"},
		{head + "1,write,0\n", "t:2:1: wrong number of fields"},
		{head + "1,\"write,0,1,\n", "t:"},
		{`{"time":1,"class":"write"}` + "\n" + `{"class":"write"}`, "t:2:1: no time"},
		{`{"time":1,"class":"write","grop":1}`, `unknown field "grop"`},
		{`{"time":1`, "t:1:"},
	} {
		_, err := ParseTrace(p, "t", []byte(tt.text), 1, 1)
		if assert.Error(t, err, tt.text) {
			assert.Contains(t, err.Error(), tt.want, tt.text)
		}
	}
	_, err := ParseTrace(p, "t", []byte(head), 0, 1)
	assert.Error(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodPlan))
	f.Add([]byte("classes: {a: {mix: 100%}}\nstages: [{shape: ramp, from: 0/s}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse("f", text)
		if (p == nil) == (err == nil) {
			t.Fatal(p, err)
		}
	})
}
