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

// What a play takes, as measured on the machines it was written on; see
// docs/emulator.md.
const (
	cpuTry       = 0.75e-3 // seconds of a core for a try, gateway and emulation together
	cpuProcess   = 0.01    // cores that each process takes with nothing to do
	fillMost     = 0.9     // of the cores that may be asked for
	ownMemoryMB  = 200
	ownSockets   = 200
	openSeconds  = 0.25 // a request holds a connection for so long, in the mean
	eachListener = 2    // descriptors that a link takes: its listener and what fills it
)

// machine is what there is.
type machine struct {
	cores    int
	memoryMB int
	sockets  int
}

func thisMachine() (machine, error) {
	m := machine{cores: runtime.NumCPU()}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, err
	}
	m.sockets = int(min(limit.Cur, 1<<30))
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return m, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if rest, ok := strings.CutPrefix(in.Text(), "MemAvailable:"); ok {
			var kb int
			if _, err := fmt.Sscan(rest, &kb); err != nil {
				return m, err
			}
			m.memoryMB = kb / 1024
		}
	}
	return m, nil
}

// CheckMachine says what a scenario asks that this machine has not.
func CheckMachine(s *scenario.Scenario) error {
	m, err := thisMachine()
	if err != nil {
		return fmt.Errorf("what this machine has can't be told: %w", err)
	}
	return m.fits(s)
}

func (m machine) fits(s *scenario.Scenario) error {
	most := 1.0
	if len(s.Load.Shape) > 0 {
		most = 0
	}
	for _, step := range s.Load.Shape {
		most = max(most, step.Factor)
	}
	rude := 0
	for _, f := range s.Faults {
		switch f.Kind {
		case "burst":
			most *= max(1, f.Size)
		case "rude":
			rude += int(f.Size) * s.Fleet.Gateways
		}
	}
	rate := s.Load.RequestsPerS * most
	processes := s.Fleet.Gateways + s.Fleet.ListServices
	var all []error
	if cores := rate*cpuTry + float64(processes)*cpuProcess; cores > fillMost*float64(m.cores) {
		all = append(all, fmt.Errorf("about %.1f cores for %.0f requests a second, and %d are there", cores, rate, m.cores))
	}
	if memory := s.Fleet.Gateways*s.Fleet.MemoryMB + ownMemoryMB; memory > m.memoryMB {
		all = append(all, fmt.Errorf("up to %d MB of memory for %d gateways, and %d are free", memory, s.Fleet.Gateways, m.memoryMB))
	}
	links := s.Fleet.Gateways*(s.Fleet.Backends+2+s.Fleet.ListServices) + len(world.RelayedLinks(s))
	if sockets := ownSockets + eachListener*links + int(3*rate*openSeconds) + rude; sockets > m.sockets {
		all = append(all, fmt.Errorf("about %d descriptors, and the limit is %d (ulimit -n)", sockets, m.sockets))
	}
	if len(all) > 0 {
		return fmt.Errorf("the scenario asks more than this machine has: %w", errors.Join(all...))
	}
	return nil
}
