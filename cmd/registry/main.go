// Registry is one list service: the writer, or a follower that copies it.
// "registry promote ADDRESS" makes the follower with that control address the
// writer.
// REGISTRY_CONFIG or --config names its configuration; SIGHUP makes it read that again,
// SIGTERM let its watchers move on and end.
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

// config is what a list service is told.
type config struct {
	Listen  string `json:"listen"`  // where readers and instances call
	Control string `json:"control"` // where operators call; empty where they do not
	Writer  string `json:"writer"`  // whom to copy; empty: this is the writer
	LeaseMs int    `json:"lease_ms"`
	// DataDir is the folder that the list lasts in; empty: it does not.
	DataDir string `json:"data_dir"`
	// Peers are other list services that a writer asks, before it takes any write,
	// whether one of them was put in its place.
	Peers []string `json:"peers"`
	// Group makes this service a member of a group that agrees on a ledger; absent: off.
	Group  *groupConfig `json:"group"`
	Limits struct {
		Instances    int     `json:"instances"`
		History      int     `json:"history"`
		HistoryBytes int     `json:"history_bytes"`
		Connections  int     `json:"connections"`
		Watchers     int     `json:"watchers"`
		ListsPerS    float64 `json:"lists_per_s"`
		DataMB       int     `json:"data_mb"`
		// Of readers that read a part of the list.
		Subscriptions      int   `json:"subscriptions"`       // sets of scopes that are kept
		SubscriptionScopes int   `json:"subscription_scopes"` // scopes of one set
		SubscribedScopes   int   `json:"subscribed_scopes"`   // scopes of all sets
		SubscriptionBytes  int64 `json:"subscription_bytes"`  // of a call that names a set
		EmptyServices      int   `json:"empty_services"`      // services without instances that stay known
	} `json:"limits"`
}

// groupConfig is what a member of a group is told.
type groupConfig struct {
	Name    string            `json:"name"`
	Self    uint64            `json:"self"`
	Listen  string            `json:"listen"`  // where members and callers call
	Members map[uint64]string `json:"members"` // addresses by number, this one's too
	DataDir string            `json:"data_dir"`
	DataMB  int               `json:"data_mb"`
	// Lists are the addresses of the members' list services: the group then agrees on
	// the list too, and whoever writes in the group writes the list.
	Lists map[uint64]string `json:"lists"`
	// Join says that the group is there and this member is added to it ("dunlintray group
	// add"). Members are then this one and some that it may ask.
	Join bool `json:"join"`
}

const groupDataMB = 256

func (c *groupConfig) group() group.Config {
	g := group.Config{Name: c.Name, Self: c.Self, Members: c.Members, RegistryAddresses: c.Lists, Join: c.Join, Dir: c.DataDir, DataMB: c.DataMB, Limits: ledger.DefaultLimits}
	if g.DataMB == 0 {
		g.DataMB = groupDataMB
	}
	return g
}

func (c *config) store() registry.Limits {
	return registry.Limits{Lease: time.Duration(c.LeaseMs) * time.Millisecond, Instances: c.Limits.Instances,
		History: c.Limits.History, HistoryBytes: c.Limits.HistoryBytes, EmptyServices: c.Limits.EmptyServices}
}

func (c *config) serves() registry.ServerLimits {
	return registry.ServerLimits{Connections: c.Limits.Connections, Watchers: c.Limits.Watchers, ListingsPerSecond: c.Limits.ListsPerS,
		Subscriptions: c.Limits.Subscriptions, SubscriptionScopes: c.Limits.SubscriptionScopes,
		SubscribedScopes: c.Limits.SubscribedScopes, SubscriptionBytes: c.Limits.SubscriptionBytes}
}

func readConfig(path string) (*config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer f.Close()
	c := &config{LeaseMs: 10_000}
	c.Limits.Instances, c.Limits.History, c.Limits.HistoryBytes = 10_000, 20_000, 8<<20
	c.Limits.Connections, c.Limits.Watchers, c.Limits.ListsPerS = 1024, 800, 100
	c.Limits.DataMB = 512
	c.Limits.Subscriptions, c.Limits.SubscriptionScopes, c.Limits.SubscribedScopes = 2000, 4096, 1<<18
	c.Limits.SubscriptionBytes, c.Limits.EmptyServices = 1<<20, 4096
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("configuration %s: something stands behind it", path)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *config) check() error {
	addresses := map[string]string{"listen": c.Listen, "control": c.Control, "writer": c.Writer}
	for n, peer := range c.Peers {
		addresses[fmt.Sprintf("peers[%d]", n)] = peer
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
		g := c.Group.group()
		if err := g.Check(); err != nil {
			return fmt.Errorf("group: %w", err)
		}
		for n, at := range map[string]string{"listen": c.Group.Listen, "members, this one": c.Group.Members[c.Group.Self]} {
			if _, port, err := net.SplitHostPort(at); err != nil || port == "" {
				return fmt.Errorf("group: %s: %q is not an address with a port", n, at)
			}
		}
		if lists := c.Group.Lists; lists != nil {
			for n := range c.Group.Members {
				if _, port, err := net.SplitHostPort(lists[n]); (err != nil || port == "") && !(c.Group.Join && n != c.Group.Self) {
					return fmt.Errorf("group: lists: %q of member %d is not an address with a port", lists[n], n)
				}
			}
			if c.Writer != "" || c.DataDir != "" || len(c.Peers) > 0 {
				return errors.New("group: lists: the group has the list, so there is no writer, data_dir or peers")
			}
		}
		if c.Group.DataDir == c.DataDir {
			return errors.New("group: data_dir is that of the list")
		}
	}
	l := c.Limits
	switch {
	case c.LeaseMs < 500 || c.LeaseMs > 600_000:
		return fmt.Errorf("lease_ms: %d is not from 500 to 600000", c.LeaseMs)
	case l.Instances < 1 || l.History < 1 || l.HistoryBytes < 1024 || l.Connections < 2 || l.Watchers < 1 || !(l.ListsPerS >= 1):
		return errors.New("limits: each has to allow something")
	case l.Subscriptions < 1 || l.SubscriptionScopes < 1 || l.SubscribedScopes < l.SubscriptionScopes || l.SubscriptionBytes < 1024 || l.EmptyServices < 1:
		return errors.New("limits: subscriptions: each has to allow something, and subscribed_scopes one whole subscription")
	case l.SubscriptionScopes > registry.MaxScopes:
		return fmt.Errorf("limits: subscription_scopes: %d is above %d", l.SubscriptionScopes, registry.MaxScopes)
	case l.DataMB < 32:
		return fmt.Errorf("limits: data_mb: %d is under 32", l.DataMB)
	case l.Watchers >= l.Connections:
		return fmt.Errorf("limits: %d watchers leave no room for writers among %d connections", l.Watchers, l.Connections)
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := start(ctx); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "registry:", err)
		os.Exit(1)
	}
}

func start(ctx context.Context) error {
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

// run serves until ctx ends. It says when it has read its configuration.
func run(ctx context.Context, path string, read func()) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	c, err := readConfig(path)
	if err != nil {
		return err
	}
	read()
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	var operators net.Listener
	if c.Control != "" {
		if operators, err = net.Listen("tcp", c.Control); err != nil {
			return err
		}
	}
	began := time.Now()
	var seed [32]byte
	crand.Read(seed[:])
	random := rand.New(rand.NewChaCha8(seed))
	if c.Group != nil && c.Group.Lists != nil {
		s := registry.NewGroupMember(c.Listen, c.store(), c.serves(), began, random)
		go reload(ctx, path, c, hangups, func(next *config) { s.SetLimits(next.store(), next.serves()) })
		return c.withGroup(ctx, s, func(ctx context.Context) error { return s.Serve(ctx, l, operators) })
	}
	var data *wal.Log
	var kept *registry.Store
	if c.DataDir != "" {
		if err := os.MkdirAll(c.DataDir, 0o700); err != nil {
			return err
		}
		if data, kept, err = registry.Open(wal.Dir(c.DataDir), int64(c.Limits.DataMB)<<20, c.store(), 0); err != nil {
			return fmt.Errorf("data_dir %s: %w", c.DataDir, err)
		}
	}
	if c.Writer != "" {
		slog.Info("starting", "listen", c.Listen, "writer", c.Writer)
		f := registry.NewFollower(c.Listen, c.Writer, kept, c.store(), c.serves(), began, random)
		if data != nil {
			if err := f.Persist(data, false); err != nil {
				return err
			}
		}
		if kept != nil && kept.IsWriter() {
			slog.Warn("this follower was promoted and is the writer; its configuration still names another", "writer", c.Writer)
		}
		go reload(ctx, path, c, hangups, func(next *config) {
			f.SetLimits(next.store(), next.serves())
			if next.Writer != c.Writer {
				f.SetSource(ctx, next.Writer)
			}
		})
		return c.withGroup(ctx, nil, func(ctx context.Context) error { return f.Serve(ctx, l, operators) })
	}
	store := kept
	switch {
	case kept == nil:
		name := fmt.Sprintf("%016x", random.Uint64())
		store = registry.NewStore(c.store(), name, began.UnixMilli(), 0)
		slog.Info("starting a new history", "listen", c.Listen, "name", name, "version", began.UnixMilli(), "reads_in", c.store().Lease)
	case !kept.IsWriter():
		return fmt.Errorf("data_dir %s: it has a follower's copy; promote that follower, or begin in an empty folder", c.DataDir)
	}
	w := registry.NewWriter(c.Listen, store, c.serves(), began, random)
	if data != nil {
		if err := w.Persist(data, kept == nil); err != nil {
			return err
		}
	}
	w.QueryPeers(ctx, c.Peers)
	if f := w.Fenced(); f != nil {
		slog.Error("another writer was put in this one's place; make this one its follower", "writer", f.Writer, "epoch", f.Epoch)
	}
	go reload(ctx, path, c, hangups, func(next *config) { w.SetLimits(next.store(), next.serves()) })
	return c.withGroup(ctx, nil, func(ctx context.Context) error { return w.Serve(ctx, l, operators) })
}

// withGroup serves the list and, if this is a member of a group, that beside it, which
// may agree on the list. If either ends, so does the other: a member whose disk has
// failed is to be seen.
func (c *config) withGroup(ctx context.Context, list *registry.Server, serve func(context.Context) error) error {
	if c.Group == nil {
		return serve(ctx)
	}
	if err := os.MkdirAll(c.Group.DataDir, 0o700); err != nil {
		return err
	}
	of := c.Group.group()
	if list != nil {
		of.List = list
	}
	g, err := group.Open(of, wal.Dir(c.Group.DataDir))
	if err != nil {
		return fmt.Errorf("group: data_dir %s: %w", c.Group.DataDir, err)
	}
	l, err := net.Listen("tcp", c.Group.Listen)
	if err != nil {
		return err
	}
	if list != nil {
		list.SetGroup(g)
	}
	slog.Info("member of a group", "name", c.Group.Name, "self", c.Group.Self, "members", len(c.Group.Members), "listen", c.Group.Listen)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	parts := []func(context.Context) error{serve, g.Run, func(ctx context.Context) error { return g.Serve(ctx, l) }}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part(ctx) }()
	}
	var all []error
	for range parts {
		all = append(all, <-ended)
		stop()
	}
	return errors.Join(all...)
}

// offline reads the configuration of a member that is stopped.
func offline(path string) (*config, *registry.Server, group.Config, error) {
	c, err := readConfig(path)
	if err != nil {
		return nil, nil, group.Config{}, err
	}
	if c.Group == nil {
		return nil, nil, group.Config{}, fmt.Errorf("%s: it is no member of a group", path)
	}
	var list *registry.Server
	if c.Group.Lists != nil {
		var seed [32]byte
		crand.Read(seed[:])
		list = registry.NewGroupMember(c.Listen, c.store(), c.serves(), time.Now(), rand.New(rand.NewChaCha8(seed)))
	}
	return c, list, c.Group.group(), os.MkdirAll(c.Group.DataDir, 0o700)
}

// recoverGroup makes a group of the one member that is left.
func recoverGroup(args []string, out io.Writer) error {
	if len(args) != 2 || args[1] != "--others-are-lost" {
		return errors.New("recover CONFIG --others-are-lost: the configuration of the member that is to go on alone. What the others had agreed on without it is lost, and they refuse for good")
	}
	c, list, of, err := offline(args[0])
	if err != nil {
		return err
	}
	var lists group.RecoverableList
	if list != nil {
		lists = list
	}
	lost, err := group.Recover(of, wal.Dir(c.Group.DataDir), lists)
	if err != nil {
		return fmt.Errorf("recover: %w", err)
	}
	fmt.Fprintf(out, "member %d is the group from now on, as generation %s\n", c.Group.Self, lost.Generation)
	fmt.Fprintf(out, "it has all up to entry %d of term %d; what was agreed on behind that, if anything, is lost though it was answered\n", lost.LastIndex, lost.Term)
	if lost.LastIndex > lost.CommitIndex {
		fmt.Fprintf(out, "entries %d to %d were not known to be agreed on; they are from now on\n", lost.CommitIndex+1, lost.LastIndex)
	}
	for _, n := range group.MemberNumbers(lost.Former) {
		fmt.Fprintf(out, "member %d at %s is left behind: it refuses once it hears of this; empty its folder and add it under a new number\n", n, lost.Former[n].Address)
	}
	return nil
}

// takeOver begins a group of one with the list of a writer that is stopped.
func takeOver(args []string, out io.Writer) error {
	if len(args) != 2 {
		return errors.New("takeover CONFIG DATA_DIR: the configuration of a group of one, and the folder of the writer, or of a follower, whose list it is to have")
	}
	c, list, of, err := offline(args[0])
	switch {
	case err != nil:
		return err
	case list == nil:
		return errors.New("takeover: the configuration has no group.lists, so the group would have no list")
	}
	if _, err := os.Stat(args[1]); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	log, store, err := registry.Open(wal.Dir(args[1]), int64(c.Limits.DataMB)<<20, c.store(), 0)
	if err != nil {
		return fmt.Errorf("takeover: %s: %w", args[1], err)
	}
	defer log.Close()
	if store == nil {
		return fmt.Errorf("takeover: %s: there is nothing in it", args[1])
	}
	copied, err := list.TakeOver(store)
	if err != nil {
		return fmt.Errorf("takeover: %s: %w", args[1], err)
	}
	if err := group.Bootstrap(of, wal.Dir(c.Group.DataDir), list); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	if copied {
		fmt.Fprintln(out, "it is a follower's copy: what its writer took and it had not copied is lost, and the list has a new history")
	}
	fmt.Fprintln(out, "the list was taken over; start this member, and add others to it. Do not start the writer again")
	return nil
}

const promoteWait = 10 * time.Second

// promote calls a follower's control address.
func promote(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return errors.New("promote: one control address")
	}
	ctx, cancel := context.WithTimeout(ctx, promoteWait)
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
		const most = 1 << 10
		text, err := io.ReadAll(io.LimitReader(resp.Body, most))
		return errors.Join(fmt.Errorf("promote: %s: %s", resp.Status, bytes.TrimSpace(text)), err)
	}
	fmt.Println(args[0], "is the writer; name it in the configurations of backends, followers and gateways")
	return nil
}

// reload reads the configuration again at each hangup until ctx ends. What it
// listens on, and whether it writes, needs a new start.
func reload(ctx context.Context, path string, c *config, hangups <-chan os.Signal, take func(*config)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := readConfig(path)
		if err == nil && (next.Listen != c.Listen || next.Control != c.Control || next.DataDir != c.DataDir || (next.Writer == "") != (c.Writer == "") || !reflect.DeepEqual(next.Group, c.Group)) {
			err = errors.New("listen, control, data_dir, group, and whether there is a writer to copy need a new start")
		}
		if err != nil {
			slog.Error("not reloaded", "error", err)
			continue
		}
		take(next)
		*c = *next
		slog.Info("reloaded", "config", fmt.Sprintf("%+v", *c))
	}
}
