package referee

import "time"

// Reachability is what datagrams do between two gateways.
type Reachability int8

// The kinds.
const (
	Unreachable     Reachability = iota // none passes, either way
	Reachable                           // they pass both ways
	PartlyReachable                     // they pass one way, or some do, or late: who is present is open
)

// Topology is what a fleet of gateways stands on, as the faults that are played make
// it: what its members would hold of each other if they knew everything.
type Topology struct {
	Running           []bool // gateways that run and answer
	Between           func(a, b int) Reachability
	ServicesReachable bool // every gateway reaches the list services and the counter
}

// ground is one as it is judged by.
type ground struct {
	since time.Duration
	well  bool
	part  []int // the part of the fleet that each gateway stands in; open or out
	size  map[int]int
}

// Of a gateway's part where there is none to judge it by.
const (
	out  = -1 // it does not run
	open = -2 // what its members can hold of each other is open
)

// stand is what a gateway has said of late.
type stand struct {
	state   string
	changed time.Duration // when it said that; below 0: it is its first
	met     []bool        // gateways that it has rightly held present in this life
	viewed  time.Duration // the ground, by its beginning, on which its view was judged
	stood   time.Duration // and its state
}

// TopologyChanged tells that what the fleet stands on is another from now on.
func (r *Referee) TopologyChanged(now time.Duration, g Topology) {
	n := len(g.Running)
	at := &ground{since: now, well: g.ServicesReachable, part: make([]int, n), size: map[int]int{}}
	for a := range n {
		at.part[a] = out
		if g.Running[a] {
			at.part[a] = a
		}
	}
	// Parts are those joined, also by way of others.
	for changed := true; changed; {
		changed = false
		for a := range n {
			for b := range a {
				if at.part[a] >= 0 && at.part[b] >= 0 && at.part[a] != at.part[b] && g.Between(a, b) == Reachable {
					at.part[a], at.part[b] = min(at.part[a], at.part[b]), min(at.part[a], at.part[b])
					changed = true
				}
			}
		}
	}
	// A part in which not each reaches each, or that some link leaves in doubt, is open.
	doubted := map[int]bool{}
	for a := range n {
		for b := range a {
			if at.part[a] < 0 || at.part[b] < 0 {
				continue
			}
			if reach := g.Between(a, b); reach == PartlyReachable || (reach == Reachable) != (at.part[a] == at.part[b]) {
				doubted[at.part[a]], doubted[at.part[b]] = true, true
			}
		}
	}
	for a, part := range at.part {
		if doubted[part] {
			at.part[a] = open
		} else if part >= 0 {
			at.size[part]++
		}
	}
	if before := r.ground; before != nil && now-before.since < swingWithin {
		r.swings++
		if r.swings == swingsTried {
			r.tried[trySwing]++
		}
	} else {
		r.swings = 0
	}
	r.ground = at
}

const (
	standAfter = 8 * time.Second         // the longest that a gateway waits before it says what its view shows
	leastStay  = 2400 * time.Millisecond // in a state, so that no flap swings it; it takes 3 s, and is seen within 0.5 s

	// A ground that changes so often tries whether anybody swings with it.
	swingWithin = 3 * time.Second
	swingsTried = 4
)

// Connectivity judges what a gateway says of its fleet: once the ground has stood long
// enough, it has to hold present those of its part, and no others; it has to say
// that it is whole where nothing is amiss, and not where it reaches less than half of
// those that it has met.
func (r *Referee) Connectivity(now time.Duration, g int, state string, present []bool) {
	me, s := &r.gateways[g], &r.gateways[g].stand
	if state != s.state {
		if s.changed >= 0 && s.state != "" && now-s.changed < leastStay {
			r.violate(now, Standing, g, nil, "it says that it is %s %v after it said %s", state, (now - s.changed).Round(time.Millisecond), s.state)
		}
		if s.changed = now; s.state == "" {
			s.changed = -1
		}
		s.state = state
	}
	at := r.ground
	if at == nil || me.excused || me.stopping >= 0 || len(present) != len(at.part) || at.part[g] < 0 || now-at.since < r.s.Rules.ViewTimeout.Std() {
		return
	}
	if s.viewed != at.since {
		s.viewed = at.since
		r.tried[View]++
		for o := range present {
			if here := at.part[o] == at.part[g]; o != g && present[o] != here {
				r.violate(now, View, g, nil, "it holds n%d for %s, %v after it came to be %s", o, presence(present[o]), (now - at.since).Round(time.Millisecond), presence(here))
			}
		}
		if s.met == nil {
			s.met = make([]bool, len(present))
		}
		for o := range present {
			s.met[o] = s.met[o] || o != g && at.part[o] == at.part[g]
		}
	}
	if s.stood == at.since || now-at.since < r.s.Rules.ViewTimeout.Std()+standAfter {
		return
	}
	met := 0
	for o := range s.met {
		if s.met[o] && r.gateways[o].stopping < 0 {
			met++
		}
	}
	reaches := at.size[at.part[g]] - 1
	switch whole := reaches == len(at.part)-1 && at.well; {
	case !whole && 2*reaches >= met:
		return
	case whole == (state == "whole"):
	case whole:
		r.violate(now, Standing, g, nil, "it says that it is %s, though nothing has been amiss for %v", state, (now - at.since).Round(time.Millisecond))
	default:
		r.violate(now, Standing, g, nil, "it says that it is whole, though it has reached %d of %d gateways for %v", reaches, met, (now - at.since).Round(time.Millisecond))
	}
	s.stood = at.since
	r.tried[Standing]++
}

func presence(here bool) string {
	if here {
		return "present"
	}
	return "absent"
}

// fresh forgets what a gateway's last life has said.
func (s *stand) fresh() { *s = stand{changed: -1, viewed: -1, stood: -1} }
