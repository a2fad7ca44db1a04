package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/scale"
)

// A scale run of a small fleet with a real gateway under load reports and records its measurements.
func TestScaleRun(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "results.json")
	var stdout, stderr bytes.Buffer
	status := run(t.Context(), []string{"scale", "--registry", filepath.Join(daemonDir, "registry"), "--gateway", filepath.Join(daemonDir, "gateway"), "--dir", dir, "--json", path,
		"--gateways", "3", "--real-gateways", "1", "--backends", "6", "--services", "2", "--members", "1", "--followers", "0", "--changes", "6", "--lease", "1s", "--length", "1s"}, &stdout, &stderr)
	if status != 0 {
		t.Fatalf("status %d: %s%s", status, &stdout, &stderr)
	}
	for _, want := range []string{"measuring", "all 3 gateways hold what the writer's list has for them, 6 to 6 of 6 backends", "0 missing", "requests through real gateways, by status: map[200:"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, &stdout)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var result scale.Result
	if err := json.Unmarshal(text, &result); err != nil {
		t.Fatal(err)
	}
	if result.Scenario.Fleet.Gateways != 3 || result.Gateway.HeldKB <= 0 || result.Requests[200] == 0 {
		t.Errorf("want 3 gateways, memory of the gateway above 0 and requests with status 200: %s", text)
	}
}

// The child processes of a scale run end when it is killed.
func TestScaleChildrenEndWithKilledRun(t *testing.T) {
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(executable, "scale", "--registry", filepath.Join(daemonDir, "registry"), "--dir", t.TempDir(), "--real-gateways", "0",
		"--gateways", "3", "--backends", "6", "--services", "2", "--lease", "1s", "--length", "1m")
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	for scanner := bufio.NewScanner(stdout); scanner.Scan() && !strings.Contains(scanner.Text(), "measuring"); {
	}
	running := childrenOf(t, cmd.Process.Pid)
	if len(running) != 6 { // three members, a follower, and a process each of gateways and of backends
		t.Errorf("child processes %v, want 6", running)
	}
	cmd.Process.Kill()
	cmd.Wait()
	const endTimeout = 5 * time.Second
	for deadline := time.Now().Add(endTimeout); len(running) > 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		running = slices.DeleteFunc(running, func(pid string) bool {
			text, err := os.ReadFile("/proc/" + pid + "/stat")
			return err != nil || strings.Contains(string(text), ") Z ")
		})
	}
	if len(running) > 0 {
		t.Errorf("processes %[2]v still run %[1]v after the run was killed", endTimeout, running)
	}
}

// childrenOf returns the ids of the running child processes of pid.
func childrenOf(t *testing.T, pid int) (pids []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(pid) {
			pids = append(pids, filepath.Base(filepath.Dir(path)))
		}
	}
	return pids
}

// A scale run with impossible settings is rejected with status 1 and a message that names them.
func TestScaleRejectsInvalidRuns(t *testing.T) {
	for want, args := range map[string][]string{
		"no such file":            {"scale", "moonshot"},
		"fleet.members":           {"scale", "--members", "2"},
		"reading.within":          {"scale", "--within", "rack"},
		"half of the machine's":   {"scale", "--gateways", "2000", "--backends", "20000"},
		"there is no quantity":    {"scale", "sweep", "moons", "--sizes", "1,3"},
		"gateways 0":              {"scale", "sweep", "gateways", "--sizes", "0,3"},
		"too few":                 {"scale", "sweep", "gateways", "--sizes", "3"},
		"go build -o bin/":        {"scale", "--registry", filepath.Join(t.TempDir(), "registry")},
		"its configuration":       {"scale-host"},
		"the limit is":            {"scale", "--gateways", "12000", "--scopes", "1", "--within", "zone"},
		"put more hollow ones in": {"scale", "--gateways", "300", "--gateways-in-process", "1"},
	} {
		var stdout, stderr bytes.Buffer
		if status := run(t.Context(), args, &stdout, &stderr); status != 1 || !strings.Contains(stderr.String(), want) {
			t.Errorf("%q: exit status %d, want 1 with %q: %s", args, status, want, &stderr)
		}
	}
}
