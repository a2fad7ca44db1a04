// Package gateway is the real gateway round the decision module: it turns what
// happens on sockets into the module's events and carries out its actions.
// Which request goes where, and when it is refused, is decided in package
// rules alone.
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

// Config is what a gateway is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Control   string // where operators call; empty where they do not
	Discovery string
	// Registries are list services, of which any will do, that are asked in
	// discovery's place; empty: discovery is.
	Registries []string
	Counter    string // empty where the deployment has none
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int // file descriptors
	BodyMB     int // megabytes that a client may send in one body; 0: any number
	Known      Listing
	Members    membershipConfig
	Scopes     scopesConfig

	// Of the environment, where the platform lets two processes of a gateway serve
	// side by side:
	Inherited   string // descriptor of the clients' socket
	HandoverDir string // where the processes meet
	wire.Deployment

	document any                 // the file as it was read
	observe  func(registry.Told) // of a Hollow: is told first what list services tell; else nil
}

// Reload is what a configuration that was read again came to.
type Reload struct {
	Config Config
	Err    error
}

// least are the limits below which a gateway can't do its work.
const (
	minMemoryMB = 16
	minSockets  = 128
)

func (c *Config) maxBodyBytes() int64 { return int64(c.BodyMB) << 20 }

// ReadConfig reads the configuration file at path.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

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
		return Config{}, errors.New("no settings")
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Control: raw.Control, Discovery: raw.Discovery, Counter: raw.Counter,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, BodyMB: raw.Limits.BodyMB, Registries: raw.Registries, Known: raw.Known}
	var err error
	if c.Deployment, err = wire.ParseDeployment(raw.Settings); err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if c.Scopes, err = readScopes(raw.Scopes, raw.Subset, c.Fleet); err != nil {
		return Config{}, err
	}
	if err := json.Unmarshal(text, &c.document); err != nil {
		return Config{}, err
	}
	if raw.Membership {
		var peers struct {
			FamilyInfo struct {
				InboxPerS float64 `json:"inboxPerS"`
			} `json:"familyInfo"`
		}
		if err := json.Unmarshal(raw.Settings, &peers); err != nil {
			return Config{}, err
		}
		c.Members = membershipConfig{true, raw.PeerListen, raw.Peers, peers.FamilyInfo.InboxPerS}
		if _, err := c.agentConfig(); err != nil {
			return Config{}, err
		}
	}
	return c, c.check()
}

// lacks finds a key that the configuration in force has and the next has not. A
// file that was not written to its end, or by hand in haste, may still be JSON.
func (c *Config) checkReload(next *Config) error {
	if at := missingKey(c.document, next.document); at != "" {
		return fmt.Errorf("%s is missing", at[1:])
	}
	if c.Members.Enabled != next.Members.Enabled || !slices.Equal(c.Members.Peers, next.Members.Peers) || c.Members.PeerListen != next.Members.PeerListen {
		return errors.New("membership, peer_listen, peers: others need a new start")
	}
	if (len(c.Registries) > 0) != (len(next.Registries) > 0) {
		return errors.New("registries: whether list services are asked needs a new start")
	}
	return c.Scopes.checkReload(&next.Scopes)
}

// missingKey names the first key that is in have and not in next. Of the
// elements of a list, each needs the keys that all had before.
func missingKey(have, next any) string {
	switch have := have.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(have)) {
			value, there := next[key]
			if !ok || !there {
				return "." + key
			}
			if at := missingKey(have[key], value); at != "" {
				return "." + key + at
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return "[]"
		}
		common := commonKeys(have)
		for _, element := range next {
			if at := missingKey(common, element); at != "" {
				return at
			}
		}
	}
	return ""
}

// commonKeys returns what all elements of a list have, if they are objects.
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
		maps.DeleteFunc(common, func(key string, _ any) bool { _, there := object[key]; return !there })
	}
	if common == nil {
		return nil
	}
	return common
}

// check finds what a gateway could not run with, before any socket is opened.
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
				return fmt.Errorf("%s %q: the name is empty or stands twice", key, name)
			}
		}
	}
	for i, class := range c.Classes {
		if class.Deadline <= 0 || class.Aim <= 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0", c.ClassNames[i])
		}
	}
	switch {
	case c.MaxAttempts <= 0:
		return fmt.Errorf("settings: %d attempts are none", c.MaxAttempts)
	case c.Cores <= 0 || c.MemoryMB < minMemoryMB || c.Sockets < minSockets:
		return fmt.Errorf("limits: %g cores, %d MB and %d sockets are too little", c.Cores, c.MemoryMB, c.Sockets)
	case c.BodyMB < 0:
		return fmt.Errorf("limits: a body of %d MB is none", c.BodyMB)
	case c.Fleet < 1 || c.Rank < 0 || c.Rank >= c.Fleet:
		return fmt.Errorf("settings: rank %d is not among %d gateways", c.Rank, c.Fleet)
	case c.Tick <= 0 || c.ConnectTimeout <= 0 || c.KeepAlive <= 0:
		return errors.New("settings: tick, connect time-out and keep-alive must be above 0")
	case c.Settings.Counter && c.CounterTimeout <= 0:
		return errors.New("settings: the counter's time-out must be above 0")
	}
	return c.Scopes.check(len(c.Registries))
}
