package play

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"

	"dunlintray/internal/scenario"
	"dunlintray/internal/world"
)

// Estimates of the resources that a run needs.
const (
	cpuSecondsPerRequest = 0.75e-3 // CPU time for a request, gateway and emulator together
	idleCoresPerProcess  = 0.01
	maxCoreFraction      = 0.9 // fraction of the cores that a run may need
	emulatorMemoryMB     = 200
	emulatorDescriptors  = 200
	requestSeconds       = 0.25 // mean time for which a request holds a connection
	descriptorsPerLink   = 2    // the listener, and the connections that fill its queue on a silent link
)

// machineResources are the available resources of a machine.
type machineResources struct {
	cores       int
	memoryMB    int
	descriptors int
}

// thisMachine returns the resources that are available now.
func thisMachine() (machineResources, error) {
	resources := machineResources{cores: runtime.NumCPU()}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return resources, err
	}
	resources.descriptors = int(min(limit.Cur, 1<<30))
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return resources, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "MemAvailable:"); ok {
			var kb int
			if _, err := fmt.Sscan(value, &kb); err != nil {
				return resources, err
			}
			resources.memoryMB = kb / 1024
		}
	}
	return resources, nil
}

// CheckMachine returns an error that names each resource of which the scenario is estimated to
// need more than this machine has.
func CheckMachine(s *scenario.Scenario) error {
	resources, err := thisMachine()
	if err != nil {
		return fmt.Errorf("reading the resources of this machine: %w", err)
	}
	return resources.check(s)
}

// check returns an error that names each resource of which the scenario needs more than m has.
func (m machineResources) check(s *scenario.Scenario) error {
	maxFactor := 1.0
	if len(s.Load.Shape) > 0 {
		maxFactor = 0
	}
	for _, step := range s.Load.Shape {
		maxFactor = max(maxFactor, step.Factor)
	}
	rudeConnections := 0
	for _, fault := range s.Faults {
		switch fault.Kind {
		case "burst":
			maxFactor *= max(1, fault.Size)
		case "rude":
			rudeConnections += int(fault.Size) * s.Fleet.Gateways
		}
	}
	rate := s.Load.RequestsPerS * maxFactor
	processes := s.Fleet.Gateways + s.Fleet.ListServices
	var problems []error
	if cores := rate*cpuSecondsPerRequest + float64(processes)*idleCoresPerProcess; cores > maxCoreFraction*float64(m.cores) {
		problems = append(problems, fmt.Errorf("about %.1f cores for %.0f requests a second, and the machine has %d", cores, rate, m.cores))
	}
	if memory := s.Fleet.Gateways*s.Fleet.MemoryMB + emulatorMemoryMB; memory > m.memoryMB {
		problems = append(problems, fmt.Errorf("up to %d MB of memory for %d gateways, and %d are free", memory, s.Fleet.Gateways, m.memoryMB))
	}
	links := s.Fleet.Gateways*(s.Fleet.Backends+2+s.Fleet.ListServices) + len(world.RelayedLinks(s))
	if sockets := emulatorDescriptors + descriptorsPerLink*links + int(3*rate*requestSeconds) + rudeConnections; sockets > m.descriptors {
		problems = append(problems, fmt.Errorf("about %d descriptors, and the limit is %d (ulimit -n)", sockets, m.descriptors))
	}
	if len(problems) > 0 {
		return fmt.Errorf("the scenario asks more than this machine has: %w", errors.Join(problems...))
	}
	return nil
}
