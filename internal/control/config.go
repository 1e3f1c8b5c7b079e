package control

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strconv"
	"time"

	"lilaccove/internal/fleet"
	"lilaccove/internal/settings"
	"lilaccove/internal/sys"
	"lilaccove/policy"
)

// Config is the object at GW_CONFIG.
type Config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Management string          `json:"management"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// Limits are what the machine gives the process.
type Limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// A reload waits for what the system lacks for the moment in which the configuration is read.
const (
	readPause = 50 * time.Millisecond
	readMost  = 2 * time.Second
)

// Load reads the configuration at the start; the plain variables go before what it says.
func Load(env func(string) string) (Config, error) {
	var cfg Config
	if err := sys.RetryAtStart(func() error { return read(env, &cfg) }); err != nil {
		return cfg, err
	}
	for name, to := range map[string]*string{
		"GW_NAME": &cfg.Name, "GW_LISTEN": &cfg.Listen, "GW_DISCOVERY": &cfg.Discovery,
		"GW_MANAGEMENT": &cfg.Management,
	} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	return cfg, nil
}

// read fills to from the file at GW_CONFIG.
func read(env func(string) string, to any) error {
	path := env("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG is not set")
	}
	text, err := sys.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		return fmt.Errorf("GW_CONFIG: %w", err)
	}
	return nil
}

// LoadFleet reads the fleet file, if one is named.
func LoadFleet(path string, env func(string) string, set settings.Settings) (*fleet.File, error) {
	if path = cmp.Or(path, env("GW_FLEET")); path == "" {
		return nil, nil
	}
	if !set.Peers {
		return nil, fmt.Errorf("fleet file %s: the settings forbid that gateways talk to each other (Allowed.Peers is not true); start without the file", path)
	}
	var text []byte
	err := sys.RetryAtStart(func() (err error) {
		text, err = sys.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return fleet.Parse(path, text)
}

// zone is the name of the gateway's.
func zone(set settings.Settings) string {
	if i := set.Policy.Zone; i >= 0 && i < len(set.Zones) {
		return set.Zones[i]
	}
	return ""
}

// digest is a short one of a text.
func digest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text))[:16] }

// sameSettings is a digest of the settings without what is each gateway's own, so that equal ones are equal.
func sameSettings(text json.RawMessage) string {
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return ""
	}
	delete(all, "SlotNo")
	delete(all, "Zone")
	same, err := json.Marshal(all) // keys are sorted
	if err != nil {
		return ""
	}
	return digest(same)
}

// build names the program: the revision that it was built from, where the build told it.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

// adapt fits the settings to real sockets.
func adapt(set settings.Settings) policy.Settings {
	p := set.Policy
	p.IndependentClock = true
	if p.ListSource == policy.ListPushed {
		p.ListSource = policy.ListFromService // the settings do not say: here no list comes unasked
	}
	p.Classes = append([]policy.Class(nil), p.Classes...)
	for i, c := range p.Classes {
		if c.Level == policy.Recent && c.Bound > 2*set.DialTimeout {
			// The bound counts from the send's last byte, which may have to wait for
			// a connection as long as one may take to come up.
			p.Classes[i].Bound -= set.DialTimeout
		}
	}
	return p
}

// seed makes a number of the hexadecimal text; any other text will do, too.
func seed(text string) int64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(n)
	}
	return time.Now().UnixNano()
}
