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
func (w *Emulator) beginFault(f *scenario.Fault) {
	text := fmt.Sprintf("%s for %v", f.Kind, f.For)
	if f.Zone != "" {
		text += " in zone " + f.Zone
	}
	end := func(do func()) { w.after(f.For.D(), do) }
	switch f.Kind {
	case "kill", "gone", "restart", "freeze", "slow_start", "crash_loop":
		if f.Who != "" {
			w.applyToNamed(f)
			return
		}
		struck := w.selectTargets(len(w.gateways), f.Part, f.Zone, w.Zone, func(g int) bool { return w.gateways[g].state == up })
		text += fmt.Sprintf(": gateways %d", struck)
		w.emit(Mark{text})
		w.applyToGateways(f, struck)
		return
	case "crash", "vanish", "replace", "slow", "errors", "spoilt", "resets":
		struck := w.selectTargets(len(w.backends), f.Part, f.Zone, w.peerZone, func(b int) bool { return w.backends[b].state == running && !w.backends[b].draining })
		text += fmt.Sprintf(": backends %d", struck)
		w.emit(Mark{text})
		w.applyToBackends(f, struck)
		return
	case "cut":
		w.cutZones([]int{slices.Index(w.scenario.Fleet.Zones, f.Zone)}, f.For.D())
	case "apart":
		all := make([]int, len(w.scenario.Fleet.Zones))
		for z := range all {
			all[z] = z
		}
		w.cutZones(all, f.For.D())
	case "counter_silent":
		w.counter.silentFaults++
		w.reportReachability()
		w.Referee.Counter(w.now, referee.CounterSilent)
		w.updateLinks()
		end(func() {
			w.counter.silentFaults--
			w.reportReachability()
			w.counter.clear()
			w.Referee.Counter(w.now, referee.CounterEmpty)
			w.updateLinks()
		})
	case "counter_empty":
		w.counter.clear()
		w.Referee.Counter(w.now, referee.CounterEmpty)
	case "counter_slow":
		w.counter.slowdown = f.Size
		w.Referee.Counter(w.now, referee.CounterSlow)
		end(func() {
			w.counter.slowdown = 0
			w.Referee.Counter(w.now, referee.CounterUp)
		})
	case "list_late":
		w.pausedLists++
		w.updateListDelivery()
		w.reportReachability()
		end(func() { w.pausedLists--; w.updateListDelivery(); w.reportReachability() })
	case "list_stale":
		w.staleLists++
		w.updateListDelivery()
		end(func() { w.staleLists--; w.updateListDelivery() })
	case "writer_killed":
		w.applyToNamed(&scenario.Fault{Kind: "kill", For: f.For, Who: "list0"})
		return
	case "link":
		w.emit(Mark{fmt.Sprintf("links from %s to %s, %s: %s for %v", f.From, f.To, cmp.Or(f.Way, "both"), f.How, f.For)})
		w.beginLinkFault(f)
		return
	case "burst": // in load
	case "rude":
		for g := range w.gateways {
			if int(f.Size) > w.scenario.Fleet.Sockets/2 {
				w.Referee.Crowded(g, w.now+f.For.D())
			}
			w.emit(HoldConnections{Gateway: g, Connections: int(f.Size), Duration: f.For.D()})
		}
	}
	w.emit(Mark{text})
}

func (w *Emulator) applyToGateways(f *scenario.Fault, struck []int) {
	for i, g := range struck {
		switch f.Kind {
		case "kill":
			w.killGateway(g)
			w.after(f.For.D(), func() { w.startGateway(g) })
		case "freeze":
			w.freezeGateway(g, f.For.D())
		case "gone":
			w.loseMachine(g, f.For.D())
		case "slow_start":
			w.restartSlowly(g, f.For.D())
		case "crash_loop":
			w.crashLoopGateway(g, f.Flap.D(), w.now+f.For.D())
		case "restart": // a tenth at a time
			step := (i * 10 / len(struck))
			w.after(f.For.D()*time.Duration(step)/10, func() { w.stopGateway(g) })
		}
	}
}

// onWhom strikes the processes that a fault names.
func (w *Emulator) applyToNamed(f *scenario.Fault) {
	who, _ := w.scenario.ParseActor(f.Who) // Check has read it
	w.emit(Mark{fmt.Sprintf("%s of %s for %v", f.Kind, f.Who, f.For)})
	if who.Kind == scenario.Gateways {
		var struck []int
		for g := range w.gateways {
			if w.matches(who, Endpoint{who.Kind, g}) && w.gateways[g].state == up {
				struck = append(struck, g)
			}
		}
		w.applyToGateways(f, struck)
		return
	}
	for k := range w.scenario.Fleet.ListServices {
		if !w.matches(who, Endpoint{who.Kind, k}) || w.faultyServices[k] {
			continue
		}
		w.faultyServices[k] = true
		w.reportReachability()
		back := func() {
			delete(w.faultyServices, k)
			w.reportReachability()
		}
		switch f.Kind {
		case "kill":
			w.emit(KillService{k})
		case "restart":
			w.emit(StopService{k})
		case "slow_start":
			w.emit(KillService{k})
			w.after(restartDelay, func() { w.emit(StartService{k}); w.emit(FreezeService{k}) })
		case "crash_loop":
			w.crashLoopService(k, f.Flap.D(), w.now+f.For.D(), back)
			continue
		default:
			w.emit(FreezeService{k})
		}
		w.after(f.For.D(), func() {
			back()
			switch f.Kind {
			case "freeze", "slow_start":
				w.emit(ThawService{k})
				return
			case "gone": // its connections have stood till now, in silence
				w.emit(KillService{k})
			}
			w.emit(StartService{k})
		})
	}
}

// serviceLoop kills a list service each life until a moment, starts it again each
// time, and says when it is over.
func (w *Emulator) crashLoopService(k int, life, end time.Duration, over func()) {
	w.emit(KillService{k})
	w.after(restartDelay, func() {
		w.emit(StartService{k})
		if w.now+life >= end {
			over()
			return
		}
		w.after(life, func() { w.crashLoopService(k, life, end, over) })
	})
}

func (w *Emulator) applyToBackends(f *scenario.Fault, struck []int) {
	for i, n := range struck {
		b := w.backends[n]
		var trouble *float64
		switch f.Kind {
		case "crash":
			w.crashBackend(b)
			w.publishBackend(b, true)
			w.after(f.For.D(), func() { w.restartBackend(b) })
		case "vanish":
			b.state = vanished
			w.discardWork(b)
			w.updateLinks()
			w.publishBackend(b, true)
			w.after(f.For.D(), func() { w.restartBackend(b) })
		case "replace":
			w.after(f.For.D()*time.Duration(i)/time.Duration(len(struck)), func() { w.replaceBackend(b) })
		case "slow":
			trouble = &b.slowdown
		case "errors":
			trouble = &b.errorRate
		case "spoilt":
			trouble = &b.truncationRate
		case "resets":
			trouble = &b.resetRate
		}
		if trouble != nil {
			*trouble = f.Size
			w.after(f.For.D(), func() { *trouble = 0 })
		}
	}
}

// replace drains a backend, and brings another in its place.
func (w *Emulator) replaceBackend(b *backend) {
	if b.state != running || b.draining {
		return
	}
	b.draining = true
	b.drainingSince = w.now
	w.publishBackend(b, false)
	next := w.addBackend(w.now)
	next.updatedAt = w.now
	w.publishBackend(next, false)
	longest := time.Duration(0)
	for _, c := range w.scenario.Classes {
		longest = max(longest, c.Deadline.D())
	}
	w.after(longest+w.scenario.Rules.DrainGrace.D()+2*w.scenario.Network.ListDelay.D()+time.Second, func() {
		b.state = ended
		b.listed = false
		w.discardWork(b)
		w.updateLinks()
		e := b.entry()
		e.Lifecycle = Gone
		w.emit(Register{Entry: e})
		if w.scenario.Fleet.ListServices == 0 {
			w.sendLists()
		}
	})
}

// lists tells the driver what each gateway can hear of lists. They stand in the
// first zone.
func (w *Emulator) updateListDelivery() {
	for n, g := range w.gateways {
		held := w.pausedLists > 0 || g.zone != 0 && (w.zoneCuts[g.zone] > 0 || w.zoneCuts[0] > 0)
		w.emit(SetListDelivery{Gateway: n, Paused: held, Stale: w.staleLists > 0})
	}
}
