package play

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"

	"dunlintray/internal/scenario"
)

// check rejects a scenario that needs more than the machine has, and names the resource.
func TestCheckNamesMissingResources(t *testing.T) {
	plenty := machineResources{cores: 64, memoryMB: 1 << 20, descriptors: 1 << 20}
	for _, c := range []struct {
		change func(*machineResources)
		want   string // "" where it fits
	}{
		{func(*machineResources) {}, ""},
		{func(m *machineResources) { m.cores = 0 }, "cores for 900 requests a second"},
		{func(m *machineResources) { m.memoryMB = 300 }, "MB of memory for 3 gateways"},
		{func(m *machineResources) { m.descriptors = 500 }, "descriptors, and the limit is 500"},
	} {
		m := plenty
		c.change(&m)
		s := scenario.Default()
		s.Load.Shape = []scenario.Step{{Factor: 1}, {At: 1, Factor: 1.5}}
		s.Faults = []scenario.Fault{{Kind: "burst", Size: 2}, {Kind: "rude", Size: 10}}
		err := m.check(&s)
		if (c.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: error %v, want %q", m, err, c.want)
		}
	}
	if m, err := thisMachine(); err != nil || m.cores == 0 || m.memoryMB == 0 || m.descriptors == 0 {
		t.Errorf("resources of this machine: %+v, error %v", m, err)
	}
}

// claimNetwork skips networks that are in use, and returns an error if it finds no other.
func TestClaimNetworkSkipsNetworksInUse(t *testing.T) {
	const one, other = endNetwork, endNetwork + 1 // no run beside this test chooses these
	l, err := net.Listen("tcp", addressPlan{one}.registry(0))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	draws := []int{one, one, other}
	p, claim, err := claimNetwork(2, 1, func(int) int { d := draws[0]; draws = draws[1:]; return d - firstNetwork })
	if err != nil || p.network != other {
		t.Fatalf("claimed %+v, error %v", p, err)
	}
	defer claim.Close()
	// A claimed network is in use even before its run has started a process.
	for _, taken := range []int{one, other} {
		if p, _, err := claimNetwork(2, 1, func(int) int { return taken - firstNetwork }); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("claimed %+v, error %v, want EADDRINUSE", p, err)
		}
	}
}
