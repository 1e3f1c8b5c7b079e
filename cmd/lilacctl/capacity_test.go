package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet/audit"
	"lilaccove/internal/peer"
)

var (
	capacityDir  = flag.String("capacity", "", "where BenchmarkCapacity writes tool-lilacctl.json")
	capacityRuns = flag.Int("capacity-runs", 3, "how often each size is run")
)

// toolRun is the cost of one call of the tool.
type toolRun struct {
	What      string  `json:"what"`
	Gateways  int     `json:"gateways"`
	Read      int     `json:"bytes_read"`
	Printed   int     `json:"bytes_printed"`
	Processor float64 `json:"cpu_ms"`
	Memory    float64 `json:"rss_mb"`
	Seconds   float64 `json:"seconds"`
	Exit      int     `json:"exit"`
}

// startGateways starts servers that answer like the gateways of a fleet of n. It returns the flags that name them, and the
// size of all answers by path.
func startGateways(b *testing.B, n int) (flags []string, size map[string]int) {
	report, versions := peer.Report{Fleet: "example", Member: true, View: peer.ReportView{Version: 9, Digest: "9f3c5a1b2d4e6f70"}, At: time.Unix(1764649406, 0).UTC()}, peer.VersionsReport{}
	for i := range n {
		m := peer.ReportMember{Name: fmt.Sprintf("g%03d", i), Addr: fmt.Sprintf("10.20.%d.%d:7400", i/200, 1+i%200), Session: "9f3c5a1b2d4e6f70"}
		report.View.Members = append(report.View.Members, m)
		m.State, m.Incarnation = "alive", 1764649406123456
		report.Known = append(report.Known, m)
		versions.Versions = append(versions.Versions, peer.VersionReport{ReceivedMS: 12345, Version: audit.Version{
			Name: m.Name, Session: 1 << 62, Count: 123456, ListVersion: 1234, OverridesDigest: 1 << 62, ViewDigest: 1 << 62, ConfigDigest: m.Session, FleetFileDigest: m.Session, Build: "9f3c5a1b2d4e",
		}})
	}
	size = map[string]int{}
	for i := range n {
		ownReport := report
		ownReport.Name, ownReport.Addr = report.Known[i].Name, report.Known[i].Addr
		ownReport.Known = append(append([]peer.ReportMember{}, report.Known[:i]...), report.Known[i+1:]...)
		bodies := map[string][]byte{}
		for path, v := range map[string]any{"/v1/fleet/members": ownReport, "/v1/fleet/versions": peer.VersionsReport{Name: ownReport.Name, Versions: versions.Versions}} {
			text, err := json.Marshal(v)
			require.NoError(b, err)
			bodies[path] = text
			size[path] += len(text)
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = w.Write(bodies[q.URL.Path]) }))
		b.Cleanup(server.Close)
		flags = append(flags, "--at", strings.TrimPrefix(server.URL, "http://"))
	}
	return flags, size
}

// BenchmarkCapacity runs the tool as a separate process against all gateways of fleets of several sizes.
func BenchmarkCapacity(b *testing.B) {
	tool := filepath.Join(b.TempDir(), "lilacctl")
	out, err := exec.Command("go", "build", "-o", tool, ".").CombinedOutput()
	require.NoError(b, err, string(out))
	runs := []toolRun{}
	for _, n := range []int{60, 122, 245, 300, 490} {
		flags, size := startGateways(b, n)
		for _, what := range []string{"members", "versions"} {
			for range *capacityRuns {
				cmd := exec.Command(tool, append([]string{what}, flags...)...)
				start := time.Now()
				printed, err := cmd.Output()
				took := time.Since(start)
				var exit *exec.ExitError
				if err != nil && !errors.As(err, &exit) {
					b.Fatal(err)
				}
				usage := cmd.ProcessState.SysUsage().(*syscall.Rusage)
				runs = append(runs, toolRun{
					What: what, Gateways: n, Read: size["/v1/fleet/"+what], Printed: len(printed), Seconds: took.Seconds(), Exit: cmd.ProcessState.ExitCode(),
					Processor: float64((cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Microseconds()) / 1000, Memory: float64(usage.Maxrss) * 1024 / 1e6,
				})
			}
		}
	}
	if *capacityDir == "" {
		b.Logf("%+v", runs)
		return
	}
	text, err := json.MarshalIndent(map[string]any{
		"command": "go test ./cmd/lilacctl -run '^$' -bench Capacity -benchtime 1x -capacity $PWD/docs/capacity", "rows": runs,
	}, "", " ")
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(filepath.Join(*capacityDir, "tool-lilacctl.json"), append(text, '\n'), 0o644))
}
