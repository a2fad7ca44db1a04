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

// A member whose folder is lost or outdated refuses to start and can be replaced. After the loss of
// the majority, the remaining member recovers alone, and former members refuse to start.
func TestGroupMembersAreReplacedAndRecovered(t *testing.T) {
	t.Parallel()
	members := newGroupProcesses(t, 3, true)
	client := group.NewClient(members.addresses)
	defer func() { client.Close() }()
	callCtx := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		t.Cleanup(cancel)
		return ctx
	}
	count := 0
	write := func(times int) {
		t.Helper()
		for range times {
			count++
			if r, err := client.Do(callCtx(), ledger.Command{Op: ledger.Put, Name: "count", Value: fmt.Append(nil, count)}); err != nil || r.Code != ledger.OK {
				t.Fatal(r, err)
			}
		}
	}
	mustHaveCount := func() {
		t.Helper()
		if r, _, err := client.Get(callCtx(), "count"); err != nil || string(r.Value) != fmt.Sprint(count) {
			t.Fatalf("count %s %v, want %d", r.Value, err, count)
		}
	}
	// registerAndReadHistory registers a backend at a member, waits until the backend is on the
	// member's list and returns the history of the list.
	registerAndReadHistory := func(n int) (name string) {
		t.Helper()
		waitFor(t, "a registration is on the list", func() bool {
			req, _ := http.NewRequest(http.MethodPut, "http://"+members.registryAddresses[n]+registry.Path+"/s-1", strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			resp.Body.Close()
			status, text, header := get("http://" + members.registryAddresses[n] + registry.Path)
			name = header.Get(registry.HistoryHeader)
			return resp.StatusCode == http.StatusOK && status == http.StatusOK && strings.Contains(text, "s-1")
		})
		return name
	}
	mustBeRefused := func(err error, reason string) {
		t.Helper()
		if err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("error %v, want one with %q", err, reason)
		}
	}
	write(20)
	writer := members.waitForWriter(0, 1, 2)
	firstHistory := registerAndReadHistory(writer)

	// A member that has lost its folder is replaced.
	lost := (writer + 1) % 3
	members.kill(lost)
	os.RemoveAll(members.dataDir(lost))
	members.mustRefuseToStart(lost, "its folder was lost")
	other := (writer + 2) % 3
	members.kill(other)
	members.start(other)
	mustBeRefused(client.Add(callCtx(), uint64(lost+1), group.Member{Address: "127.0.0.1:1", RegistryAddress: "127.0.0.1:2"}), "was given before")
	waitFor(t, "the member can be removed", func() bool { return client.Remove(callCtx(), uint64(lost+1)) == nil })
	if err := client.Remove(callCtx(), uint64(lost+1)); err != nil {
		t.Errorf("second removal: %v", err)
	}
	mustBeRefused(client.Add(callCtx(), 4, group.Member{Address: members.addresses[writer], RegistryAddress: "127.0.0.1:2"}), "is at that address")
	mustBeRefused(client.Add(callCtx(), 4, group.Member{Address: "127.0.0.1:1"}), "has a list")
	fourth := members.join(4, true)
	if err := client.Add(callCtx(), 4, group.Member{Address: members.addresses[fourth], RegistryAddress: members.registryAddresses[fourth]}); err != nil {
		t.Fatal(err)
	}
	members.waitForVoters(client, slices.Sorted(slices.Values([]uint64{uint64(writer + 1), uint64(other + 1), 4}))...)
	write(20)
	if got := registerAndReadHistory(fourth); got != firstHistory {
		t.Errorf("history %s, want %s", got, firstHistory)
	}
	members.mustRefuseToStart(lost, "must not speak any more")

	// A member with an older copy of its folder refuses to start. It must not be the writer.
	waitFor(t, "the writer cannot be removed", func() bool {
		err := client.Remove(callCtx(), uint64(members.waitForWriter(writer, other, fourth)+1))
		return err != nil && strings.Contains(err.Error(), "is the writer")
	})
	waitFor(t, "the first writer is the writer again", func() bool { return client.Transfer(callCtx(), uint64(writer+1)) == nil })
	members.terminate(fourth)
	if err := os.CopyFS(members.dataDir(fourth)+"-old", os.DirFS(members.dataDir(fourth))); err != nil {
		t.Fatal(err)
	}
	members.start(fourth)
	members.waitForVoters(client, slices.Sorted(slices.Values([]uint64{uint64(writer + 1), uint64(other + 1), 4}))...)
	waitFor(t, "all members have all entries", func() bool {
		write(1)
		s, err := client.Status(callCtx(), members.addresses[writer])
		return err == nil && s.Lag[4] == 0 && len(s.Lag) == 3
	})
	members.kill(fourth)
	os.RemoveAll(members.dataDir(fourth))
	if err := os.Rename(members.dataDir(fourth)+"-old", members.dataDir(fourth)); err != nil {
		t.Fatal(err)
	}
	members.mustRefuseToStart(fourth, "older one")
	mustHaveCount()

	// Another member replaces it.
	waitFor(t, "the member can be removed", func() bool { return client.Remove(callCtx(), 4) == nil })
	fifth := members.join(5, true)
	if err := client.Add(callCtx(), 5, group.Member{Address: members.addresses[fifth], RegistryAddress: members.registryAddresses[fifth]}); err != nil {
		t.Fatal(err)
	}
	members.waitForVoters(client, slices.Sorted(slices.Values([]uint64{uint64(writer + 1), uint64(other + 1), 5}))...)
	write(20)

	// After the loss of the majority, recover reports which entries may be lost.
	members.kill(other)
	waitFor(t, "the writer notices the killed member", func() bool {
		s, err := client.Status(callCtx(), members.addresses[members.waitForWriter(writer, fifth)])
		return err == nil && !slices.Contains(s.Answering, uint64(other+1))
	})
	waitFor(t, "the first writer is the writer again", func() bool { return client.Transfer(callCtx(), uint64(writer+1)) == nil })
	mustBeRefused(client.Remove(callCtx(), 5), "which are too few")
	members.kill(fifth)
	members.terminate(writer)
	if out := members.runOffline("recover", members.config(writer), "--others-are-lost"); !strings.Contains(out, "are lost although they were answered") || strings.Count(out, "is removed") != 2 {
		t.Errorf("recover: %s, want lost entries and two removed members", out)
	}
	members.start(writer)
	client.Close()
	client = group.NewClient([]string{members.addresses[writer]})
	mustHaveCount()
	write(5)
	if got := registerAndReadHistory(writer); got == firstHistory {
		t.Errorf("history %s continues although changes may be lost", got)
	}
	members.mustRefuseToStart(other, "went on as generation")
	members.terminate(writer)
	members.mustRefuseToStart(other, "went on as generation") // also while it reaches no other member
	members.start(writer)
	members.mustRefuseToStart(fifth, "went on as generation")
	sixth := members.join(6, true)
	if err := client.Add(callCtx(), 6, group.Member{Address: members.addresses[sixth], RegistryAddress: members.registryAddresses[sixth]}); err != nil {
		t.Fatal(err)
	}
	members.waitForVoters(client, uint64(writer+1), 6)
	mustHaveCount()
}

// A group of one takes over a writer's list with its history and versions, and a member can be
// added. The list of a follower gets a new history.
func TestTakeOverKeepsHistoryAndVersions(t *testing.T) {
	t.Parallel()
	member := &groupProcesses{processes: newProcesses(t, 1), addresses: []string{testnet.TCP(t)}, registryAddresses: []string{testnet.TCP(t)}}
	t.Cleanup(member.killAll)
	writerDir := filepath.Join(member.dir, "list")
	member.write(0, map[string]any{"listen": member.registryAddresses[0], "lease_ms": 3000, "data_dir": writerDir}) // the list is complete after one lease
	member.start(0)
	register := func(id string) bool {
		req, _ := http.NewRequest(http.MethodPut, "http://"+member.registryAddresses[0]+registry.Path+"/"+id, strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	follower := &groupProcesses{processes: newProcesses(t, 1), addresses: []string{testnet.TCP(t)}, registryAddresses: []string{testnet.TCP(t)}}
	followerDir := filepath.Join(follower.dir, "list")
	follower.write(0, map[string]any{"listen": follower.registryAddresses[0], "lease_ms": 3000, "data_dir": followerDir, "writer": member.registryAddresses[0]})
	follower.start(0)
	t.Cleanup(func() { follower.kill(0) })
	readList := func(address string) (instances int, history string) {
		_, text, header := get("http://" + address + registry.Path)
		l, _ := registry.ParseListing([]byte(text))
		return len(l.Instances), header.Get(registry.HistoryHeader)
	}
	waitFor(t, "the follower has the list", func() bool {
		for n := range 20 {
			register(fmt.Sprint("s-", n))
		}
		n, _ := readList(follower.registryAddresses[0])
		return n == 20
	})
	follower.terminate(0)
	member.terminate(0)
	groupSettings := map[string]any{"name": "test", "self": 1, "listen": member.addresses[0], "members": map[string]string{"1": member.addresses[0]}, "data_dir": member.dataDir(0), "lists": map[string]string{"1": member.registryAddresses[0]}}
	member.write(0, map[string]any{"listen": member.registryAddresses[0], "lease_ms": 60000, "group": groupSettings})
	member.runOffline("takeover", member.config(0), writerDir)
	member.start(0)
	waitFor(t, "a registration succeeds after the takeover", func() bool { return register("s-20") })
	_, history := readList(member.registryAddresses[0])
	groupSettings["listen"], groupSettings["members"], groupSettings["data_dir"], groupSettings["lists"] = follower.addresses[0], map[string]string{"1": follower.addresses[0]}, follower.dataDir(0), map[string]string{"1": follower.registryAddresses[0]}
	follower.write(0, map[string]any{"listen": follower.registryAddresses[0], "lease_ms": 60000, "group": groupSettings})
	if out := follower.runOffline("takeover", follower.config(0), followerDir); !strings.Contains(out, "are lost, and the list has a new history") {
		t.Errorf("takeover: %s, want lost writes and a new history", out)
	}
	follower.start(0)
	waitFor(t, "the copied list has another history", func() bool {
		n, name := readList(follower.registryAddresses[0])
		return n == 20 && name != "" && name != history
	})
	unitClient := group.NewClient(follower.addresses)
	defer unitClient.Close()
	if answer, err := unitClient.Units(t.Context()); err != nil || len(answer.Units) != 20 || answer.Units[0].Unavailable() {
		t.Errorf("units %+v, %v; want 20 that are available", answer.Units, err)
	}
	second := member.join(2, true)
	client := group.NewClient(member.addresses[:1])
	defer client.Close()
	if err := client.Add(t.Context(), 2, group.Member{Address: member.addresses[second], RegistryAddress: member.registryAddresses[second]}); err != nil {
		t.Fatal(err)
	}
	member.waitForVoters(client, 1, 2)
	log, store, err := registry.Open(wal.Dir(writerDir), 64<<20, registry.Limits{Lease: time.Minute, Instances: 100, History: 1000, HistoryBytes: 1 << 20}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	begin := store.SnapshotRecords()[0].Begin
	for _, address := range member.registryAddresses {
		waitFor(t, "the list continues the history of the writer", func() bool {
			status, text, header := get(fmt.Sprintf("http://%s%s?since=%d&history=%s", address, registry.Path, begin.Version, begin.History))
			l, err := registry.ParseListing([]byte(text))
			return status == http.StatusOK && err == nil && !l.Reset && len(l.Instances) == 1 && l.Generation == begin.Version+1 && header.Get(registry.HistoryHeader) == begin.History
		})
	}
}

// A member refuses to start with the folder of another group. Invalid group configurations are
// errors.
func TestMemberRejectsForeignDataDir(t *testing.T) {
	t.Parallel()
	members := newGroupProcesses(t, 1, false)
	members.waitForWriter(0)
	members.kill(0)
	text, err := os.ReadFile(members.config(0))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(members.config(0), []byte(strings.Replace(string(text), `"name":"test"`, `"name":"other"`, 1)), 0o600)
	cmd := exec.Command(os.Args[0], "--config", members.config(0))
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), `the folder is of member 1 of group "test"`) {
		t.Errorf("%v: %s; want a failure that names the owner of the folder", err, out)
	}
	for _, bad := range []string{`"self":2`, `"self":1,"data_mb":1`, `"self":1,"data_dir":""`, `"self":1,"members":{"1":"127.0.0.1:1","2":"127.0.0.1:2"}`, `"self":1,"listen":"x"`} {
		path := filepath.Join(t.TempDir(), "bad.json")
		os.WriteFile(path, []byte(strings.Replace(string(text), `"self":1`, bad, 1)), 0o600)
		if _, err := readConfig(path); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}
