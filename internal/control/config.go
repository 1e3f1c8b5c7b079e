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

// Config is the gateway's configuration: the JSON object in the file that GW_CONFIG names.
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

// Limits are the resources that the machine gives the process.
type Limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// A reload that fails for a transient lack of system resources is retried at this interval, for this time.
const (
	reloadRetryInterval = 50 * time.Millisecond
	reloadRetryTime     = 2 * time.Second
)

// Load reads the configuration at startup. The environment variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MANAGEMENT
// override its fields.
func Load(env func(string) string) (Config, error) {
	var cfg Config
	if err := sys.RetryAtStart(func() error { return readConfigFile(env, &cfg) }); err != nil {
		return cfg, err
	}
	for name, target := range map[string]*string{
		"GW_NAME": &cfg.Name, "GW_LISTEN": &cfg.Listen, "GW_DISCOVERY": &cfg.Discovery,
		"GW_MANAGEMENT": &cfg.Management,
	} {
		if value := env(name); value != "" {
			*target = value
		}
	}
	return cfg, nil
}

// readConfigFile decodes the file that GW_CONFIG names into target.
func readConfigFile(env func(string) string, target any) error {
	path := env("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG is not set")
	}
	content, err := sys.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(content, target)
	}
	if err != nil {
		return fmt.Errorf("GW_CONFIG: %w", err)
	}
	return nil
}

// LoadFleet reads the fleet file at path, or else at GW_FLEET. Without either it returns nil.
func LoadFleet(path string, env func(string) string, cfg settings.Settings) (*fleet.File, error) {
	if path = cmp.Or(path, env("GW_FLEET")); path == "" {
		return nil, nil
	}
	if !cfg.Peers {
		return nil, fmt.Errorf("fleet file %s: the settings do not allow gateways to contact each other (Allowed.Peers is not true); start without the file", path)
	}
	var content []byte
	err := sys.RetryAtStart(func() (err error) {
		content, err = sys.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return fleet.Parse(path, content)
}

// zoneName returns the name of the gateway's zone.
func zoneName(cfg settings.Settings) string {
	if i := cfg.Policy.Zone; i >= 0 && i < len(cfg.Zones) {
		return cfg.Zones[i]
	}
	return ""
}

// shortDigest returns the first 16 hexadecimal digits of the text's SHA-256.
func shortDigest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text))[:16] }

// sharedSettingsDigest returns a digest of the settings without those that differ by design between the gateways of a
// fleet, so that gateways with the same settings have the same digest.
func sharedSettingsDigest(text json.RawMessage) string {
	var values map[string]any
	if err := json.Unmarshal(text, &values); err != nil {
		return ""
	}
	delete(values, "SlotNo")
	delete(values, "Zone")
	encoded, err := json.Marshal(values) // keys are sorted
	if err != nil {
		return ""
	}
	return shortDigest(encoded)
}

// buildRevision returns the revision that the program was built from, or the module's version if the build did not record
// one.
func buildRevision() string {
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

// adaptSettings adjusts the settings of the decision module for use with real sockets.
func adaptSettings(cfg settings.Settings) policy.Settings {
	adapted := cfg.Policy
	adapted.IndependentClock = true
	if adapted.ListSource == policy.ListPushed {
		adapted.ListSource = policy.ListFromService // the setting is missing; a gateway gets no list that it does not request
	}
	adapted.Classes = append([]policy.Class(nil), adapted.Classes...)
	for i, c := range adapted.Classes {
		if c.Level == policy.Recent && c.Bound > 2*cfg.DialTimeout {
			// The bound counts from the request's last byte, which may have to wait until a connection is
			// established, for up to the dial timeout.
			adapted.Classes[i].Bound -= cfg.DialTimeout
		}
	}
	return adapted
}

// parseSeed parses a hexadecimal seed. For any other text it returns a seed from the clock.
func parseSeed(text string) int64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(n)
	}
	return time.Now().UnixNano()
}
