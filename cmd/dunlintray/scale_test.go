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

// TestScale runs a small fleet with a real gateway under load, and reads the results.
func TestScale(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "results.json")
	var out, errs bytes.Buffer
	status := run(t.Context(), []string{"scale", "--registry", filepath.Join(bin, "registry"), "--gateway", filepath.Join(bin, "gateway"), "--dir", dir, "--json", path,
		"--gateways", "3", "--real-gateways", "1", "--backends", "6", "--services", "2", "--members", "1", "--followers", "0", "--changes", "6", "--lease", "1s", "--length", "1s"}, &out, &errs)
	if status != 0 {
		t.Fatalf("status %d: %s%s", status, &out, &errs)
	}
	for _, want := range []string{"measuring", "all 3 gateways hold what the writer's list has for them, 6 to 6 of 6 backends", "0 missing", "requests through real gateways, by status: map[200:"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("it does not say %q:\n%s", want, &out)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var r scale.Result
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	if r.Scenario.Fleet.Gateways != 3 || r.Gateway.HeldKB <= 0 || r.Requests[200] == 0 {
		t.Errorf("%s", text)
	}
}

// TestScaleKilled kills a run: the system ends its processes with it.
func TestScaleKilled(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "scale", "--registry", filepath.Join(bin, "registry"), "--dir", t.TempDir(), "--real-gateways", "0",
		"--gateways", "3", "--backends", "6", "--services", "2", "--lease", "1s", "--length", "1m")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	for in := bufio.NewScanner(out); in.Scan() && !strings.Contains(in.Text(), "measuring"); {
	}
	left := childrenOf(t, cmd.Process.Pid)
	if len(left) != 6 { // three members, a follower, and a process each of gateways and of backends
		t.Errorf("it has the processes %v", left)
	}
	cmd.Process.Kill()
	cmd.Wait()
	const patience = 5 * time.Second
	for end := time.Now().Add(patience); len(left) > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(pid string) bool {
			text, err := os.ReadFile("/proc/" + pid + "/stat")
			return err != nil || strings.Contains(string(text), ") Z ")
		})
	}
	if len(left) > 0 {
		t.Errorf("%v after it, the processes %v are left", patience, left)
	}
}

// childrenOf are the processes that one has started and that run.
func childrenOf(t *testing.T, pid int) (all []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended meanwhile
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(pid) {
			all = append(all, filepath.Base(filepath.Dir(path)))
		}
	}
	return all
}

func TestScaleRefuses(t *testing.T) {
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
		var out, errs bytes.Buffer
		if status := run(t.Context(), args, &out, &errs); status != 1 || !strings.Contains(errs.String(), want) {
			t.Errorf("%q: status %d, %s, which does not say %q", args, status, &errs, want)
		}
	}
}
