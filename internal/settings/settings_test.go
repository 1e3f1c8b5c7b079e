package settings

import (
	"strings"
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

// The decision module must get the same settings in the simulator as in a gateway, whichever form they have.
func TestPairsAndJSONGiveEqualSettings(t *testing.T) {
	a, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	b, err := FromPairs(pairs)
	require.NoError(t, err)
	assert.Equal(t, b, a)
	assert.Equal(t, []string{"browse-read", "licence-write"}, a.Classes)
	assert.Equal(t, []string{"osu-room", "tema-room"}, a.Zones)
	assert.Equal(t, 3*time.Second, a.Policy.Classes[0].Bound)
	assert.Equal(t, policy.AtMostOnce, a.Policy.Classes[1].RetrySafety)
	assert.Equal(t, 77, a.MaxOpen)
}

func TestErrorsNameTheSetting(t *testing.T) {
	tests := []struct {
		name, pair, want string
	}{
		{"number", "Zone=x", `Zone: "x" is not a number`},
		{"keyword", "Domain.ShowsRole=perhaps", `Domain.ShowsRole: unknown value "perhaps"`},
		{"no value", "Zone", `setting "Zone" has no value`},
		{"level", "Domain.ReadLevel=recent", `unknown value "" for class 1`},
		{"bound", "Domain.ClassBoundUs=", "no bound for class 0"},
		{"negative bound", "Domain.ClassBoundUs=-5,0", `no bound for class 0 in "-5"; give microseconds`},
		{"bound that is not a number", "Domain.ClassBoundUs=3000000,soon", `no bound for class 1 in "soon"`},
		{"negative time", "Rules.DrainGraceUs=-1", "Rules.DrainGraceUs: -1 is out of range; give microseconds from 0"},
		{"huge time", "Lanes.0.DedupWindowUs=1e30", "Lanes.0.DedupWindowUs: 1e30 is out of range"},
		{"NaN", "Rules.FallUs=NaN", `Rules.FallUs: "NaN" is not a number`},
		{"infinite", "Rules.ColdUs=+Inf", `Rules.ColdUs: "+Inf" is not a number`},
		{"negative number of attempts, which would be no limit", "Allowed.TryLimit=-1", "Allowed.TryLimit: -1 is out of range"},
		{"half an attempt", "Allowed.TryLimit=2.5", "Allowed.TryLimit: 2.5 is not a whole number"},
		{"huge count", "Instances=1e300", "Instances: 1e300 is out of range"},
		{"share above 1", "Rules.StartCapacity=27", "Rules.StartCapacity: 27 is out of range; give a share from 0 to 1"},
		{"negative multiple", "Rules.FallMultiple=-2", "Rules.FallMultiple: -2 is out of range"},
		{"no repeat", "Lanes.1.Repeat=", `Lanes.1.Repeat: unknown value ""`},
		{"no deadline", "Lanes.1.DeadlineUs=0", "class 1 needs both"},
		{"huge number of classes", "Lanes.count=1e12", "Lanes.count: 1e12 is out of range"},
	}
	for _, tt := range tests {
		_, err := FromPairs(append(append([]string(nil), pairs...), tt.pair))
		assert.ErrorContains(t, err, tt.want, tt.name)
	}
	_, err := FromJSON([]byte(`[1]`))
	assert.Error(t, err)
}

// What the settings do not allow is forbidden: probes, cancel requests, contact between gateways, and advice to clients when to
// retry. A missing maximum of attempts or of requests in progress means no limit.
func TestMissingSettingsAllowNothing(t *testing.T) {
	var minimal []string
	for _, pair := range pairs {
		if !strings.HasPrefix(pair, "Allowed.") {
			minimal = append(minimal, pair)
		}
	}
	settings, err := FromPairs(minimal)
	require.NoError(t, err)
	assert.False(t, settings.Policy.CanProbe)
	assert.False(t, settings.Policy.CanCancel)
	assert.False(t, settings.Peers)
	assert.Zero(t, settings.Policy.MaxRetryAfter)
	assert.Zero(t, settings.Policy.Classes[0].DedupWindow)
	assert.Zero(t, settings.Policy.DrainGrace)
}
