package main

import (
	"strings"
	"testing"
)

const startMessages = "PROVISION\t5\tLanes.count=1\tLanes.0.GoalTimeUs=600000\tLanes.0.DeadlineUs=1500000" +
	"\tLanes.0.Repeat=retryable\tDomain.ReadLevel=loose\tAllowed.Probes=true\tResolutionUs=5000\n" +
	"LEDGER\t0\t1\nROW\th\t0\t0\t1\thealthy\t1\t1\t-\nVIEW\t0\tcached\t1\n"

func serveInput(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

// Only routers with events in a batch reply, and a stopped router does not act.
func TestRoutersAreIndependent(t *testing.T) {
	out, err := serveInput(t, "SYNC\t0\t1\nSELECT\t1\n"+startMessages+"SELECT\t2\n"+startMessages+"EOF_BATCH\n"+
		"SYNC\t9\t2\nSELECT\t2\nSUBMIT\tq\t0\t0\t-\t1500000\t-\t1\t0\t0\nEOF_BATCH\n"+
		"SYNC\t10\t3\nSELECT\t2\nRETIRE\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	second := out[strings.Index(out, "EOR\t1"):]
	if !strings.Contains(second, "FOR\t2\nPLACE\tq\th\t") || strings.Contains(second, "FOR\t1") {
		t.Errorf("second reply:\n%s", second)
	}
	if !strings.HasSuffix(out, "EOR\t2\nEOR\t3\n") {
		t.Errorf("a stopped router acted:\n%s", out)
	}
}

// Malformed input, invalid settings and events of routers that were not started end the process with the reason.
func TestServeFailsOnBadInput(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"malformed", "SYNC\t0\t1\nHELLO\n", "line 2"},
		{"no classes", "SYNC\t0\t1\nSELECT\t1\nPROVISION\t5\tInstances=1\nEOF_BATCH\n", "router 1: settings: no classes"},
		{"not started", "SYNC\t0\t1\nSELECT\t4\nELAPSED\t1\nEOF_BATCH\n", "router 4: event before its start"},
	}
	for _, tt := range tests {
		if _, err := serveInput(t, tt.in); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.want)
		}
	}
}
