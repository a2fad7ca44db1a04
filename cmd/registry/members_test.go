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

// members are the processes of a group, with a relay on each link between two.
type members struct {
	processes
	at     []string // where callers reach each
	lists  []string // and its list service
	relays [][]*link.Relay
}

// newMembers starts them; the group may have the list too.
func newMembers(t *testing.T, n int, withList bool) *members {
	t.Helper()
	m := &members{processes: newProcesses(t, n)}
	lists := map[string]string{}
	for k := range n {
		m.at, m.lists = append(m.at, testnet.TCP(t)), append(m.lists, testnet.TCP(t))
		lists[fmt.Sprint(k+1)] = m.lists[k]
	}
	for from := range n {
		m.relays = append(m.relays, make([]*link.Relay, n))
		addresses := map[string]string{}
		for to := range n {
			if addresses[fmt.Sprint(to+1)] = m.at[to]; to == from {
				continue
			}
			r, err := link.NewRelay("127.0.0.1:0", m.at[to], link.Limits{MaxConnections: 32, BufferBytes: 64 << 10}, uint64(from*n+to))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			m.relays[from][to] = r
			addresses[fmt.Sprint(to+1)] = r.Address()
		}
		of := map[string]any{"name": "test", "self": from + 1, "listen": m.at[from], "members": addresses, "data_dir": m.folder(from)}
		config := map[string]any{"listen": m.lists[from], "lease_ms": 1000, "group": of}
		if withList {
			of["lists"] = lists
		} else {
			config["data_dir"] = filepath.Join(m.dir, fmt.Sprint("list", from))
		}
		m.write(from, config)
		m.start(from)
	}
	t.Cleanup(m.killAll)
	return m
}

// join starts one that is to be added under a number, and knows the others; it returns
// its place among those here.
func (m *members) join(number uint64, withList bool) int {
	m.t.Helper()
	n := len(m.at)
	addresses := map[string]string{}
	for k, at := range m.at {
		addresses[fmt.Sprint(k+1)] = at
	}
	m.at, m.lists, m.cmds = append(m.at, testnet.TCP(m.t)), append(m.lists, testnet.TCP(m.t)), append(m.cmds, nil)
	addresses[fmt.Sprint(number)] = m.at[n]
	of := map[string]any{"name": "test", "self": number, "join": true, "listen": m.at[n], "members": addresses, "data_dir": m.folder(n)}
	if withList {
		of["lists"] = map[string]string{fmt.Sprint(number): m.lists[n]}
	}
	m.write(n, map[string]any{"listen": m.lists[n], "lease_ms": 1000, "group": of})
	m.start(n)
	return n
}

func (m *members) folder(n int) string { return filepath.Join(m.dir, fmt.Sprint("ledger", n)) }

// refuses waits until a member's process, started now, has ended and said why.
func (m *members) refuses(n int, why string) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(m.t.Context(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "--config", m.config(n), "--log-level", "error")
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1", "GORACE=halt_on_error=1")
	if out, err := cmd.CombinedOutput(); err == nil || ctx.Err() != nil || !strings.Contains(string(out), why) {
		m.t.Errorf("member at %s: %v: %s; not %q", m.at[n], err, out, why)
	}
}

// offline runs a command on the folder of a member that is stopped.
func (m *members) offline(args ...string) string {
	m.t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		m.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// votes waits until the members with these numbers vote, and no others.
func (m *members) votes(c *group.Client, numbers ...uint64) {
	m.t.Helper()
	until(m.t, fmt.Sprint("these vote: ", numbers), func() bool {
		for n, at := range m.at {
			s, err := c.Status(m.t.Context(), at)
			if m.cmds[n] != nil && err == nil && len(s.Lag) > 0 { // it writes
				slices.Sort(s.Voters)
				return slices.Equal(s.Voters, numbers)
			}
		}
		return false
	})
}

// cut has nothing pass between one and all others, or everything again.
func (m *members) cut(n int, kind link.Kind) {
	for other := range m.at {
		if other == n {
			continue
		}
		for _, r := range []*link.Relay{m.relays[n][other], m.relays[other][n]} {
			for _, way := range []link.Direction{link.Forward, link.Reverse} {
				if err := r.Set(way, link.Condition{Kind: kind}); err != nil {
					m.t.Error(err)
				}
			}
		}
	}
}

// writer waits until one of these says that it is, and tells which.
func (m *members) writer(among ...int) (number int) {
	m.t.Helper()
	c := group.NewClient(m.at)
	defer c.Close()
	until(m.t, "there is a writer", func() bool {
		for _, n := range among {
			s, err := c.Status(m.t.Context(), m.at[n])
			if err == nil && s.Writer == uint64(n+1) && len(s.Lag) > 0 {
				number = n
				return true
			}
		}
		return false
	})
	return number
}

// crowd registers a list's backends, 200 at a time, and says how many were not taken.
func (m *members) crowd(client *http.Client, n int, each func(id int) (method, path, body string)) (failed int64) {
	var next, lost atomic.Int64
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			for id := int(next.Add(1)) - 1; id < n; id = int(next.Add(1)) - 1 {
				method, path, body := each(id)
				req, err := http.NewRequestWithContext(m.t.Context(), method, "http://"+m.lists[id%len(m.lists)]+registry.Path+path, strings.NewReader(body))
				if err != nil {
					m.t.Error(err)
					return
				}
				resp, err := client.Do(req)
				if err != nil {
					lost.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					lost.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return lost.Load()
}

func registration(id int) (method, path, body string) {
	return http.MethodPut, fmt.Sprint("/s-", id), fmt.Sprintf(`{"hostPort":"127.0.0.1:%d","zone":"a","machineType":"m","startedAtMs":5}`, 1024+id%60000)
}

// peak is the most memory that a member's process has had, in MB.
func (m *members) peak(n int) (mb int) {
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
