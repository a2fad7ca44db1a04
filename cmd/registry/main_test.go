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

// patience bounds every wait of a test; none is expected to last so long.
const patience = 20 * time.Second

// TestMain lets the test binary stand in for the command.
func TestMain(m *testing.M) {
	if os.Getenv("REGISTRY_AS_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Killed a hundred times under writes, the service has each time all that it told
// to be kept, in one history.
func TestKilledUnderWrites(t *testing.T) {
	address, dir := testnet.TCP(t), t.TempDir()
	path := filepath.Join(dir, "config.json")
	os.WriteFile(path, fmt.Appendf(nil, `{"listen":%q,"data_dir":%q,"lease_ms":600000,"limits":{"data_mb":32}}`, address, filepath.Join(dir, "data")), 0o600)
	kept := map[string]int64{} // the start that was told to be kept last
	var mu sync.Mutex
	var tried atomic.Int64
	client := &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	history, acknowledged := "", 0
	for life := range 100 {
		cmd := exec.Command(os.Args[0], "--config", path, "--log-level", "error")
		cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1")
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		url := "http://" + address + "/registry/instances"
		until(t, "it takes writes", func() bool {
			resp, err := client.Get("http://" + address + "/registry/fence")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil
		})
		if life > 0 {
			resp, err := client.Get(url)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			l, err := registry.ParseListing(text)
			if name := resp.Header.Get(registry.HistoryHeader); err != nil || history != "" && name != history {
				t.Fatalf("life %d: history %s, before %s, %v: %s", life, name, history, err, text)
			}
			history = resp.Header.Get(registry.HistoryHeader)
			have := map[string]int64{}
			for _, i := range l.Instances {
				have[i.ID] = i.StartedAtMs
			}
			for id, started := range kept {
				if have[id] < started {
					t.Fatalf("life %d: %s is at %d, though %d was kept", life, id, have[id], started)
				}
			}
			for id, started := range have {
				if started > tried.Load() {
					t.Fatalf("life %d: %s is at %d, which nobody wrote", life, id, started)
				}
			}
		}
		// Writers go on until the process is gone; it goes after some of them were told.
		enough := make(chan struct{}, 64)
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() {
				for {
					id, started := fmt.Sprintf("s-%d-%d", n, rand.IntN(10)), tried.Add(1)
					req, _ := http.NewRequest("PUT", url+"/"+id, strings.NewReader(fmt.Sprintf(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":%d}`, started)))
					resp, err := client.Do(req)
					if err != nil {
						return
					}
					resp.Body.Close()
					if resp.StatusCode == 200 {
						mu.Lock()
						kept[id] = max(kept[id], started)
						acknowledged++
						mu.Unlock()
						select {
						case enough <- struct{}{}:
						default:
						}
					}
				}
			})
		}
		for range 1 + rand.IntN(40) {
			select {
			case <-enough:
			case <-time.After(patience):
				t.Fatal("no write was kept")
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		wg.Wait()
	}
	t.Logf("%d writes were told to be kept", acknowledged)
}

func get(url string) (int, string, http.Header) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// launch runs the program with a configuration until the test ends.
func launch(t *testing.T, config string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended, read := make(chan error, 1), make(chan struct{})
	go func() { ended <- run(ctx, path, func() { close(read) }) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	select {
	case <-read:
	case <-time.After(patience):
		t.Fatal("never started")
	}
	return path
}

// An operator runs a writer and a follower, and points the follower elsewhere.
func TestWriterAndFollower(t *testing.T) {
	writer, control, follower := testnet.TCP(t), testnet.TCP(t), testnet.TCP(t)
	launch(t, fmt.Sprintf(`{"listen":%q,"control":%q,"lease_ms":2000}`, writer, control))
	path := launch(t, fmt.Sprintf(`{"listen":%q,"writer":%q}`, follower, writer))
	// Both have read their configuration, and may not listen yet.
	first := 0
	until(t, "the writer answers", func() bool { first, _, _ = get("http://" + control + "/control/ready"); return first != 0 })
	if first != 503 {
		t.Errorf("ready before all could register: %d", first)
	}
	until(t, "the follower answers", func() bool { code, _, _ := get("http://" + follower + "/registry/instances"); return code != 0 })
	register := func() {
		t.Helper()
		req, _ := http.NewRequest("PUT", "http://"+follower+"/registry/instances/s-1",
			strings.NewReader(`{"hostPort":"127.0.0.1:80","zone":"a","machineType":"m","startedAtMs":5}`))
		resp, err := http.DefaultClient.Do(req) // which goes on to the writer
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
		resp.Body.Close()
	}
	register()
	until(t, "ready", func() bool { code, _, _ := get("http://" + control + "/control/ready"); return code == 200 })
	until(t, "the follower has the list", func() bool {
		register() // the lease is short
		code, text, _ := get("http://" + follower + "/registry/instances")
		return code == 200 && strings.Contains(text, "s-1")
	})
	other := testnet.TCP(t)
	os.WriteFile(path, fmt.Appendf(nil, `{"listen":%q,"writer":%q}`, follower, other), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	until(t, "writes go elsewhere", func() bool {
		req, _ := http.NewRequest("DELETE", "http://"+follower+"/registry/instances/s-1?startedAtMs=5", nil)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return strings.Contains(resp.Header.Get("Location"), other)
	})
}

func TestBadConfigurations(t *testing.T) {
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
			t.Errorf("%s: %+v", text, c)
		}
	}
}
