package wire

import (
	"io"
	"strings"
	"testing"
	"time"

	"lilaccove/policy"
)

const startBatch = "SYNC\t1000\t7\nSELECT\t3\n" +
	"PROVISION\t5\tInstances=3\tDiscovery=ask\tResolutionUs=5000\tDomain.ZeroUs=2000000\tUnheard=x" +
	"\tDomain.ReadLevel=recent,update\tDomain.ClassBoundUs=500000,0\tDomain.Behind=hold" +
	"\tDomain.SessionMarks=router\tDomain.ShowsRole=initial\tLanes.count=2" +
	"\tLanes.0.GoalTimeUs=600000\tLanes.0.DeadlineUs=1500000\tLanes.0.Repeat=retryable" +
	"\tLanes.1.GoalTimeUs=600000\tLanes.1.DeadlineUs=1500000\tLanes.1.Repeat=dedup\tLanes.1.Group=all\n" +
	"LEDGER\t0\t1\nROW\thost-a\t1\t0\t11\tcordoned\t1.5\t1\t6100000\nVIEW\t0\tcached\t41\nEOF_BATCH\n"

// Every message and its values are parsed, positions relative to the epoch in the settings.
func TestReaderParsesEveryMessage(t *testing.T) {
	reader := NewReader(strings.NewReader(startBatch + "SYNC\t2000\t8\nSELECT\t3\n" +
		"SUBMIT\tq\t1\t2\t77\t240000\t-\t11\t412.5\t4\n" +
		"RESOLVED\tq\t0\thost-a\t0\t18500\t1\t25486\t-\n" +
		"PROBE_RESULT\t1400\thost-a\t0\tx0:6.204,x1:1,odd:9,backlog:3\n" +
		"LAPSED\tq\nELAPSED\t9\nVIEW\t-\tfailed\t-\nRETIRE\nEOF_BATCH\n"))
	batch, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	settings := batch.Items[0].Settings
	if settings.ListSource != policy.ListFromService || !settings.TracksSessions || settings.StaleReadMode != policy.StaleReadHold ||
		settings.ListRole != policy.ListRoleInitial || settings.Classes[0].Bound != 500*time.Millisecond ||
		settings.Classes[1].RetrySafety != policy.DedupAll || settings.Classes[1].Level != policy.Write {
		t.Errorf("settings %+v", settings)
	}
	update := batch.Items[1].Event.(policy.ListUpdate)
	if e := update.Entries[0]; update.Kind != policy.ListCached || e.Host != "host-a" || e.Group != 11 ||
		e.Status != policy.Draining || !e.Primary || e.StartedAt != 6100*time.Millisecond {
		t.Errorf("members %+v", update)
	}
	if batch, err = reader.Next(); err != nil {
		t.Fatal(err)
	}
	request := batch.Items[0].Event.(policy.Request)
	if request.Session != 77 || request.Group != 11 || request.LastCommitAge != 412500*time.Microsecond || request.Timeout != 240*time.Millisecond {
		t.Errorf("request %+v", request)
	}
	result := batch.Items[1].Event.(policy.Result)
	if result.Role != policy.Replica || result.Position != 2*time.Second+6371*time.Millisecond || !result.Finished {
		t.Errorf("result %+v", result)
	}
	probe := batch.Items[2].Event.(policy.ProbeResult)
	if probe.Report.Role != policy.Primary || probe.Report.Position != 8204*time.Millisecond {
		t.Errorf("probed %+v", probe)
	}
	if e := batch.Items[4].Event.(policy.TimerFired); e.ID != 9 {
		t.Errorf("elapsed %+v", e)
	}
	if batch.Items[6].Kind != RouterStop || len(batch.Items) != 7 {
		t.Errorf("items %+v", batch.Items)
	}
	if _, err := reader.Next(); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

// Each malformed input leads to an error that names its line.
func TestErrorNamesLineOfMalformedInput(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"no SYNC", "SELECT\t1\n", "line 1: expected SYNC"},
		{"cut off line", "SYNC\t1\t1", "line 1: line is cut off"},
		{"cut off batch", "SYNC\t1\t1\n", "line 1: input ends inside a batch"},
		{"bad clock", "SYNC\tx\t1\nEOF_BATCH\n", "line 1: SYNC: value 1"},
		{"strange message", "SYNC\t1\t1\nSELECT\t1\nHELLO\nEOF_BATCH\n", `line 3: unknown message "HELLO"`},
		{"no router", "SYNC\t1\t1\nRETIRE\nEOF_BATCH\n", "line 2: RETIRE before any SELECT"},
		{"short message", "SYNC\t1\t1\nSELECT\t1\nLAPSED\nEOF_BATCH\n", "line 3: LAPSED: value 1 is missing"},
		{"strange outcome", "SYNC\t1\t1\nSELECT\t1\nPROBE_RESULT\t1\th\t77\t-\nEOF_BATCH\n", "line 3: PROBE_RESULT: value 3"},
		{"unknown list", "SYNC\t1\t1\nSELECT\t1\nVIEW\t4\tfull\t1\nEOF_BATCH\n", `line 3: VIEW: no list "4"`},
		{"bad report", "SYNC\t1\t1\nSELECT\t1\nPROBE_RESULT\t1\th\t0\tx0\nEOF_BATCH\n", "line 3: PROBE_RESULT: bad report"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

// Timers are rounded up to microseconds, and texts are kept on one line.
func TestReplyEncodesEveryAction(t *testing.T) {
	var reply Reply
	reply.BeginRouter(3)
	for _, a := range []policy.Action{
		policy.Send{Request: "q", Host: "h", Timeout: 80 * time.Millisecond},
		policy.Refuse{Request: "q", RetryAfter: time.Second}, policy.Fail{Request: "q"},
		policy.Cancel{Request: "q", Attempt: 1}, policy.Probe{Host: "h"}, policy.CloseIdleConnections{Host: "h"},
		policy.SetTimer{After: 1500, ID: 7}, policy.Subscribe{}, policy.Log{Text: "a\tb"},
	} {
		reply.Action(a)
	}
	reply.Failed("index out\nof range")
	var out strings.Builder
	if err := reply.Flush(&out, "12"); err != nil {
		t.Fatal(err)
	}
	want := "FOR\t3\nPLACE\tq\th\t80000\nREJECT\tq\t1000000\nGIVE_UP\tq\nCALL_OFF\tq\t1\nASK_LOAD\th\nHANG_UP\th\n" +
		"AFTER\t2\t7\nTRACK\t1\nSAY_LOG\ta b\nGIVE_IN\tindex out of range\nEOR\t12\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}
