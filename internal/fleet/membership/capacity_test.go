package membership

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var (
	capacityDir = flag.String("capacity", "", "where BenchmarkCapacity writes sim-membership.json")
	capacitySum = flag.Int("capacity-most", 490, "sizes of fleets over it are left out")
)

// trial is a run on the simulated network.
type trial struct {
	Part          string  `json:"part"`
	Gateways      int     `json:"gateways"`
	Regions       int     `json:"regions"` // links within one take 1 ms
	OneWayMS      float64 `json:"one_way_ms"`
	Loss          float64 `json:"loss"`
	Seconds       float64 `json:"seconds"`
	BytesOut      float64 `json:"bytes_out_per_s"` // the mean over gateways
	BytesOutMost  float64 `json:"bytes_out_per_s_max"`
	MessagesOut   float64 `json:"messages_per_s"`
	FalseDeaths   int     `json:"false_deaths"`
	Probes        float64 `json:"probes_per_s"`
	Failed        float64 `json:"probes_failed_per_s"`
	SecondsBefore float64 `json:"seconds_before"` // since the links took so long, not counted but for deaths
}

// sized is what a message takes on the wire: the envelope of internal/peer has 20 bytes besides its body.
func sized(t require.TestingT) func(*Send) int {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	require.NoError(t, err)
	return func(s *Send) int {
		msg := s.Message
		for {
			b, err := enc.Marshal(msg)
			require.NoError(t, err)
			if n := len(msg.Updates); s.Stream || len(b)+20 <= 1200 || n == 0 {
				return len(b) + 20
			}
			msg.Updates = msg.Updates[:len(msg.Updates)-1]
		}
	}
}

func capacity(t require.TestingT, n, regions int, oneWay time.Duration, loss float64) trial {
	const before, window = 5 * time.Second, 20 * time.Second
	w := joined(t, 27, n)
	for _, o := range w.nodes {
		o.m.updates = nil // as when the news of the beginning have gone round
	}
	w.size, w.loss = sized(t), loss
	w.far = func(from, to int) time.Duration {
		if regions > 1 && from%regions == to%regions {
			return time.Millisecond
		}
		return oneWay
	}
	w.run(before)
	clear(w.bytes)
	clear(w.sent)
	was := Counts{}
	sum := func() (c Counts) {
		for _, o := range w.nodes {
			k := o.m.Counts()
			c.Probes += k.Probes
			c.FailedProbes += k.FailedProbes
		}
		return c
	}
	was = sum()
	w.run(window)
	is := sum()
	r := trial{
		Part: "membership", Gateways: n, Regions: regions, OneWayMS: float64(oneWay) / 1e6, Loss: loss, Seconds: window.Seconds(),
		SecondsBefore: before.Seconds(), FalseDeaths: len(w.deaths),
	}
	each := float64(n) * window.Seconds()
	for i := range n {
		r.BytesOut += float64(w.bytes[i]) / each
		r.MessagesOut += float64(w.sent[i]) / each
		r.BytesOutMost = max(r.BytesOutMost, float64(w.bytes[i])/window.Seconds())
	}
	r.Probes, r.Failed = float64(is.Probes-was.Probes)/each, float64(is.FailedProbes-was.FailedProbes)/each
	return r
}

// BenchmarkCapacity measures what a member sends at sizes of the fleet and lengths of the links; docs/CAPACITY.md.
func BenchmarkCapacity(b *testing.B) {
	const command = "go test ./internal/fleet/membership -run ^$ -bench Capacity -benchtime 1x -timeout 30m -capacity $PWD/docs/capacity"
	for b.Loop() {
		rows := []trial{}
		add := func(n, regions int, oneWay time.Duration, loss float64) {
			if n <= *capacitySum {
				rows = append(rows, capacity(b, n, regions, oneWay, loss))
				b.Logf("%+v", rows[len(rows)-1])
				if *capacityDir != "" {
					text, err := json.MarshalIndent(map[string]any{"command": command, "kind": "trial", "seed": 27, "rows": rows}, "", " ")
					require.NoError(b, err)
					require.NoError(b, os.WriteFile(filepath.Join(*capacityDir, "sim-membership.json"), append(text, '\n'), 0o644))
				}
			}
		}
		for _, n := range []int{122, 245, 300, 490} {
			for _, ms := range []int{1, 30, 60, 120} {
				for _, loss := range []float64{0, 0.02} {
					add(n, 1, time.Duration(ms)*time.Millisecond, loss)
				}
			}
			for _, ms := range []int{30, 60, 120} {
				add(n, 3, time.Duration(ms)*time.Millisecond, 0)
			}
		}
	}
}
