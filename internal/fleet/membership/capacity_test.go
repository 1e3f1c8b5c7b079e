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
	capacityDir         = flag.String("capacity", "", "where BenchmarkCapacity writes sim-membership.json")
	capacityMaxGateways = flag.Int("capacity-most", 490, "largest fleet size to measure")
)

// trial is a run on the simulated network.
type trial struct {
	Part          string  `json:"part"`
	Gateways      int     `json:"gateways"`
	Regions       int     `json:"regions"` // links within a region take 1 ms
	OneWayMS      float64 `json:"one_way_ms"`
	Loss          float64 `json:"loss"`
	Seconds       float64 `json:"seconds"`
	BytesOut      float64 `json:"bytes_out_per_s"` // mean over gateways
	BytesOutMax   float64 `json:"bytes_out_per_s_max"`
	MessagesOut   float64 `json:"messages_per_s"`
	FalseDeaths   int     `json:"false_deaths"`
	Probes        float64 `json:"probes_per_s"`
	Failed        float64 `json:"probes_failed_per_s"`
	SecondsBefore float64 `json:"seconds_before"` // warm-up with these links; only deaths are counted in it
}

// messageSizer returns a function for the size of a message on the wire: internal/peer adds an envelope of 20 bytes.
func messageSizer(t require.TestingT) func(*Send) int {
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

// measureCapacity runs a fleet of n gateways and returns what each of them sends.
func measureCapacity(t require.TestingT, n, regions int, oneWay time.Duration, loss float64) trial {
	const warmup, window = 5 * time.Second, 20 * time.Second
	w := joinedFleet(t, 27, n)
	for _, o := range w.nodes {
		o.machine.updates = nil // as if the updates of the start were disseminated
	}
	w.messageSize, w.loss = messageSizer(t), loss
	w.linkDelay = func(from, to int) time.Duration {
		if regions > 1 && from%regions == to%regions {
			return time.Millisecond
		}
		return oneWay
	}
	w.run(warmup)
	clear(w.bytes)
	clear(w.sent)
	start := Counts{}
	totals := func() (c Counts) {
		for _, o := range w.nodes {
			k := o.machine.Counts()
			c.Probes += k.Probes
			c.FailedProbes += k.FailedProbes
		}
		return c
	}
	start = totals()
	w.run(window)
	end := totals()
	result := trial{
		Part: "membership", Gateways: n, Regions: regions, OneWayMS: float64(oneWay) / 1e6, Loss: loss, Seconds: window.Seconds(),
		SecondsBefore: warmup.Seconds(), FalseDeaths: len(w.deaths),
	}
	gatewaySeconds := float64(n) * window.Seconds()
	for i := range n {
		result.BytesOut += float64(w.bytes[i]) / gatewaySeconds
		result.MessagesOut += float64(w.sent[i]) / gatewaySeconds
		result.BytesOutMax = max(result.BytesOutMax, float64(w.bytes[i])/window.Seconds())
	}
	result.Probes, result.Failed = float64(end.Probes-start.Probes)/gatewaySeconds, float64(end.FailedProbes-start.FailedProbes)/gatewaySeconds
	return result
}

// BenchmarkCapacity measures what a member sends, by fleet size and link delay; see docs/CAPACITY.md.
func BenchmarkCapacity(b *testing.B) {
	const command = "go test ./internal/fleet/membership -run ^$ -bench Capacity -benchtime 1x -timeout 30m -capacity $PWD/docs/capacity"
	for b.Loop() {
		rows := []trial{}
		add := func(n, regions int, oneWay time.Duration, loss float64) {
			if n <= *capacityMaxGateways {
				rows = append(rows, measureCapacity(b, n, regions, oneWay, loss))
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
