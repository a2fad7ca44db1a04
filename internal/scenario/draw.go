package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunlintray/internal/link"
)

// What is drawn stays within these.
const (
	drawEvery   = 2500 * time.Millisecond // a fault, in the mean
	drawLeast   = 300 * time.Millisecond  // of a fault's length
	drawMost    = 5 * time.Second
	drawTail    = 4 // the last quarter of the day is for the way back
	drawNothing = time.Second
)

// Draw puts a schedule of faults of its own in place of the scenario's, by its seed:
// each of a kind that the fleet can have, for a bounded time, and none in the last
// quarter of the day.
func (s *Scenario) Draw() {
	random := rand.New(rand.NewPCG(s.Seed, streamDraw))
	kinds := []string{"kill", "gone", "freeze", "slow_start", "crash_loop", "crash", "vanish", "replace", "slow", "errors", "resets", "counter_silent", "counter_empty", "list_late", "list_stale", "link", "link", "link"}
	if len(s.Fleet.Zones) > 1 {
		kinds = append(kinds, "cut", "apart")
	}
	last := s.Duration.Std() - s.Duration.Std()/drawTail
	s.Faults = nil
	if last <= drawNothing+drawLeast {
		return
	}
	for range max(1, int(s.Duration.Std()/drawEvery)) {
		f := Fault{Kind: kinds[random.IntN(len(kinds))]}
		at := drawNothing + time.Duration(random.Int64N(int64(last-drawNothing-drawLeast)))
		length := drawLeast + time.Duration(random.Int64N(int64(min(drawMost, last-at)-drawLeast)+1))
		f.At, f.For = Duration(at.Round(time.Millisecond)), Duration(length.Round(time.Millisecond))
		switch kind := FaultKinds[f.Kind]; {
		case kind.IsLink:
			s.drawLink(&f, random)
		case kind.NeedsZone:
			f.Zone = s.Fleet.Zones[random.IntN(len(s.Fleet.Zones))]
		case kind.AllowsTarget && s.Fleet.ListServices > 0 && (s.Fleet.KeepLists || f.Kind == "freeze") && random.IntN(3) == 0:
			f.Target = "list" + string(rune('0'+random.IntN(s.Fleet.ListServices)))
		case kind.ByPart:
			f.Fraction = 0.1 + 0.4*random.Float64()
		}
		switch {
		case FaultKinds[f.Kind].NeedsFlap:
			f.Flap = Duration(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		case f.Kind == "slow":
			f.Size = 2 + 8*random.Float64()
		case FaultKinds[f.Kind].SizeIsFraction:
			f.Size = 0.1 + 0.5*random.Float64()
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// streamDraw is the stream of what is drawn here, apart from those of the world.
const streamDraw = 101

func (s *Scenario) drawLink(f *Fault, random *rand.Rand) {
	pairs := [][2]string{{"gateways", "counter"}, {"gateways", "backends"}, {"gateways", "gateways"}}
	if s.Fleet.ListServices > 0 {
		pairs = append(pairs, [2]string{"gateways", "lists"}, [2]string{"gateways", "lists"}, [2]string{"backends", "list0"})
	}
	if s.Fleet.ListServices > 1 {
		pairs = append(pairs, [2]string{"lists", "list0"})
	}
	pair := pairs[random.IntN(len(pairs))]
	f.From, f.To = pair[0], pair[1]
	if f.From == "gateways" {
		f.From += " of " + s.Fleet.Zones[random.IntN(len(s.Fleet.Zones))]
	}
	from, _ := s.ParseActor(f.From)
	to, _ := s.ParseActor(f.To)
	can := onLinks[[2]ActorKind{from.Kind, to.Kind}]
	f.Effect = string(can[random.IntN(len(can))])
	if to.Kind == Gateways || to.Kind == Registries {
		f.Direction = []string{"both", "there", "back"}[random.IntN(3)]
	}
	switch link.Kind(f.Effect) {
	case link.Lost, link.Repeated, link.Reordered:
		f.Size = 0.05 + 0.5*random.Float64()
	case link.Cut:
		f.Size = float64(random.IntN(4000))
	case link.Slow:
		f.Size = float64(500 + random.IntN(5000))
	case link.Delayed:
		f.Delay, f.Jitter = Duration(time.Duration(20+random.IntN(500))*time.Millisecond), Duration(time.Duration(random.IntN(300))*time.Millisecond)
	}
	if random.IntN(4) == 0 {
		f.Flap = Duration(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
}
