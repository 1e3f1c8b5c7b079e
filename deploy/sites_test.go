package deploy_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/settings"
	"lilaccove/policy"
)

// deployment holds the values of a site file that a gateway's settings contain.
type deployment struct {
	Name    string
	Net     struct{ Zones []string }
	Clients struct {
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	}
	Allow struct {
		Probes, Cancel bool
		RetryAfter     bool `toml:"retry_after"`
		MaxAttempts    int  `toml:"max_attempts"`
	}
	Rules struct {
		DrainGrace   float64 `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		Fall         float64 `toml:"fall_ms"`
	}
	Class []struct {
		Name, Effect string
		Share        []float64
		Aim          float64 `toml:"aim_ms"`
		Deadline     float64 `toml:"deadline_ms"`
		Window       float64 `toml:"window_ms"`
		Worth        float64
		LateWorth    float64 `toml:"late_worth"`
	}
	Fam struct {
		Class []struct {
			Read  string
			Bound float64 `toml:"bound_ms"`
		}
	}
}

// Values in the site files, and the values in the settings that correspond to them.
var (
	repeatByEffect  = map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
	readLevelByRead = map[string]string{"any": "loose", "bounded": "recent", "session": "own_writes", "fresh": "latest", "write": "update"}
)

// settingPairs returns the settings of a gateway of this deployment, as far as its site file determines them.
func (d *deployment) settingPairs() (list []string) {
	add := func(path string, value any) { list = append(list, fmt.Sprint(path, "=", value)) }
	var levels, bounds []string
	for i, c := range d.Class {
		prefix := fmt.Sprintf("Lanes.%d.", i)
		add(prefix+"Name", c.Name)
		add(prefix+"Repeat", repeatByEffect[c.Effect])
		add(prefix+"GoalTimeUs", c.Aim*1000)
		add(prefix+"DeadlineUs", c.Deadline*1000)
		add(prefix+"DedupWindowUs", c.Window*1000)
		add(prefix+"Worth", c.Worth)
		add(prefix+"LateWorth", c.LateWorth)
		levels = append(levels, readLevelByRead[d.Fam.Class[i].Read])
		bounds = append(bounds, fmt.Sprint(d.Fam.Class[i].Bound*1000))
	}
	add("Lanes.count", len(d.Class))
	add("Domain.ReadLevel", strings.Join(levels, ","))
	add("Domain.ClassBoundUs", strings.Join(bounds, ","))
	add("Domain.ShowsRole", "delayed")
	add("Domain.Behind", "none")
	add("Instances", 3)
	add("Localities", strings.Join(d.Net.Zones, ","))
	add("Allowed.TryLimit", d.Allow.MaxAttempts)
	add("Allowed.Cancel", d.Allow.Cancel)
	add("Allowed.Probes", d.Allow.Probes)
	add("Allowed.RetryAfter", d.Allow.RetryAfter)
	add("Allowed.MaxRetryAfterUs", d.Clients.MaxRetryAfter*1000)
	add("Rules.DrainGraceUs", d.Rules.DrainGrace*1000)
	add("Rules.FallMultiple", d.Rules.FallMultiple)
	add("Rules.FallUs", d.Rules.Fall*1000)
	return list
}

// loadDeployments reads all site files and checks that the files without a deployment exist.
func loadDeployments(t *testing.T) (list []*deployment) {
	t.Helper()
	paths, err := filepath.Glob("sites/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		d := &deployment{}
		require.NoError(t, toml.Unmarshal(text, d), path)
		assert.Equal(t, strings.TrimSuffix(filepath.Base(path), ".toml"), d.Name)
		require.Len(t, d.Fam.Class, len(d.Class), path)
		list = append(list, d)
	}
	for _, name := range []string{"real.json", "wire.json", "unlock.txt"} {
		assert.FileExists(t, "sites/"+name)
	}
	return list
}

// The settings of each deployment can be decoded, and a router can be created with them.
func TestDeploymentsGiveValidSettings(t *testing.T) {
	for _, d := range loadDeployments(t) {
		set, err := settings.FromPairs(d.settingPairs())
		require.NoError(t, err, d.Name)
		require.Len(t, set.Classes, len(d.Class))
		for i, c := range d.Class {
			assert.Equal(t, c.Name, set.Classes[i])
			assert.Equal(t, c.Deadline, float64(set.Policy.Classes[i].Deadline.Milliseconds()))
			assert.Equal(t, c.Effect == "unsafe", set.Policy.Classes[i].RetrySafety == policy.AtMostOnce)
		}
		_, err = policy.New(set.Policy, 1)
		assert.NoError(t, err, d.Name)
	}
}

// The program must not be tailored to one deployment: its sources contain no deployment's, class's or zone's name as a string.
func TestProgramNamesNoDeployment(t *testing.T) {
	var sources strings.Builder
	for _, dir := range []string{"../policy", "../internal", "../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			sources.Write(text)
			return err
		}))
	}
	for _, d := range loadDeployments(t) {
		names := append([]string{d.Name}, d.Net.Zones...)
		for _, c := range d.Class {
			names = append(names, c.Name)
		}
		for _, name := range names {
			assert.NotContains(t, sources.String(), `"`+name+`"`, d.Name)
		}
	}
}
