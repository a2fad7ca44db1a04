package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// hostVariable makes the test binary run as a host process.
const hostVariable = "SCALE_TEST_HOST"

// registryProgram is the path of the registry program, built once for all tests.
var registryProgram string

func TestMain(m *testing.M) {
	if os.Getenv(hostVariable) != "" {
		if err := RunHost(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Setenv(hostVariable, "1") // inherited by the processes that tests start
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "scale-test-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		registryProgram = filepath.Join(dir, "registry")
		if text, err := exec.Command("go", "build", "-o", registryProgram, "dunlintray/cmd/registry").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, text)
			return 1
		}
		return m.Run()
	}())
}

func testOptions(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{RegistryPath: registryProgram, HostCommand: []string{self}, Dir: t.TempDir()}
}

// TestRunWithScopes checks that each gateway that reads parts of the list holds exactly the
// backends of its services in its zone, and receives no other changes.
func TestRunWithScopes(t *testing.T) {
	scenario := smallScenario()
	scenario.Reading = Reading{Services: 2, Within: WithinZone}
	result, err := Run(t.Context(), scenario, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if reason := result.Failure(); reason != "" {
		t.Error(reason)
	}
	plan := NewPlan(scenario, firstNetwork)
	for _, gateway := range plan.Gateways {
		readCount := 0
		for _, backend := range plan.Backends {
			if gateway.Reads(backend) {
				readCount++
			}
		}
		if readCount < result.Final.MinBackends || readCount > result.Final.MaxBackends {
			t.Errorf("gateway %d reads %d backends, but gateways hold %d to %d", gateway.Number, readCount, result.Final.MinBackends, result.Final.MaxBackends)
		}
	}
	if result.Final.MaxBackends >= scenario.Fleet.Backends/2 || result.Final.Matching != 5 || result.Final.Total != 5 {
		t.Errorf("%+v", result.Final)
	}
	if whole := int64(result.Changes * scenario.Fleet.Gateways); result.Propagation.Count == 0 || result.Propagation.Count >= whole/2 {
		t.Errorf("%d latencies of %d changes at %d gateways that each read a sixth", result.Propagation.Count, result.Changes, scenario.Fleet.Gateways)
	}
}

// TestRunWithSubset checks that gateways select three of the ten backends of a service.
func TestRunWithSubset(t *testing.T) {
	scenario := smallScenario()
	scenario.Length = Duration(time.Second / 2)
	scenario.Fleet.Members, scenario.Fleet.Followers, scenario.Fleet.Services = 1, 0, 2
	scenario.Changes.PerS = 0
	scenario.Reading = Reading{Services: 1, Within: WithinAll, Subset: 3}
	result, err := Run(t.Context(), scenario, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if f := result.Final; f.Checked || f.MinBackends != 3 || f.MaxBackends != 3 || f.Total != 5 || f.ListedBackends != 20 {
		t.Errorf("%+v", f)
	}
}

// childProcesses returns the stat lines of the running children of this process.
func childProcesses(t *testing.T) (all []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it ended meanwhile
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(os.Getpid()) {
			all = append(all, string(text))
		}
	}
	return all
}

func smallScenario() *Scenario {
	scenario := Default()
	scenario.Length, scenario.Quiet = Duration(2*time.Second), Duration(20*time.Second)
	scenario.Fleet.Gateways, scenario.Fleet.Backends, scenario.Fleet.Services, scenario.Fleet.Lease = 5, 20, 4, Duration(time.Second)
	scenario.Changes.PerS, scenario.Changes.Drain, scenario.Changes.Down = 15, Duration(100*time.Millisecond), Duration(100*time.Millisecond)
	scenario.Hosts.Gateways = 3
	return &scenario
}

// TestRun checks that each acknowledged change reaches each gateway, that all gateways hold
// the writer's list at the end, and that no process remains.
func TestRun(t *testing.T) {
	scenario := smallScenario()
	scenario.Fleet.Membership = true
	result, err := Run(t.Context(), scenario, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if reason := result.Failure(); reason != "" {
		t.Error(reason)
	}
	if result.Changes < 6 || result.Changes%changesPerRestart != 0 {
		t.Errorf("%d changes in 2 s at 15 per second, want a multiple of 3 from 6", result.Changes)
	}
	if want := int64(result.Changes * scenario.Fleet.Gateways); result.Propagation.Count != want {
		t.Errorf("%d changes were received %d times by %d gateways", result.Changes, result.Propagation.Count, scenario.Fleet.Gateways)
	}
	if result.VersionDelta != int64(result.Changes) {
		t.Errorf("%d changes and %d versions: leases expired", result.Changes, result.VersionDelta)
	}
	if result.Final.ListedBackends != 20 || result.Final.Total != 5 {
		t.Errorf("%+v", result.Final)
	}
	if result.Membership.Present < 4.9 {
		t.Errorf("gateways consider %g of 5 members present", result.Membership.Present)
	}
	for name, processes := range map[string]int{roleWriter: 1, roleMember: 2, roleFollower: 1, roleGateways: 2, roleBackends: 1} {
		if role, ok := result.Role(name); !ok || role.Processes != processes || role.InPerS <= 0 || role.OutPerS <= 0 || role.MemoryMB <= 0 {
			t.Errorf("%s: %+v", name, role)
		}
	}
	if remaining := childProcesses(t); len(remaining) > 0 {
		t.Errorf("running processes remain: %s", remaining)
	}
}

// TestRunWithFaults checks that a run recovers from a rack failure, a cut of a region and a
// killed writer, and logs each fault.
func TestRunWithFaults(t *testing.T) {
	scenario := smallScenario()
	scenario.Length = Duration(6 * time.Second)
	const second = Duration(time.Second)
	scenario.Faults = []*Fault{
		{Kind: FaultRack, At: second / 10, For: 2 * second, Gateways: 2, Backends: 5},
		{Kind: FaultRegionCut, At: 2 * second, For: second, Region: "r0"},
		{Kind: FaultKill, At: 3 * second, For: second, Process: processWriter},
		{Kind: FaultRestarts, At: 4 * second, For: second, ChangesPerS: 30},
	}
	result, err := Run(t.Context(), scenario, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if reason := result.Failure(); reason != "" {
		t.Error(reason)
	}
	if result.Final.ListedBackends != 20 || result.Final.Total != 5 || result.Final.Matching != 5 {
		t.Errorf("%+v", result.Final)
	}
	var events []string
	for _, event := range result.Events {
		_, text, _ := strings.Cut(event, " s: ")
		if !strings.Contains(event, "wrote at the beginning") { // depends on the group's election
			events = append(events, text)
		}
	}
	want := []string{"rack begins", "region_cut begins", "rack ends", "region_cut ends", "kill begins", "member0 was killed", "kill ends", "member0 was started again", "restarts begins", "restarts ends"}
	for n := range want {
		if n < len(events) && strings.HasPrefix(want[n], "member") {
			want[n] = events[n][:len("member0")] + want[n][len("member0"):] // any member may be the writer
		}
	}
	if !slices.Equal(events, want) {
		t.Errorf("%q, want %q", events, want)
	}
	if remaining := childProcesses(t); len(remaining) > 0 {
		t.Errorf("running processes remain: %s", remaining)
	}
}

// TestInterruptedRunLeavesNoProcesses checks that neither a cancelled run nor one whose
// registry process ends leaves processes.
func TestInterruptedRunLeavesNoProcesses(t *testing.T) {
	options := testOptions(t)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, smallScenario(), options); err == nil {
		t.Error("a cancelled run returned a result")
	}
	if remaining := childProcesses(t); len(remaining) > 0 {
		t.Errorf("running processes remain: %s", remaining)
	}
	options.RegistryPath = "/bin/false"
	if _, err := Run(t.Context(), smallScenario(), options); err == nil || !strings.Contains(err.Error(), "ended unexpectedly") {
		t.Errorf("%v", err)
	}
	if remaining := childProcesses(t); len(remaining) > 0 {
		t.Errorf("running processes remain: %s", remaining)
	}
}
