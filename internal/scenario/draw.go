package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunlintray/internal/link"
)

// Limits of the faults that Draw generates.
const (
	meanFaultInterval = 2500 * time.Millisecond // mean interval between faults
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 5 * time.Second
	recoveryDivisor   = 4 // the last 1/recoveryDivisor of the scenario's duration has no faults
	faultFreeStart    = time.Second
)

// Draw replaces the scenario's faults by a random schedule, which its seed determines. Each fault
// is valid for the fleet and lasts a bounded time; the last quarter of the
// scenario's duration has none.
func (s *Scenario) Draw() {
	random := rand.New(rand.NewPCG(s.Seed, randomStream))
	kinds := []string{"kill", "gone", "freeze", "slow_start", "crash_loop", "crash", "vanish", "replace", "slow", "errors", "resets", "counter_silent", "counter_empty", "list_late", "list_stale", "link", "link", "link"}
	if len(s.Fleet.Zones) > 1 {
		kinds = append(kinds, "cut", "apart")
	}
	last := s.Duration.Std() - s.Duration.Std()/recoveryDivisor
	s.Faults = nil
	if last <= faultFreeStart+minFaultDuration {
		return
	}
	for range max(1, int(s.Duration.Std()/meanFaultInterval)) {
		fault := Fault{Kind: kinds[random.IntN(len(kinds))]}
		at := faultFreeStart + time.Duration(random.Int64N(int64(last-faultFreeStart-minFaultDuration)))
		length := minFaultDuration + time.Duration(random.Int64N(int64(min(maxFaultDuration, last-at)-minFaultDuration)+1))
		fault.At, fault.For = Duration(at.Round(time.Millisecond)), Duration(length.Round(time.Millisecond))
		switch kind := FaultKinds[fault.Kind]; {
		case kind.IsLink:
			s.drawLink(&fault, random)
		case kind.NeedsZone:
			fault.Zone = s.Fleet.Zones[random.IntN(len(s.Fleet.Zones))]
		case kind.AllowsTarget && s.Fleet.ListServices > 0 && (s.Fleet.KeepLists || fault.Kind == "freeze") && random.IntN(3) == 0:
			fault.Target = "list" + string(rune('0'+random.IntN(s.Fleet.ListServices)))
		case kind.ByPart:
			fault.Fraction = 0.1 + 0.4*random.Float64()
		}
		switch {
		case FaultKinds[fault.Kind].NeedsFlap:
			fault.Flap = Duration(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		case fault.Kind == "slow":
			fault.Size = 2 + 8*random.Float64()
		case FaultKinds[fault.Kind].SizeIsFraction:
			fault.Size = 0.1 + 0.5*random.Float64()
		}
		s.Faults = append(s.Faults, fault)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// randomStream separates these draws from those of the emulator, which use the same seed.
const randomStream = 101

// drawLink draws the parameters of a link fault.
func (s *Scenario) drawLink(fault *Fault, random *rand.Rand) {
	pairs := [][2]string{{"gateways", "counter"}, {"gateways", "backends"}, {"gateways", "gateways"}}
	if s.Fleet.ListServices > 0 {
		pairs = append(pairs, [2]string{"gateways", "lists"}, [2]string{"gateways", "lists"}, [2]string{"backends", "list0"})
	}
	if s.Fleet.ListServices > 1 {
		pairs = append(pairs, [2]string{"lists", "list0"})
	}
	pair := pairs[random.IntN(len(pairs))]
	fault.From, fault.To = pair[0], pair[1]
	if fault.From == "gateways" {
		fault.From += " of " + s.Fleet.Zones[random.IntN(len(s.Fleet.Zones))]
	}
	from, _ := s.ParseActor(fault.From)
	to, _ := s.ParseActor(fault.To)
	supported := linkFaultKinds[[2]ActorKind{from.Kind, to.Kind}]
	fault.Effect = string(supported[random.IntN(len(supported))])
	if to.Kind == Gateways || to.Kind == Registries {
		fault.Direction = []string{"both", "there", "back"}[random.IntN(3)]
	}
	switch link.Kind(fault.Effect) {
	case link.Lost, link.Repeated, link.Reordered:
		fault.Size = 0.05 + 0.5*random.Float64()
	case link.Cut:
		fault.Size = float64(random.IntN(4000))
	case link.Slow:
		fault.Size = float64(500 + random.IntN(5000))
	case link.Delayed:
		fault.Delay, fault.Jitter = Duration(time.Duration(20+random.IntN(500))*time.Millisecond), Duration(time.Duration(random.IntN(300))*time.Millisecond)
	}
	if random.IntN(4) == 0 {
		fault.Flap = Duration(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
}
