// Registry runs a service registry: the writer of the list of backends, a follower that copies a
// writer, or a member of a group that replicates the list.
//
// REGISTRY_CONFIG or --config names its configuration file, which SIGHUP reloads. SIGTERM releases
// its watchers and ends the process. The command "promote" makes a follower the writer; "recover"
// and "takeover" work on the folder of a stopped process.
package main

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"dunlintray/internal/command"
	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/registry"
	"dunlintray/internal/wal"
)

// config is the configuration of a service registry.
type config struct {
	Listen  string `json:"listen"`  // address for readers and instances
	Control string `json:"control"` // address for operators; empty: none
	Writer  string `json:"writer"`  // address of the writer to copy; empty: this is the writer
	LeaseMs int    `json:"lease_ms"`
	// DataDir is the folder that the list is stored in; empty: the list is not stored.
	DataDir string `json:"data_dir"`
	// Peers are addresses of other service registries. A writer asks them, before it accepts
	// writes, whether one of them has been promoted in its place.
	Peers []string `json:"peers"`
	// Group makes this process a member of a group that replicates a ledger; nil: it is none.
	Group  *groupConfig `json:"group"`
	Limits struct {
		Instances    int     `json:"instances"`
		History      int     `json:"history"`
		HistoryBytes int     `json:"history_bytes"`
		Connections  int     `json:"connections"`
		Watchers     int     `json:"watchers"`
		ListsPerS    float64 `json:"lists_per_s"`
		DataMB       int     `json:"data_mb"`
		// Limits for readers of a part of the list, which subscribe to a set of scopes.
		Subscriptions      int   `json:"subscriptions"`       // sets of scopes
		SubscriptionScopes int   `json:"subscription_scopes"` // scopes of one set
		SubscribedScopes   int   `json:"subscribed_scopes"`   // scopes of all sets
		SubscriptionBytes  int64 `json:"subscription_bytes"`  // body of a request that defines a set
		EmptyServices      int   `json:"empty_services"`      // remembered services without instances
	} `json:"limits"`
}

// groupConfig is the configuration of a group member.
type groupConfig struct {
	Name    string            `json:"name"`
	Self    uint64            `json:"self"`    // number of this member
	Listen  string            `json:"listen"`  // address for members and clients of the group
	Members map[uint64]string `json:"members"` // addresses by number, including this member's
	DataDir string            `json:"data_dir"`
	DataMB  int               `json:"data_mb"`
	// RegistryAddresses are the addresses of the members' service registries. If it is set, the
	// group replicates the list too, and the leader of the group is the writer of the list.
	RegistryAddresses map[uint64]string `json:"lists"`
	// Join means that this member is added to an existing group ("dunlintray group add").
	// Members are then this one and some others that it can ask.
	Join bool `json:"join"`
}

// groupDataMB is the default of groupConfig.DataMB.
const groupDataMB = 256

// memberConfig returns the configuration for package group, with defaults applied.
func (c *groupConfig) memberConfig() group.Config {
	member := group.Config{Name: c.Name, Self: c.Self, Members: c.Members, RegistryAddresses: c.RegistryAddresses, Join: c.Join, Dir: c.DataDir, DataMB: c.DataMB, Limits: ledger.DefaultLimits}
	if member.DataMB == 0 {
		member.DataMB = groupDataMB
	}
	return member
}

func (c *config) storeLimits() registry.Limits {
	return registry.Limits{Lease: time.Duration(c.LeaseMs) * time.Millisecond, Instances: c.Limits.Instances,
		History: c.Limits.History, HistoryBytes: c.Limits.HistoryBytes, EmptyServices: c.Limits.EmptyServices}
}

func (c *config) serverLimits() registry.ServerLimits {
	return registry.ServerLimits{Connections: c.Limits.Connections, Watchers: c.Limits.Watchers, ListingsPerSecond: c.Limits.ListsPerS,
		Subscriptions: c.Limits.Subscriptions, SubscriptionScopes: c.Limits.SubscriptionScopes,
		SubscribedScopes: c.Limits.SubscribedScopes, SubscriptionBytes: c.Limits.SubscriptionBytes}
}

// readConfig reads, with defaults, and checks the configuration file.
func readConfig(path string) (*config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer file.Close()
	parsed := &config{LeaseMs: 10_000}
	parsed.Limits.Instances, parsed.Limits.History, parsed.Limits.HistoryBytes = 10_000, 20_000, 8<<20
	parsed.Limits.Connections, parsed.Limits.Watchers, parsed.Limits.ListsPerS = 1024, 800, 100
	parsed.Limits.DataMB = 512
	parsed.Limits.Subscriptions, parsed.Limits.SubscriptionScopes, parsed.Limits.SubscribedScopes = 2000, 4096, 1<<18
	parsed.Limits.SubscriptionBytes, parsed.Limits.EmptyServices = 1<<20, 4096
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(parsed); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("configuration %s: unexpected data after the JSON object", path)
	}
	if err := parsed.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return parsed, nil
}

// check returns an error for the first invalid field.
func (c *config) check() error {
	addresses := map[string]string{"listen": c.Listen, "control": c.Control, "writer": c.Writer}
	for index, peer := range c.Peers {
		addresses[fmt.Sprintf("peers[%d]", index)] = peer
	}
	for key, address := range addresses {
		if address == "" && (key == "control" || key == "writer") {
			continue
		}
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not an address with a port", key, address)
		}
	}
	if c.Group != nil {
		member := c.Group.memberConfig()
		if err := member.Check(); err != nil {
			return fmt.Errorf("group: %w", err)
		}
		for key, address := range map[string]string{"listen": c.Group.Listen, "members, this one": c.Group.Members[c.Group.Self]} {
			if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
				return fmt.Errorf("group: %s: %q is not an address with a port", key, address)
			}
		}
		if registries := c.Group.RegistryAddresses; registries != nil {
			for number := range c.Group.Members {
				if _, port, err := net.SplitHostPort(registries[number]); (err != nil || port == "") && !(c.Group.Join && number != c.Group.Self) {
					return fmt.Errorf("group: lists: %q of member %d is not an address with a port", registries[number], number)
				}
			}
			if c.Writer != "" || c.DataDir != "" || len(c.Peers) > 0 {
				return errors.New("group: lists: writer, data_dir and peers must be empty, since the group replicates the list")
			}
		}
		if c.Group.DataDir == c.DataDir {
			return fmt.Errorf("group: data_dir: %q is also the data_dir of the list", c.DataDir)
		}
	}
	limits := c.Limits
	switch {
	case c.LeaseMs < 500 || c.LeaseMs > 600_000:
		return fmt.Errorf("lease_ms: %d is not between 500 and 600000", c.LeaseMs)
	case limits.Instances < 1 || limits.History < 1 || limits.HistoryBytes < 1024 || limits.Connections < 2 || limits.Watchers < 1 || !(limits.ListsPerS >= 1):
		return errors.New("limits: instances, history, watchers and lists_per_s must be at least 1, connections at least 2, history_bytes at least 1024")
	case limits.Subscriptions < 1 || limits.SubscriptionScopes < 1 || limits.SubscribedScopes < limits.SubscriptionScopes || limits.SubscriptionBytes < 1024 || limits.EmptyServices < 1:
		return errors.New("limits: subscriptions: each has to allow something, and subscribed_scopes one whole subscription")
	case limits.SubscriptionScopes > registry.MaxScopes:
		return fmt.Errorf("limits: subscription_scopes: %d is above %d", limits.SubscriptionScopes, registry.MaxScopes)
	case limits.DataMB < 32:
		return fmt.Errorf("limits: data_mb: %d is under 32", limits.DataMB)
	case limits.Watchers >= limits.Connections:
		return fmt.Errorf("limits: %d watchers leave no room for writers among %d connections", limits.Watchers, limits.Connections)
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := runCommand(ctx); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "registry:", err)
		os.Exit(1)
	}
}

// runCommand runs the command that the arguments name, by default the service registry.
func runCommand(ctx context.Context) error {
	if len(os.Args) > 1 {
		switch args := os.Args[2:]; os.Args[1] {
		case "promote":
			return promote(ctx, args)
		case "recover":
			return recoverGroup(args, os.Stdout)
		case "takeover":
			return takeOver(args, os.Stdout)
		}
	}
	options, err := command.Parse("registry", "REGISTRY_CONFIG", os.Args[1:], os.Stderr)
	if err != nil {
		return err
	}
	if options.Check {
		if _, err := readConfig(options.Config); err != nil {
			return err
		}
		fmt.Println(options.Config, "is good")
		return nil
	}
	options.Log(os.Stderr)
	return run(ctx, options.Config, func() {})
}

// run runs a service registry until ctx ends. It calls configRead once it has read its
// configuration.
func run(ctx context.Context, path string, configRead func()) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	current, err := readConfig(path)
	if err != nil {
		return err
	}
	configRead()
	listener, err := net.Listen("tcp", current.Listen)
	if err != nil {
		return err
	}
	var controlListener net.Listener
	if current.Control != "" {
		if controlListener, err = net.Listen("tcp", current.Control); err != nil {
			return err
		}
	}
	startedAt := time.Now()
	var seed [32]byte
	crand.Read(seed[:])
	random := rand.New(rand.NewChaCha8(seed))
	if current.Group != nil && current.Group.RegistryAddresses != nil {
		server := registry.NewGroupMember(current.Listen, current.storeLimits(), current.serverLimits(), startedAt, random)
		go reload(ctx, path, current, hangups, func(next *config) { server.SetLimits(next.storeLimits(), next.serverLimits()) })
		return current.withGroup(ctx, server, func(ctx context.Context) error { return server.Serve(ctx, listener, controlListener) })
	}
	var log *wal.Log
	var stored *registry.Store
	if current.DataDir != "" {
		if err := os.MkdirAll(current.DataDir, 0o700); err != nil {
			return err
		}
		if log, stored, err = registry.Open(wal.Dir(current.DataDir), int64(current.Limits.DataMB)<<20, current.storeLimits(), 0); err != nil {
			return fmt.Errorf("data_dir %s: %w", current.DataDir, err)
		}
	}
	if current.Writer != "" {
		slog.Info("starting", "listen", current.Listen, "writer", current.Writer)
		follower := registry.NewFollower(current.Listen, current.Writer, stored, current.storeLimits(), current.serverLimits(), startedAt, random)
		if log != nil {
			if err := follower.Persist(log, false); err != nil {
				return err
			}
		}
		if stored != nil && stored.IsWriter() {
			slog.Warn("this follower was promoted and is the writer; its configuration still names another", "writer", current.Writer)
		}
		go reload(ctx, path, current, hangups, func(next *config) {
			follower.SetLimits(next.storeLimits(), next.serverLimits())
			if next.Writer != current.Writer {
				follower.SetSource(ctx, next.Writer)
			}
		})
		return current.withGroup(ctx, nil, func(ctx context.Context) error { return follower.Serve(ctx, listener, controlListener) })
	}
	store := stored
	switch {
	case stored == nil:
		name := fmt.Sprintf("%016x", random.Uint64())
		store = registry.NewStore(current.storeLimits(), name, startedAt.UnixMilli(), 0)
		slog.Info("starting a new history", "listen", current.Listen, "name", name, "version", startedAt.UnixMilli(), "reads_in", current.storeLimits().Lease)
	case !stored.IsWriter():
		return fmt.Errorf("data_dir %s holds a follower's copy; promote that follower, or start in an empty folder", current.DataDir)
	}
	writer := registry.NewWriter(current.Listen, store, current.serverLimits(), startedAt, random)
	if log != nil {
		if err := writer.Persist(log, stored == nil); err != nil {
			return err
		}
	}
	writer.QueryPeers(ctx, current.Peers)
	if fence := writer.Fence(); fence != nil {
		slog.Error("another writer was promoted in place of this one; configure this one as its follower", "writer", fence.Writer, "epoch", fence.Epoch)
	}
	go reload(ctx, path, current, hangups, func(next *config) { writer.SetLimits(next.storeLimits(), next.serverLimits()) })
	return current.withGroup(ctx, nil, func(ctx context.Context) error { return writer.Serve(ctx, listener, controlListener) })
}

// withGroup runs serve and, if Group is set, the group member until ctx ends. The group replicates
// the list of server unless that is nil. If one of the two ends, withGroup ends the other, so that
// a failed disk of the member becomes visible.
func (c *config) withGroup(ctx context.Context, server *registry.Server, serve func(context.Context) error) error {
	if c.Group == nil {
		return serve(ctx)
	}
	if err := os.MkdirAll(c.Group.DataDir, 0o700); err != nil {
		return err
	}
	memberConfig := c.Group.memberConfig()
	if server != nil {
		memberConfig.List = server
	}
	member, err := group.Open(memberConfig, wal.Dir(c.Group.DataDir))
	if err != nil {
		return fmt.Errorf("group: data_dir %s: %w", c.Group.DataDir, err)
	}
	listener, err := net.Listen("tcp", c.Group.Listen)
	if err != nil {
		return err
	}
	if server != nil {
		server.SetGroup(member)
	}
	slog.Info("member of a group", "name", c.Group.Name, "self", c.Group.Self, "members", len(c.Group.Members), "listen", c.Group.Listen)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks := []func(context.Context) error{serve, member.Run, func(ctx context.Context) error { return member.Serve(ctx, listener) }}
	results := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { results <- task(ctx) }()
	}
	var failures []error
	for range tasks {
		failures = append(failures, <-results)
		stop()
	}
	return errors.Join(failures...)
}

// loadStoppedMember reads the configuration of a stopped group member. Its server is nil if the
// group does not replicate the list.
func loadStoppedMember(path string) (*config, *registry.Server, group.Config, error) {
	parsed, err := readConfig(path)
	if err != nil {
		return nil, nil, group.Config{}, err
	}
	if parsed.Group == nil {
		return nil, nil, group.Config{}, fmt.Errorf("configuration %s: not of a group member: group is missing", path)
	}
	var server *registry.Server
	if parsed.Group.RegistryAddresses != nil {
		var seed [32]byte
		crand.Read(seed[:])
		server = registry.NewGroupMember(parsed.Listen, parsed.storeLimits(), parsed.serverLimits(), time.Now(), rand.New(rand.NewChaCha8(seed)))
	}
	return parsed, server, parsed.Group.memberConfig(), os.MkdirAll(parsed.Group.DataDir, 0o700)
}

// recoverGroup turns the only remaining member into a group of one.
func recoverGroup(args []string, out io.Writer) error {
	if len(args) != 2 || args[1] != "--others-are-lost" {
		return errors.New("recover CONFIG --others-are-lost: CONFIG is the configuration of the only remaining member. Entries that the others committed without it are lost, and the others must not run again")
	}
	parsed, server, member, err := loadStoppedMember(args[0])
	if err != nil {
		return err
	}
	var list group.RecoverableList
	if server != nil {
		list = server
	}
	recovery, err := group.Recover(member, wal.Dir(parsed.Group.DataDir), list)
	if err != nil {
		return fmt.Errorf("recover: %w", err)
	}
	fmt.Fprintf(out, "member %d is now the only member of the group, with generation %s\n", parsed.Group.Self, recovery.Generation)
	fmt.Fprintf(out, "its last entry is %d of term %d; entries committed after that, if any, are lost although they were answered\n", recovery.LastIndex, recovery.Term)
	if recovery.LastIndex > recovery.CommitIndex {
		fmt.Fprintf(out, "entries %d to %d were not known to be committed; they are committed now\n", recovery.CommitIndex+1, recovery.LastIndex)
	}
	for _, number := range group.MemberNumbers(recovery.Former) {
		fmt.Fprintf(out, "member %d at %s is removed: it refuses to run once it learns of this; empty its folder and add it under a new number\n", number, recovery.Former[number].Address)
	}
	return nil
}

// takeOver starts a group of one with the list of a stopped writer or follower.
func takeOver(args []string, out io.Writer) error {
	if len(args) != 2 {
		return errors.New("takeover CONFIG DATA_DIR: CONFIG is the configuration of a group of one, DATA_DIR the folder of the writer or follower whose list the group takes over")
	}
	parsed, server, member, err := loadStoppedMember(args[0])
	switch {
	case err != nil:
		return err
	case server == nil:
		return errors.New("takeover: the configuration has no group.lists, so the group would have no list")
	}
	if _, err := os.Stat(args[1]); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	log, store, err := registry.Open(wal.Dir(args[1]), int64(parsed.Limits.DataMB)<<20, parsed.storeLimits(), 0)
	if err != nil {
		return fmt.Errorf("takeover: %s: %w", args[1], err)
	}
	defer log.Close()
	if store == nil {
		return fmt.Errorf("takeover: %s: the folder contains no list", args[1])
	}
	fromFollower, err := server.TakeOver(store)
	if err != nil {
		return fmt.Errorf("takeover: %s: %w", args[1], err)
	}
	if err := group.Bootstrap(member, wal.Dir(parsed.Group.DataDir), server); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	if fromFollower {
		fmt.Fprintln(out, "the folder holds a follower's copy: writes that the follower had not copied are lost, and the list has a new history")
	}
	fmt.Fprintln(out, "the list was taken over; start this member, and add others to it. Do not start the writer again")
	return nil
}

const promoteTimeout = 10 * time.Second

// promote makes the follower with a control address the writer.
func promote(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("promote ADDRESS: got %d arguments; ADDRESS is the control address of a follower", len(args))
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+args[0]+"/control/promote", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		const maxAnswerBytes = 1 << 10
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return errors.Join(fmt.Errorf("promote: %s: %s", resp.Status, bytes.TrimSpace(text)), err)
	}
	fmt.Println(args[0], "is the writer; name it in the configurations of backends, followers and gateways")
	return nil
}

// reload reads the configuration again at each hangup until ctx ends and passes it to apply. It
// rejects changes that need a restart.
func reload(ctx context.Context, path string, current *config, hangups <-chan os.Signal, apply func(*config)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := readConfig(path)
		if err == nil && (next.Listen != current.Listen || next.Control != current.Control || next.DataDir != current.DataDir || (next.Writer == "") != (current.Writer == "") || !reflect.DeepEqual(next.Group, current.Group)) {
			err = errors.New("changes of listen, control, data_dir or group, and between writer and follower, need a restart")
		}
		if err != nil {
			slog.Error("not reloaded", "error", err)
			continue
		}
		apply(next)
		*current = *next
		slog.Info("reloaded", "config", fmt.Sprintf("%+v", *current))
	}
}
