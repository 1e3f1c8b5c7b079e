package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/policy"
)

const nested = `{"Allowed":{"Cancel":true,"ConnIdleUs":15000000,"DialTimeoutUs":250000,"MaxOpen":77,
 "MaxRetryAfterUs":1000000,"Probes":true,"RetryAfter":true,"TryLimit":6},"Discovery":"ask",
 "Domain":{"Behind":"none","ClassBoundUs":[3000000,0],"ReadLevel":["recent","update"],"ShowsRole":"delayed",
 "SessionMarks":"client"},"Lanes":[
 {"DeadlineUs":1200000,"GoalTimeUs":500000,"Name":"browse-read","Repeat":"retryable","Worth":1.0,"LateWorth":0.0},
 {"DeadlineUs":3000000,"GoalTimeUs":600000,"Name":"licence-write","Repeat":"fragile","Worth":4.0,"LateWorth":0.5}],
 "Localities":["osu-room","tema-room"],"Instances":3,"Zone":1,"ResolutionUs":5000,"Orgs":[],"Nothing":null,
 "Report":{"Fields":[],"Source":"none"},"Rules":{"AnswerSlackUs":20000}}`

var pairs = []string{
	"Allowed.Cancel=true", "Allowed.ConnIdleUs=15000000", "Allowed.DialTimeoutUs=250000", "Allowed.MaxOpen=77",
	"Allowed.MaxRetryAfterUs=1000000", "Allowed.Probes=true", "Allowed.RetryAfter=true", "Allowed.TryLimit=6",
	"Discovery=ask", "Domain.Behind=none", "Domain.ClassBoundUs=3000000,0", "Domain.ReadLevel=recent,update",
	"Domain.ShowsRole=delayed", "Domain.SessionMarks=client", "Lanes.count=2",
	"Lanes.0.DeadlineUs=1200000", "Lanes.0.GoalTimeUs=500000", "Lanes.0.Name=browse-read",
	"Lanes.0.Repeat=retryable", "Lanes.0.Worth=1.0", "Lanes.0.LateWorth=0.0",
	"Lanes.1.DeadlineUs=3000000", "Lanes.1.GoalTimeUs=600000", "Lanes.1.Name=licence-write",
	"Lanes.1.Repeat=fragile", "Lanes.1.Worth=4.0", "Lanes.1.LateWorth=0.5",
	"Localities=osu-room,tema-room", "Instances=3", "Zone=1", "ResolutionUs=5000", "Orgs=", "Report.Fields=",
	"Report.Source=none", "Rules.AnswerSlackUs=20000",
}

// The module decides the same in both worlds only if it is told the same.
func TestBothFormsReadTheSame(t *testing.T) {
	a, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	b, err := FromPairs(pairs)
	require.NoError(t, err)
	assert.Equal(t, b, a)
	assert.Equal(t, []string{"browse-read", "licence-write"}, a.Classes)
	assert.Equal(t, []string{"osu-room", "tema-room"}, a.Zones)
	assert.Equal(t, 3*time.Second, a.Policy.Classes[0].Bound)
	assert.Equal(t, policy.Fragile, a.Policy.Classes[1].Repeat)
	assert.Equal(t, 77, a.MaxOpen)
}

func TestWhatIsWrongIsNamed(t *testing.T) {
	tests := []struct {
		name, pair, want string
	}{
		{"number", "Zone=x", `Zone: "x" is no number`},
		{"word", "Domain.ShowsRole=perhaps", `Domain.ShowsRole: unknown word "perhaps"`},
		{"no value", "Zone", `setting "Zone" has no value`},
		{"level", "Domain.ReadLevel=recent", `unknown word "" for class 1`},
		{"bound", "Domain.ClassBoundUs=", "no bound for class 0"},
	}
	for _, tt := range tests {
		_, err := FromPairs(append(append([]string(nil), pairs...), tt.pair))
		assert.ErrorContains(t, err, tt.want, tt.name)
	}
	_, err := FromJSON([]byte(`[1]`))
	assert.Error(t, err)
}
