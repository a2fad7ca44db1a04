package world

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

// strike begins a fault, and plans its end.
func (w *Emulator) strike(f *scenario.Fault) {
	text := fmt.Sprintf("%s for %v", f.Kind, f.For)
	if f.Zone != "" {
		text += " in zone " + f.Zone
	}
	end := func(do func()) { w.after(f.For.D(), do) }
	switch f.Kind {
	case "kill", "gone", "restart", "freeze", "slow_start", "crash_loop":
		if f.Who != "" {
			w.onWhom(f)
			return
		}
		struck := w.struck(len(w.gateways), f.Part, f.Zone, w.Zone, func(g int) bool { return w.gateways[g].state == up })
		text += fmt.Sprintf(": gateways %d", struck)
		w.do(Mark{text})
		w.onGateways(f, struck)
		return
	case "crash", "vanish", "replace", "slow", "errors", "spoilt", "resets":
		struck := w.struck(len(w.backends), f.Part, f.Zone, w.zoneOf, func(b int) bool { return w.backends[b].state == running && !w.backends[b].draining })
		text += fmt.Sprintf(": backends %d", struck)
		w.do(Mark{text})
		w.onBackends(f, struck)
		return
	case "cut":
		w.cut([]int{slices.Index(w.s.Fleet.Zones, f.Zone)}, f.For.D())
	case "apart":
		all := make([]int, len(w.s.Fleet.Zones))
		for z := range all {
			all[z] = z
		}
		w.cut(all, f.For.D())
	case "counter_silent":
		w.counter.silent++
		w.ground()
		w.Referee.Counter(w.now, referee.CounterSilent)
		w.relink()
		end(func() {
			w.counter.silent--
			w.ground()
			w.counter.empty()
			w.Referee.Counter(w.now, referee.CounterEmpty)
			w.relink()
		})
	case "counter_empty":
		w.counter.empty()
		w.Referee.Counter(w.now, referee.CounterEmpty)
	case "counter_slow":
		w.counter.slow = f.Size
		w.Referee.Counter(w.now, referee.CounterSlow)
		end(func() {
			w.counter.slow = 0
			w.Referee.Counter(w.now, referee.CounterUp)
		})
	case "list_late":
		w.hushed++
		w.lists()
		w.ground()
		end(func() { w.hushed--; w.lists(); w.ground() })
	case "list_stale":
		w.stale++
		w.lists()
		end(func() { w.stale--; w.lists() })
	case "writer_killed":
		w.onWhom(&scenario.Fault{Kind: "kill", For: f.For, Who: "list0"})
		return
	case "link":
		w.do(Mark{fmt.Sprintf("links from %s to %s, %s: %s for %v", f.From, f.To, cmp.Or(f.Way, "both"), f.How, f.For)})
		w.breakLink(f)
		return
	case "burst": // in load
	case "rude":
		for g := range w.gateways {
			if int(f.Size) > w.s.Fleet.Sockets/2 {
				w.Referee.Crowded(g, w.now+f.For.D())
			}
			w.do(HoldConnections{Gateway: g, Connections: int(f.Size), Duration: f.For.D()})
		}
	}
	w.do(Mark{text})
}

func (w *Emulator) onGateways(f *scenario.Fault, struck []int) {
	for i, g := range struck {
		switch f.Kind {
		case "kill":
			w.kill(g)
			w.after(f.For.D(), func() { w.boot(g) })
		case "freeze":
			w.freeze(g, f.For.D())
		case "gone":
			w.vanish(g, f.For.D())
		case "slow_start":
			w.startSlowly(g, f.For.D())
		case "crash_loop":
			w.loop(g, f.Flap.D(), w.now+f.For.D())
		case "restart": // a tenth at a time
			step := (i * 10 / len(struck))
			w.after(f.For.D()*time.Duration(step)/10, func() { w.stop(g) })
		}
	}
}

// onWhom strikes the processes that a fault names.
func (w *Emulator) onWhom(f *scenario.Fault) {
	who, _ := w.s.ParseActor(f.Who) // Check has read it
	w.do(Mark{fmt.Sprintf("%s of %s for %v", f.Kind, f.Who, f.For)})
	if who.Kind == scenario.Gateways {
		var struck []int
		for g := range w.gateways {
			if w.has(who, Endpoint{who.Kind, g}) && w.gateways[g].state == up {
				struck = append(struck, g)
			}
		}
		w.onGateways(f, struck)
		return
	}
	for k := range w.s.Fleet.ListServices {
		if !w.has(who, Endpoint{who.Kind, k}) || w.struckServices[k] {
			continue
		}
		w.struckServices[k] = true
		w.ground()
		back := func() {
			delete(w.struckServices, k)
			w.ground()
		}
		switch f.Kind {
		case "kill":
			w.do(KillService{k})
		case "restart":
			w.do(StopService{k})
		case "slow_start":
			w.do(KillService{k})
			w.after(bootAfter, func() { w.do(StartService{k}); w.do(FreezeService{k}) })
		case "crash_loop":
			w.serviceLoop(k, f.Flap.D(), w.now+f.For.D(), back)
			continue
		default:
			w.do(FreezeService{k})
		}
		w.after(f.For.D(), func() {
			back()
			switch f.Kind {
			case "freeze", "slow_start":
				w.do(ThawService{k})
				return
			case "gone": // its connections have stood till now, in silence
				w.do(KillService{k})
			}
			w.do(StartService{k})
		})
	}
}

// serviceLoop kills a list service each life until a moment, starts it again each
// time, and says when it is over.
func (w *Emulator) serviceLoop(k int, life, end time.Duration, over func()) {
	w.do(KillService{k})
	w.after(bootAfter, func() {
		w.do(StartService{k})
		if w.now+life >= end {
			over()
			return
		}
		w.after(life, func() { w.serviceLoop(k, life, end, over) })
	})
}

func (w *Emulator) onBackends(f *scenario.Fault, struck []int) {
	for i, n := range struck {
		b := w.backends[n]
		var trouble *float64
		switch f.Kind {
		case "crash":
			w.crash(b)
			w.list(b, true)
			w.after(f.For.D(), func() { w.start(b) })
		case "vanish":
			b.state = vanished
			w.stopped(b)
			w.relink()
			w.list(b, true)
			w.after(f.For.D(), func() { w.start(b) })
		case "replace":
			w.after(f.For.D()*time.Duration(i)/time.Duration(len(struck)), func() { w.replace(b) })
		case "slow":
			trouble = &b.slow
		case "errors":
			trouble = &b.errors
		case "spoilt":
			trouble = &b.spoilt
		case "resets":
			trouble = &b.resets
		}
		if trouble != nil {
			*trouble = f.Size
			w.after(f.For.D(), func() { *trouble = 0 })
		}
	}
}

// replace drains a backend, and brings another in its place.
func (w *Emulator) replace(b *backend) {
	if b.state != running || b.draining {
		return
	}
	b.draining = true
	b.drainAt = w.now
	w.list(b, false)
	next := w.add(w.now)
	next.asOf = w.now
	w.list(next, false)
	longest := time.Duration(0)
	for _, c := range w.s.Classes {
		longest = max(longest, c.Deadline.D())
	}
	w.after(longest+w.s.Rules.DrainGrace.D()+2*w.s.Network.ListDelay.D()+time.Second, func() {
		b.state = ended
		b.listed = false
		w.stopped(b)
		w.relink()
		e := b.entry()
		e.Lifecycle = Gone
		w.do(Register{Entry: e})
		if w.s.Fleet.ListServices == 0 {
			w.tell()
		}
	})
}

// lists tells the driver what each gateway can hear of lists. They stand in the
// first zone.
func (w *Emulator) lists() {
	for n, g := range w.gateways {
		held := w.hushed > 0 || g.zone != 0 && (w.cuts[g.zone] > 0 || w.cuts[0] > 0)
		w.do(SetListDelivery{Gateway: n, Paused: held, Stale: w.stale > 0})
	}
}
