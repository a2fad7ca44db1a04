package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait of a test; none is expected to last so long.
const patience = 20 * time.Second

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
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
	writer, control, follower := freePort(t), freePort(t), freePort(t)
	launch(t, fmt.Sprintf(`{"listen":%q,"control":%q,"lease_ms":500}`, writer, control))
	path := launch(t, fmt.Sprintf(`{"listen":%q,"writer":%q}`, follower, writer))
	if code, _, _ := get("http://" + control + "/control/ready"); code != 503 {
		t.Errorf("ready before all could register: %d", code)
	}
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
	other := freePort(t)
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
		`{"listen":"127.0.0.1:1","limits":{"watchers":2000}}`, `{"listen":"127.0.0.1:1","limits":{"lists_per_s":-1}}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		os.WriteFile(path, []byte(text), 0o600)
		if c, err := readConfig(path); err == nil {
			t.Errorf("%s: %+v", text, c)
		}
	}
}
