package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary stand in for the command.
func TestMain(m *testing.M) {
	if os.Getenv("ELDERYARD_AS_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func command(t *testing.T, config string) (cmd *exec.Cmd, stderr *bytes.Buffer, rewrite func(config string)) {
	path := filepath.Join(t.TempDir(), "config.json")
	rewrite = func(config string) {
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	rewrite(config)
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ELDERYARD_AS_COMMAND=1", "EDGE_CONFIG="+path)
	stderr = &bytes.Buffer{}
	cmd.Stderr = stderr
	return cmd, stderr, rewrite
}

// registry is a discovery that never answers, and tells when it is asked.
func registry(t *testing.T) (address string, asked chan struct{}) {
	asked = make(chan struct{}, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

func config(discovery string) string {
	return `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "` + discovery +
		`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": {"fleetSize": 1, "tickS": 0.002, "allowed": {"mostTries": 3, "connectTimeoutS": 1, "keepaliveS": 15},
		"classes": [{"name": "c", "objectiveS": 1, "deadlineS": 2}], "packages": [{"name": "p"}]}}`
}

func wait(t *testing.T, asked <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s was not asked", what)
	}
}

func TestBadConfiguration(t *testing.T) {
	cmd, stderr, _ := command(t, `{"settings": {}}`)
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "elderyard: configuration ") {
		t.Errorf("said %q", text)
	}
}

func TestSigterm(t *testing.T) {
	discovery, asked := registry(t)
	cmd, stderr, _ := command(t, config(discovery))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	wait(t, asked, "discovery") // it runs
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}

// A hangup moves the gateway to the addresses of the new configuration. One that
// can't be read changes nothing, and neither ends the program.
func TestSighup(t *testing.T) {
	old, askedOld := registry(t)
	next, askedNext := registry(t)
	cmd, stderr, rewrite := command(t, config(old))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	wait(t, askedOld, "the old discovery")
	rewrite("{")
	cmd.Process.Signal(syscall.SIGHUP)
	rewrite(config(next))
	cmd.Process.Signal(syscall.SIGHUP)
	wait(t, askedNext, "the new discovery")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}
