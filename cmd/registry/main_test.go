package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/registry"
	"dunlintray/internal/testnet"
)

// waitTimeout limits each wait in the tests.
const waitTimeout = 20 * time.Second

// TestMain runs the command instead of the tests if REGISTRY_AS_COMMAND is set.
func TestMain(m *testing.M) {
	if os.Getenv("REGISTRY_AS_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// After each of 100 kills during writes, the registry has all acknowledged writes, none that was
// not sent, and the same history.
func TestAcknowledgedWritesSurviveKills(t *testing.T) {
	address, dir := testnet.TCP(t), t.TempDir()
	path := filepath.Join(dir, "config.json")
	os.WriteFile(path, fmt.Appendf(nil, `{"listen":%q,"data_dir":%q,"lease_ms":600000,"limits":{"data_mb":32}}`, address, filepath.Join(dir, "data")), 0o600)
	acknowledgedStarts := map[string]int64{} // latest acknowledged start by instance
	var mu sync.Mutex
	var lastStart atomic.Int64
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	history, acknowledgments := "", 0
	for incarnation := range 100 {
		cmd := exec.Command(os.Args[0], "--config", path, "--log-level", "error")
		cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		url := "http://" + address + "/registry/instances"
		waitFor(t, "the registry answers", func() bool {
			resp, err := client.Get("http://" + address + "/registry/fence")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil
		})
		if incarnation > 0 {
			resp, err := client.Get(url)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			listing, err := registry.ParseListing(text)
			if name := resp.Header.Get(registry.HistoryHeader); err != nil || history != "" && name != history {
				t.Fatalf("run %d: history %s, before %s, %v: %s", incarnation, name, history, err, text)
			}
			history = resp.Header.Get(registry.HistoryHeader)
			starts := map[string]int64{}
			for _, i := range listing.Instances {
				starts[i.ID] = i.StartedAtMs
			}
			for id, started := range acknowledgedStarts {
				if starts[id] < started {
					t.Fatalf("run %d: %s has the start %d, but %d was acknowledged", incarnation, id, starts[id], started)
				}
			}
			for id, started := range starts {
				if started > lastStart.Load() {
					t.Fatalf("run %d: %s has the start %d, which was never sent", incarnation, id, started)
				}
			}
		}
		// Writers continue until the process is killed, which happens after some acknowledgments.
		writes := make(chan struct{}, 64)
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() {
				for {
					id, started := fmt.Sprintf("s-%d-%d", n, rand.IntN(10)), lastStart.Add(1)
					req, _ := http.NewRequest("PUT", url+"/"+id, strings.NewReader(fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":%d}`, started)))
					resp, err := client.Do(req)
					if err != nil {
						return
					}
					resp.Body.Close()
					if resp.StatusCode == 200 {
						mu.Lock()
						acknowledgedStarts[id] = max(acknowledgedStarts[id], started)
						acknowledgments++
						mu.Unlock()
						select {
						case writes <- struct{}{}:
						default:
						}
					}
				}
			})
		}
		for range 1 + rand.IntN(40) {
			select {
			case <-writes:
			case <-time.After(waitTimeout):
				t.Fatalf("no write was acknowledged within %v", waitTimeout)
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		wg.Wait()
	}
	t.Logf("%d writes were acknowledged", acknowledgments)
}

// get returns the status, body and header of a GET request; the status is 0 if there was no answer.
func get(url string) (int, string, http.Header) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// launch runs a service registry in this process until the test ends, and returns the path of its
// configuration.
func launch(t *testing.T, config string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	result, configRead := make(chan error, 1), make(chan struct{})
	go func() { result <- run(ctx, path, func() { close(configRead) }) }()
	t.Cleanup(func() {
		stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	select {
	case <-configRead:
	case <-time.After(waitTimeout):
		t.Fatalf("the configuration was not read within %v", waitTimeout)
	}
	return path
}

// A follower copies the list of its writer and redirects writes to it. After a reload it redirects
// them to the new writer.
func TestFollowerCopiesAndRedirectsToWriter(t *testing.T) {
	writer, control, follower := testnet.TCP(t), testnet.TCP(t), testnet.TCP(t)
	launch(t, fmt.Sprintf(`{"listen":%q,"control":%q,"lease_ms":2000}`, writer, control))
	path := launch(t, fmt.Sprintf(`{"listen":%q,"writer":%q}`, follower, writer))
	// Both have read their configuration, but may not listen yet.
	firstStatus := 0
	waitFor(t, "the writer answers", func() bool { firstStatus, _, _ = get("http://" + control + "/control/ready"); return firstStatus != 0 })
	if firstStatus != 503 {
		t.Errorf("status %d before all instances could register, want 503", firstStatus)
	}
	waitFor(t, "the follower answers", func() bool { code, _, _ := get("http://" + follower + "/registry/instances"); return code != 0 })
	register := func() {
		t.Helper()
		req, _ := http.NewRequest("PUT", "http://"+follower+"/registry/instances/s-1",
			strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
		resp, err := http.DefaultClient.Do(req) // follows the redirect to the writer
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("registration: %v %v", resp, err)
		}
		resp.Body.Close()
	}
	register()
	waitFor(t, "ready", func() bool { code, _, _ := get("http://" + control + "/control/ready"); return code == 200 })
	waitFor(t, "the follower has the list", func() bool {
		register() // before its lease ends
		code, text, _ := get("http://" + follower + "/registry/instances")
		return code == 200 && strings.Contains(text, "s-1")
	})
	otherWriter := testnet.TCP(t)
	os.WriteFile(path, fmt.Appendf(nil, `{"listen":%q,"writer":%q}`, follower, otherWriter), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	waitFor(t, "writes are redirected to the new writer", func() bool {
		req, _ := http.NewRequest("DELETE", "http://"+follower+"/registry/instances/s-1?startedAtMs=5", nil)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return strings.Contains(resp.Header.Get("Location"), otherWriter)
	})
}

// The example is valid; syntax errors, unknown keys, and values out of range are errors.
func TestReadConfigRejectsInvalidConfigurations(t *testing.T) {
	if _, err := readConfig("../../docs/examples/registry.json"); err != nil {
		t.Error(err)
	}
	for _, text := range []string{`{`, `{}`, `{"listen":"127.0.0.1"}`, `{"listen":"127.0.0.1:1","colour":1}`, `{"listen":"127.0.0.1:1"}{}`,
		`{"listen":"127.0.0.1:1","lease_ms":0}`, `{"listen":"127.0.0.1:1","writer":"x"}`, `{"listen":"127.0.0.1:1","limits":{"watchers":0}}`,
		`{"listen":"127.0.0.1:1","limits":{"watchers":2000}}`, `{"listen":"127.0.0.1:1","limits":{"lists_per_s":-1}}`,
		`{"listen":"127.0.0.1:1","limits":{"subscriptions":0}}`, `{"listen":"127.0.0.1:1","limits":{"subscription_scopes":0}}`,
		`{"listen":"127.0.0.1:1","limits":{"subscription_scopes":70000,"subscribed_scopes":70000}}`, `{"listen":"127.0.0.1:1","limits":{"subscribed_scopes":4095}}`,
		`{"listen":"127.0.0.1:1","limits":{"subscription_bytes":10}}`, `{"listen":"127.0.0.1:1","limits":{"empty_services":0}}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		os.WriteFile(path, []byte(text), 0o600)
		if c, err := readConfig(path); err == nil {
			t.Errorf("no error for %s: %+v", text, c)
		}
	}
}
