package referee

import "time"

// Reachability tells whether datagrams pass between two gateways.
type Reachability int8

// The degrees of reachability.
const (
	Unreachable     Reachability = iota // none passes, either way
	Reachable                           // they pass both ways
	PartlyReachable                     // they pass one way only, with losses or late: gateways may hold each other present or not
)

// Topology is the true state of the fleet under the current faults, by which views and states that
// gateways report are judged.
type Topology struct {
	Running           []bool // by gateway: it runs and answers
	Between           func(a, b int) Reachability
	ServicesReachable bool // every gateway reaches the service registries and the counter
}

// partitions is a topology, split into partitions of gateways that reach each other.
type partitions struct {
	since             time.Duration
	servicesReachable bool
	partitionOf       []int       // by gateway: its partition, or notRunning or indeterminate
	size              map[int]int // by partition, in gateways
}

// The partition of a gateway whose view can't be judged.
const (
	notRunning    = -1 // the gateway does not run
	indeterminate = -2 // its members may hold each other present or not
)

// reportedState is the state that a gateway has reported, and what of it was judged.
type reportedState struct {
	state           string
	changed         time.Duration // when the state changed; below 0: it is the first
	met             []bool        // by gateway: the process has correctly held it present
	viewCheckedFor  time.Duration // start of the partitions by which its view was judged
	stateCheckedFor time.Duration // start of the partitions by which its state was judged
}

// TopologyChanged reports the topology of the fleet from now on.
func (r *Referee) TopologyChanged(now time.Duration, topology Topology) {
	count := len(topology.Running)
	current := &partitions{since: now, servicesReachable: topology.ServicesReachable, partitionOf: make([]int, count), size: map[int]int{}}
	for a := range count {
		current.partitionOf[a] = notRunning
		if topology.Running[a] {
			current.partitionOf[a] = a
		}
	}
	// Partitions are the connected components of the gateways that reach each other.
	for changed := true; changed; {
		changed = false
		for a := range count {
			for b := range a {
				if current.partitionOf[a] >= 0 && current.partitionOf[b] >= 0 && current.partitionOf[a] != current.partitionOf[b] && topology.Between(a, b) == Reachable {
					current.partitionOf[a], current.partitionOf[b] = min(current.partitionOf[a], current.partitionOf[b]), min(current.partitionOf[a], current.partitionOf[b])
					changed = true
				}
			}
		}
	}
	// A partition is indeterminate if not all its members reach each other, or if a link from it
	// is partly reachable.
	indeterminateParts := map[int]bool{}
	for a := range count {
		for b := range a {
			if current.partitionOf[a] < 0 || current.partitionOf[b] < 0 {
				continue
			}
			if reach := topology.Between(a, b); reach == PartlyReachable || (reach == Reachable) != (current.partitionOf[a] == current.partitionOf[b]) {
				indeterminateParts[current.partitionOf[a]], indeterminateParts[current.partitionOf[b]] = true, true
			}
		}
	}
	for a, partition := range current.partitionOf {
		if indeterminateParts[partition] {
			current.partitionOf[a] = indeterminate
		} else if partition >= 0 {
			current.size[partition]++
		}
	}
	if previous := r.partitions; previous != nil && now-previous.since < flapInterval {
		r.flaps++
		if r.flaps == flapsPerTrial {
			r.tried[trialFlap]++
		}
	} else {
		r.flaps = 0
	}
	r.partitions = current
}

const (
	stateReportTimeout = 8 * time.Second         // after its view is right, a gateway reports its state within this
	minStateDuration   = 2400 * time.Millisecond // a gateway keeps a state for 3 s, less the polling interval and slack

	// So many changes of the topology, each so soon after the last, test whether states flap.
	flapInterval  = 3 * time.Second
	flapsPerTrial = 4
)

// Connectivity judges the state and the present members that a gateway reports. Once the topology
// has been unchanged for Rules.ViewTimeout, it has to hold present the gateways of its partition
// and no others. Some time later it has to report that it is whole if nothing has failed, and must
// not report that if it reaches less than half of the gateways that it has met.
func (r *Referee) Connectivity(now time.Duration, gateway int, state string, present []bool) {
	judged, report := &r.gateways[gateway], &r.gateways[gateway].reported
	if state != report.state {
		if report.changed >= 0 && report.state != "" && now-report.changed < minStateDuration {
			r.violate(now, Standing, gateway, nil, "it reports that it is %s, %v after it reported %s", state, (now - report.changed).Round(time.Millisecond), report.state)
		}
		if report.changed = now; report.state == "" {
			report.changed = -1
		}
		report.state = state
	}
	current := r.partitions
	if current == nil || judged.excused || judged.stoppingAt >= 0 || len(present) != len(current.partitionOf) || current.partitionOf[gateway] < 0 || now-current.since < r.scenario.Rules.ViewTimeout.Std() {
		return
	}
	if report.viewCheckedFor != current.since {
		report.viewCheckedFor = current.since
		r.tried[View]++
		for other := range present {
			if expected := current.partitionOf[other] == current.partitionOf[gateway]; other != gateway && present[other] != expected {
				r.violate(now, View, gateway, nil, "it holds n%d %s, %v after that became %s", other, presence(present[other]), (now - current.since).Round(time.Millisecond), presence(expected))
			}
		}
		if report.met == nil {
			report.met = make([]bool, len(present))
		}
		for other := range present {
			report.met[other] = report.met[other] || other != gateway && current.partitionOf[other] == current.partitionOf[gateway]
		}
	}
	if report.stateCheckedFor == current.since || now-current.since < r.scenario.Rules.ViewTimeout.Std()+stateReportTimeout {
		return
	}
	metCount := 0
	for other := range report.met {
		if report.met[other] && r.gateways[other].stoppingAt < 0 {
			metCount++
		}
	}
	reached := current.size[current.partitionOf[gateway]] - 1
	switch connected := reached == len(current.partitionOf)-1 && current.servicesReachable; {
	case !connected && 2*reached >= metCount:
		return
	case connected == (state == "whole"):
	case connected:
		r.violate(now, Standing, gateway, nil, "it reports that it is %s, though nothing has failed for %v", state, (now - current.since).Round(time.Millisecond))
	default:
		r.violate(now, Standing, gateway, nil, "it reports that it is whole, though it has reached %d of %d gateways for %v", reached, metCount, (now - current.since).Round(time.Millisecond))
	}
	report.stateCheckedFor = current.since
	r.tried[Standing]++
}

// presence names a member's presence in violations.
func presence(present bool) string {
	if present {
		return "present"
	}
	return "absent"
}

// reset clears the state when a new process of the gateway starts.
func (s *reportedState) reset() {
	*s = reportedState{changed: -1, viewCheckedFor: -1, stateCheckedFor: -1}
}
