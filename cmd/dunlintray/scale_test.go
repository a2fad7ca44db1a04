package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

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
