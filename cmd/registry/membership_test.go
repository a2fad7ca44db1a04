package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/registry"
	"dunlintray/internal/testnet"
	"dunlintray/internal/wal"
)

// Members come and go while a writer counts: one whose folder is lost, or is an older one,
// refuses, and others are added in its place; when most are lost, the one that is left
// goes on alone, and those that come back refuse for good.
func TestGroupMembers(t *testing.T) {
	t.Parallel()
	m := newMembers(t, 3, true)
	c := group.NewClient(m.at)
	defer func() { c.Close() }()
	within := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		t.Cleanup(cancel)
		return ctx
	}
	count := 0
	write := func(times int) {
		t.Helper()
		for range times {
			count++
			if r, err := c.Do(within(), ledger.Command{Op: ledger.Put, Name: "count", Value: fmt.Append(nil, count)}); err != nil || r.Code != ledger.OK {
				t.Fatal(r, err)
			}
		}
	}
	has := func() {
		t.Helper()
		if r, _, err := c.Get(within(), "count"); err != nil || string(r.Value) != fmt.Sprint(count) {
			t.Fatalf("%s %v, not %d", r.Value, err, count)
		}
	}
	// history registers a backend at a member, and waits until the member tells it.
	history := func(n int) (name string) {
		t.Helper()
		until(t, "a registration is told", func() bool {
			req, _ := http.NewRequest(http.MethodPut, "http://"+m.lists[n]+registry.Path+"/s-1", strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			resp.Body.Close()
			status, text, header := get("http://" + m.lists[n] + registry.Path)
			name = header.Get(registry.HistoryHeader)
			return resp.StatusCode == http.StatusOK && status == http.StatusOK && strings.Contains(text, "s-1")
		})
		return name
	}
	refused := func(err error, why string) {
		t.Helper()
		if err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%v, not %q", err, why)
		}
	}
	write(20)
	w := m.writer(0, 1, 2)
	first := history(w)

	// A folder that is lost.
	lost := (w + 1) % 3
	m.kill(lost)
	os.RemoveAll(m.folder(lost))
	m.refuses(lost, "its folder was lost")
	other := (w + 2) % 3
	m.kill(other)
	m.start(other)
	refused(c.Add(within(), uint64(lost+1), group.Member{Address: "127.0.0.1:1", RegistryAddress: "127.0.0.1:2"}), "was given before")
	until(t, "it can be taken out", func() bool { return c.Remove(within(), uint64(lost+1)) == nil })
	if err := c.Remove(within(), uint64(lost+1)); err != nil {
		t.Errorf("once more: %v", err)
	}
	refused(c.Add(within(), 4, group.Member{Address: m.at[w], RegistryAddress: "127.0.0.1:2"}), "is at that address")
	refused(c.Add(within(), 4, group.Member{Address: "127.0.0.1:1"}), "has a list")
	fourth := m.join(4, true)
	if err := c.Add(within(), 4, group.Member{Address: m.at[fourth], RegistryAddress: m.lists[fourth]}); err != nil {
		t.Fatal(err)
	}
	m.votes(c, slices.Sorted(slices.Values([]uint64{uint64(w + 1), uint64(other + 1), 4}))...)
	write(20)
	if got := history(fourth); got != first {
		t.Errorf("history %s after %s", got, first)
	}
	m.refuses(lost, "must not speak any more")

	// A folder that is an older one. The writer has to be another.
	until(t, "nobody takes out who writes", func() bool {
		err := c.Remove(within(), uint64(m.writer(w, other, fourth)+1))
		return err != nil && strings.Contains(err.Error(), "is the writer")
	})
	until(t, "the writer is as before", func() bool { return c.Transfer(within(), uint64(w+1)) == nil })
	m.end(fourth)
	if err := os.CopyFS(m.folder(fourth)+"-old", os.DirFS(m.folder(fourth))); err != nil {
		t.Fatal(err)
	}
	m.start(fourth)
	m.votes(c, slices.Sorted(slices.Values([]uint64{uint64(w + 1), uint64(other + 1), 4}))...)
	until(t, "all have all", func() bool {
		write(1)
		s, err := c.Status(within(), m.at[w])
		return err == nil && s.Lag[4] == 0 && len(s.Lag) == 3
	})
	m.kill(fourth)
	os.RemoveAll(m.folder(fourth))
	if err := os.Rename(m.folder(fourth)+"-old", m.folder(fourth)); err != nil {
		t.Fatal(err)
	}
	m.refuses(fourth, "older one")
	has()

	// A cut: who is cut off changes nothing.
	until(t, "it can be taken out", func() bool { return c.Remove(within(), 4) == nil })
	fifth := m.join(5, true)
	if err := c.Add(within(), 5, group.Member{Address: m.at[fifth], RegistryAddress: m.lists[fifth]}); err != nil {
		t.Fatal(err)
	}
	m.votes(c, slices.Sorted(slices.Values([]uint64{uint64(w + 1), uint64(other + 1), 5}))...)
	write(20)

	// Most are lost: the one that is left goes on, and says what it may have lost.
	m.kill(other)
	until(t, "the writer misses it", func() bool {
		s, err := c.Status(within(), m.at[m.writer(w, fifth)])
		return err == nil && !slices.Contains(s.Answering, uint64(other+1))
	})
	until(t, "the writer is as before", func() bool { return c.Transfer(within(), uint64(w+1)) == nil })
	refused(c.Remove(within(), 5), "which are too few")
	m.kill(fifth)
	m.end(w)
	if out := m.offline("recover", m.config(w), "--others-are-lost"); !strings.Contains(out, "is lost though it was answered") || strings.Count(out, "is left behind") != 2 {
		t.Errorf("recover: %s", out)
	}
	m.start(w)
	c.Close()
	c = group.NewClient([]string{m.at[w]})
	has()
	write(5)
	if got := history(w); got == first {
		t.Errorf("history %s goes on, though some of it may be lost", got)
	}
	m.refuses(other, "went on as generation")
	m.end(w)
	m.refuses(other, "went on as generation") // also where it reaches nobody
	m.start(w)
	m.refuses(fifth, "went on as generation")
	sixth := m.join(6, true)
	if err := c.Add(within(), 6, group.Member{Address: m.at[sixth], RegistryAddress: m.lists[sixth]}); err != nil {
		t.Fatal(err)
	}
	m.votes(c, uint64(w+1), 6)
	has()
}

// A group of one takes a writer's list over, with its history and versions, and grows.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	m := &members{processes: newProcesses(t, 1), at: []string{testnet.TCP(t)}, lists: []string{testnet.TCP(t)}}
	t.Cleanup(m.killAll)
	data := filepath.Join(m.dir, "list")
	m.write(0, map[string]any{"listen": m.lists[0], "lease_ms": 3000, "data_dir": data}) // it is whole after a lease
	m.start(0)
	put := func(id string) bool {
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.lists[0]+registry.Path+"/"+id, strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	follower := &members{processes: newProcesses(t, 1), at: []string{testnet.TCP(t)}, lists: []string{testnet.TCP(t)}}
	copied := filepath.Join(follower.dir, "list")
	follower.write(0, map[string]any{"listen": follower.lists[0], "lease_ms": 3000, "data_dir": copied, "writer": m.lists[0]})
	follower.start(0)
	t.Cleanup(func() { follower.kill(0) })
	lists := func(at string) (instances int, history string) {
		_, text, header := get("http://" + at + registry.Path)
		l, _ := registry.ParseListing([]byte(text))
		return len(l.Instances), header.Get(registry.HistoryHeader)
	}
	until(t, "the follower has it", func() bool {
		for n := range 20 {
			put(fmt.Sprint("s-", n))
		}
		n, _ := lists(follower.lists[0])
		return n == 20
	})
	follower.end(0)
	m.end(0)
	of := map[string]any{"name": "test", "self": 1, "listen": m.at[0], "members": map[string]string{"1": m.at[0]}, "data_dir": m.folder(0), "lists": map[string]string{"1": m.lists[0]}}
	m.write(0, map[string]any{"listen": m.lists[0], "lease_ms": 60000, "group": of})
	m.offline("takeover", m.config(0), data)
	m.start(0)
	until(t, "one more", func() bool { return put("s-20") })
	_, history := lists(m.lists[0])
	of["listen"], of["members"], of["data_dir"], of["lists"] = follower.at[0], map[string]string{"1": follower.at[0]}, follower.folder(0), map[string]string{"1": follower.lists[0]}
	follower.write(0, map[string]any{"listen": follower.lists[0], "lease_ms": 60000, "group": of})
	if out := follower.offline("takeover", follower.config(0), copied); !strings.Contains(out, "is lost, and the list has a new history") {
		t.Error(out)
	}
	follower.start(0)
	until(t, "the copy is told under another history", func() bool {
		n, name := lists(follower.lists[0])
		return n == 20 && name != "" && name != history
	})
	units := group.NewClient(follower.at)
	defer units.Close()
	if u, err := units.Units(t.Context()); err != nil || len(u.Units) != 20 || u.Units[0].Unavailable() {
		t.Errorf("%d units are known: %v", len(u.Units), err)
	}
	second := m.join(2, true)
	c := group.NewClient(m.at[:1])
	defer c.Close()
	if err := c.Add(t.Context(), 2, group.Member{Address: m.at[second], RegistryAddress: m.lists[second]}); err != nil {
		t.Fatal(err)
	}
	m.votes(c, 1, 2)
	log, store, err := registry.Open(wal.Dir(data), 64<<20, registry.Limits{Lease: time.Minute, Instances: 100, History: 1000, HistoryBytes: 1 << 20}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	was := store.SnapshotRecords()[0].Begin
	for _, at := range m.lists {
		until(t, "the list is there", func() bool {
			status, text, header := get(fmt.Sprintf("http://%s%s?since=%d&history=%s", at, registry.Path, was.Version, was.History))
			l, err := registry.ParseListing([]byte(text))
			return status == http.StatusOK && err == nil && !l.Reset && len(l.Instances) == 1 && l.Generation == was.Version+1 && header.Get(registry.HistoryHeader) == was.History
		})
	}
}

// A member of another group, or with another's folder, does not get in, and says why.
func TestCrossedGroups(t *testing.T) {
	t.Parallel()
	m := newMembers(t, 1, false)
	m.writer(0)
	m.kill(0)
	text, err := os.ReadFile(m.config(0))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(m.config(0), []byte(strings.Replace(string(text), `"name":"test"`, `"name":"other"`, 1)), 0o600)
	cmd := exec.Command(os.Args[0], "--config", m.config(0))
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), `the folder is of member 1 of group "test"`) {
		t.Errorf("%v: %s", err, out)
	}
	for _, bad := range []string{`"self":2`, `"self":1,"data_mb":1`, `"self":1,"data_dir":""`, `"self":1,"members":{"1":"127.0.0.1:1","2":"127.0.0.1:2"}`, `"self":1,"listen":"x"`} {
		path := filepath.Join(t.TempDir(), "bad.json")
		os.WriteFile(path, []byte(strings.Replace(string(text), `"self":1`, bad, 1)), 0o600)
		if _, err := readConfig(path); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}
