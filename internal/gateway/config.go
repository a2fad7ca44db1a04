// Package gateway implements the gateway's network side: it turns what happens on sockets into
// events for the decision module, package rules, and carries out the module's actions.
package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"

	"dunlintray/internal/registry"
	"dunlintray/internal/wire"
)

// Config is the configuration of a gateway, from a file and from the environment.
type Config struct {
	Name      string // of the gateway
	Listen    string // address for clients
	Control   string // address for operators; empty: none
	Discovery string // address; unused with Registries
	// Registries are the addresses of service registries, any of which can serve the list.
	// If empty, the gateway uses Discovery.
	Registries []string
	Counter    string  // address; empty: the deployment has none
	Seed       uint64  // of the decision module's random choices
	Cores      float64 // processor cores that the gateway may use
	MemoryMB   int     // memory that the gateway may use, in MB
	Sockets    int     // file descriptors that the gateway may use
	BodyMB     int     // limit of a request body in MB; 0: no limit
	Known      Listing // cached list, used until discovery or a registry answers
	Members    membershipConfig
	Scopes     scopesConfig

	// From the environment, if the platform runs two processes of a gateway during an
	// upgrade:
	Inherited   string // descriptor of the clients' socket
	HandoverDir string // directory of the hand-over socket

	// LimitHeap sets the limit of the process's heap in bytes, and returns unused memory above it
	// to the system. It is nil where several gateways share a process.
	LimitHeap func(bytes int64)

	wire.Deployment // the key "settings" of the file

	document any                   // the file as decoded JSON, for checkReload
	observe  func(registry.Update) // set for a Hollow, see NewHollow
}

// Reload is the result of reading the configuration again.
type Reload struct {
	Config Config // valid if Err is nil
	Err    error
}

// Minimum limits of a gateway.
const (
	minMemoryMB = 16
	minSockets  = 128
)

// maxBodyBytes returns the limit of a request body; 0: no limit.
func (c *Config) maxBodyBytes() int64 { return int64(c.BodyMB) << 20 }

// ReadConfig reads and checks the configuration file at path.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// parseConfig parses and checks the text of a configuration.
func parseConfig(text []byte) (Config, error) {
	var raw struct {
		Name, Listen, Control, Discovery, Counter, Seed string
		Limits                                          struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
			BodyMB   int     `json:"body_mb"`
		}
		Registries []string
		Scopes     []string
		Subset     *subsetKeys
		Known      Listing
		Settings   json.RawMessage
		Membership bool
		PeerListen string `json:"peer_listen"`
		Peers      []string
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	if raw.Settings == nil {
		return Config{}, errors.New("settings is missing")
	}
	config := Config{Name: raw.Name, Listen: raw.Listen, Control: raw.Control, Discovery: raw.Discovery, Counter: raw.Counter,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, BodyMB: raw.Limits.BodyMB, Registries: raw.Registries, Known: raw.Known}
	var err error
	if config.Deployment, err = wire.ParseDeployment(raw.Settings); err != nil {
		return Config{}, err
	}
	if config.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if config.Scopes, err = readScopes(raw.Scopes, raw.Subset, config.Fleet); err != nil {
		return Config{}, err
	}
	if err := json.Unmarshal(text, &config.document); err != nil {
		return Config{}, err
	}
	if raw.Membership {
		var membership struct {
			FamilyInfo struct {
				InboxPerS float64 `json:"inboxPerS"`
			} `json:"familyInfo"`
		}
		if err := json.Unmarshal(raw.Settings, &membership); err != nil {
			return Config{}, err
		}
		config.Members = membershipConfig{true, raw.PeerListen, raw.Peers, membership.FamilyInfo.InboxPerS}
		if _, err := config.agentConfig(); err != nil {
			return Config{}, err
		}
	}
	return config, config.check()
}

// checkReload reports why the next configuration can't replace the current one: a change that
// needs a restart, or a missing key, since a truncated file may still be valid JSON.
func (c *Config) checkReload(next *Config) error {
	if key := missingKey(c.document, next.document); key != "" {
		return fmt.Errorf("%s is missing", key[1:])
	}
	if c.Members.Enabled != next.Members.Enabled || !slices.Equal(c.Members.Peers, next.Members.Peers) || c.Members.PeerListen != next.Members.PeerListen {
		return errors.New("membership, peer_listen, peers: others need a new start")
	}
	if (len(c.Registries) > 0) != (len(next.Registries) > 0) {
		return errors.New("registries: whether list services are asked needs a new start")
	}
	return c.Scopes.checkReload(&next.Scopes)
}

// missingKey returns the path of the first key that is in have but not in next, or "". Each
// element of a list needs the keys that all elements of the list in have share.
func missingKey(have, next any) string {
	switch have := have.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(have)) {
			value, present := next[key]
			if !ok || !present {
				return "." + key
			}
			if path := missingKey(have[key], value); path != "" {
				return "." + key + path
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return "[]"
		}
		common := commonKeys(have)
		for _, element := range next {
			if path := missingKey(common, element); path != "" {
				return path
			}
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all elements of a list share, or nil if
// not all are objects.
func commonKeys(list []any) any {
	var common map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, present := object[key]; return !present })
	}
	if common == nil {
		return nil
	}
	return common
}

// check reports the first value that a gateway can't run with.
func (c *Config) check() error {
	addresses := map[string]string{"listen": c.Listen}
	for n, address := range c.Registries {
		addresses[fmt.Sprintf("registries[%d]", n)] = address
	}
	if len(c.Registries) == 0 {
		addresses["discovery"] = c.Discovery
	}
	if c.Settings.Counter {
		addresses["counter"] = c.Counter
	}
	if c.Control != "" {
		addresses["control"] = c.Control
	}
	for key, address := range addresses {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not an address with a port", key, address)
		}
	}
	for key, names := range map[string][]string{"class": c.ClassNames, "plan": c.PlanNames} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("%s %q: the name is empty or appears twice", key, name)
			}
		}
	}
	for i, class := range c.Classes {
		if class.Deadline <= 0 || class.Aim <= 0 {
			return fmt.Errorf("class %q: aim of %g s and deadline of %g s must be above 0", c.ClassNames[i], class.Aim, class.Deadline)
		}
	}
	switch {
	case c.MaxAttempts <= 0:
		return fmt.Errorf("settings: %d attempts for a request, must be above 0", c.MaxAttempts)
	case c.Cores <= 0 || c.MemoryMB < minMemoryMB || c.Sockets < minSockets:
		return fmt.Errorf("limits: %g cores, %d MB and %d sockets; the cores must be above 0, the others at least %d MB and %d sockets",
			c.Cores, c.MemoryMB, c.Sockets, minMemoryMB, minSockets)
	case c.BodyMB < 0:
		return fmt.Errorf("limits: body_mb of %d must not be negative", c.BodyMB)
	case c.Fleet < 1 || c.Rank < 0 || c.Rank >= c.Fleet:
		return fmt.Errorf("settings: rank %d is out of range for a fleet of %d gateways", c.Rank, c.Fleet)
	case c.Tick <= 0 || c.ConnectTimeout <= 0 || c.KeepAlive <= 0:
		return fmt.Errorf("settings: tick of %g s, connect timeout of %g s and keep-alive of %g s must be above 0",
			c.Tick, c.ConnectTimeout, c.KeepAlive)
	case c.Settings.Counter && c.CounterTimeout <= 0:
		return fmt.Errorf("settings: counter timeout of %g s must be above 0", c.CounterTimeout)
	}
	return c.Scopes.check(len(c.Registries))
}
