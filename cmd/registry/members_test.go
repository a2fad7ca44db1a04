package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"dunlintray/internal/group"
	"dunlintray/internal/link"
	"dunlintray/internal/registry"
	"dunlintray/internal/testnet"
)

// groupProcesses are the processes of a group, with a relay on each link between two.
type groupProcesses struct {
	processes
	addresses         []string        // for clients of the group, by member
	registryAddresses []string        // of the service registries, by member
	relays            [][]*link.Relay // by sender and receiver
}

// newGroupProcesses starts a group; withList makes it replicate the list.
func newGroupProcesses(t *testing.T, count int, withList bool) *groupProcesses {
	t.Helper()
	members := &groupProcesses{processes: newProcesses(t, count)}
	registriesByNumber := map[string]string{}
	for member := range count {
		members.addresses, members.registryAddresses = append(members.addresses, testnet.TCP(t)), append(members.registryAddresses, testnet.TCP(t))
		registriesByNumber[fmt.Sprint(member+1)] = members.registryAddresses[member]
	}
	for from := range count {
		members.relays = append(members.relays, make([]*link.Relay, count))
		peers := map[string]string{}
		for to := range count {
			if peers[fmt.Sprint(to+1)] = members.addresses[to]; to == from {
				continue
			}
			relay, err := link.NewRelay(testnet.AnyPort(), members.addresses[to], link.Limits{MaxConnections: 32, BufferBytes: 64 << 10}, uint64(from*count+to))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(relay.Close)
			members.relays[from][to] = relay
			peers[fmt.Sprint(to+1)] = relay.Address()
		}
		groupSettings := map[string]any{"name": "test", "self": from + 1, "listen": members.addresses[from], "members": peers, "data_dir": members.dataDir(from)}
		settings := map[string]any{"listen": members.registryAddresses[from], "lease_ms": 1000, "group": groupSettings}
		if withList {
			groupSettings["lists"] = registriesByNumber
		} else {
			settings["data_dir"] = filepath.Join(members.dir, fmt.Sprint("list", from))
		}
		members.write(from, settings)
		members.start(from)
	}
	t.Cleanup(members.killAll)
	return members
}

// join starts a member that is to be added to the group under a number, and returns its index.
func (m *groupProcesses) join(number uint64, withList bool) int {
	m.t.Helper()
	n := len(m.addresses)
	peers := map[string]string{}
	for index, address := range m.addresses {
		peers[fmt.Sprint(index+1)] = address
	}
	m.addresses, m.registryAddresses, m.cmds = append(m.addresses, testnet.TCP(m.t)), append(m.registryAddresses, testnet.TCP(m.t)), append(m.cmds, nil)
	peers[fmt.Sprint(number)] = m.addresses[n]
	groupSettings := map[string]any{"name": "test", "self": number, "join": true, "listen": m.addresses[n], "members": peers, "data_dir": m.dataDir(n)}
	if withList {
		groupSettings["lists"] = map[string]string{fmt.Sprint(number): m.registryAddresses[n]}
	}
	m.write(n, map[string]any{"listen": m.registryAddresses[n], "lease_ms": 1000, "group": groupSettings})
	m.start(n)
	return n
}

func (m *groupProcesses) dataDir(n int) string { return filepath.Join(m.dir, fmt.Sprint("ledger", n)) }

// mustRefuseToStart starts a member's process and waits until it fails with the reason.
func (m *groupProcesses) mustRefuseToStart(n int, reason string) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(m.t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "--config", m.config(n), "--log-level", "error")
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1", "GORACE=halt_on_error=1")
	if out, err := cmd.CombinedOutput(); err == nil || ctx.Err() != nil || !strings.Contains(string(out), reason) {
		m.t.Errorf("member at %s: %v: %s; want a failure with %q", m.addresses[n], err, out, reason)
	}
}

// runOffline runs a command on the folder of a stopped member and returns its output.
func (m *groupProcesses) runOffline(args ...string) string {
	m.t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		m.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// waitForVoters waits until exactly the members with these sorted numbers are voters.
func (m *groupProcesses) waitForVoters(client *group.Client, numbers ...uint64) {
	m.t.Helper()
	waitFor(m.t, fmt.Sprint("these members are voters: ", numbers), func() bool {
		for n, address := range m.addresses {
			s, err := client.Status(m.t.Context(), address)
			if m.cmds[n] != nil && err == nil && len(s.Lag) > 0 { // it is the writer
				slices.Sort(s.Voters)
				return slices.Equal(s.Voters, numbers)
			}
		}
		return false
	})
}

// setLinks sets the state of all links between a member and the others.
func (m *groupProcesses) setLinks(n int, kind link.Kind) {
	for other := range m.addresses {
		if other == n {
			continue
		}
		for _, r := range []*link.Relay{m.relays[n][other], m.relays[other][n]} {
			for _, direction := range []link.Direction{link.Forward, link.Reverse} {
				if err := r.Set(direction, link.Condition{Kind: kind}); err != nil {
					m.t.Error(err)
				}
			}
		}
	}
}

// waitForWriter waits until one of the candidates is the writer and returns its index.
func (m *groupProcesses) waitForWriter(candidates ...int) (number int) {
	m.t.Helper()
	client := group.NewClient(m.addresses)
	defer client.Close()
	waitFor(m.t, "there is a writer", func() bool {
		for _, n := range candidates {
			s, err := client.Status(m.t.Context(), m.addresses[n])
			if err == nil && s.Writer == uint64(n+1) && len(s.Lag) > 0 {
				number = n
				return true
			}
		}
		return false
	})
	return number
}

// callConcurrently makes calls to the service registries, 200 at a time, and returns how many
// failed.
func (m *groupProcesses) callConcurrently(client *http.Client, calls int, newCall func(id int) (method, path, body string)) (failed int64) {
	var next, failures atomic.Int64
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			for id := int(next.Add(1)) - 1; id < calls; id = int(next.Add(1)) - 1 {
				method, path, body := newCall(id)
				req, err := http.NewRequestWithContext(m.t.Context(), method, "http://"+m.registryAddresses[id%len(m.registryAddresses)]+registry.Path+path, strings.NewReader(body))
				if err != nil {
					m.t.Error(err)
					return
				}
				resp, err := client.Do(req)
				if err != nil {
					failures.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return failures.Load()
}

// registration returns the call that registers a backend.
func registration(id int) (method, path, body string) {
	return http.MethodPut, fmt.Sprint("/s-", id), fmt.Sprintf(`{"hostPort":"127.0.0.1:%d","zone":"a","machineType":"m","startedAtMs":5}`, 1024+id%60000)
}

// peakMemoryMB returns the peak resident memory of a member's process.
func (m *groupProcesses) peakMemoryMB(n int) (mb int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmds[n].Process.Pid))
	if err != nil {
		m.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			fmt.Sscan(rest, &mb)
		}
	}
	return mb >> 10
}
