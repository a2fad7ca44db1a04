package world

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunlintray/internal/referee"
	"dunlintray/internal/scenario"
)

// beginFault starts a fault and schedules its end.
func (em *Emulator) beginFault(fault *scenario.Fault) {
	text := fmt.Sprintf("%s for %v", fault.Kind, fault.For)
	if fault.Zone != "" {
		text += " in zone " + fault.Zone
	}
	atEnd := func(run func()) { em.after(fault.For.Std(), run) }
	switch fault.Kind {
	case "kill", "gone", "restart", "freeze", "slow_start", "crash_loop":
		if fault.Target != "" {
			em.applyToNamed(fault)
			return
		}
		targets := em.selectTargets(len(em.gateways), fault.Fraction, fault.Zone, em.Zone, func(g int) bool { return em.gateways[g].state == up })
		text += fmt.Sprintf(": gateways %d", targets)
		em.emit(Mark{text})
		em.applyToGateways(fault, targets)
		return
	case "crash", "vanish", "replace", "slow", "errors", "spoilt", "resets":
		targets := em.selectTargets(len(em.backends), fault.Fraction, fault.Zone, em.peerZone, func(b int) bool { return em.backends[b].state == running && !em.backends[b].draining })
		text += fmt.Sprintf(": backends %d", targets)
		em.emit(Mark{text})
		em.applyToBackends(fault, targets)
		return
	case "cut":
		em.cutZones([]int{slices.Index(em.scenario.Fleet.Zones, fault.Zone)}, fault.For.Std())
	case "apart":
		all := make([]int, len(em.scenario.Fleet.Zones))
		for z := range all {
			all[z] = z
		}
		em.cutZones(all, fault.For.Std())
	case "counter_silent":
		em.counter.silentFaults++
		em.reportReachability()
		em.Referee.CounterChanged(em.now, referee.CounterSilent)
		em.updateLinks()
		atEnd(func() {
			em.counter.silentFaults--
			em.reportReachability()
			em.counter.clear()
			em.Referee.CounterChanged(em.now, referee.CounterEmpty)
			em.updateLinks()
		})
	case "counter_empty":
		em.counter.clear()
		em.Referee.CounterChanged(em.now, referee.CounterEmpty)
	case "counter_slow":
		em.counter.slowdown = fault.Size
		em.Referee.CounterChanged(em.now, referee.CounterSlow)
		atEnd(func() {
			em.counter.slowdown = 0
			em.Referee.CounterChanged(em.now, referee.CounterAvailable)
		})
	case "list_late":
		em.pausedLists++
		em.updateListDelivery()
		em.reportReachability()
		atEnd(func() { em.pausedLists--; em.updateListDelivery(); em.reportReachability() })
	case "list_stale":
		em.staleLists++
		em.updateListDelivery()
		atEnd(func() { em.staleLists--; em.updateListDelivery() })
	case "writer_killed":
		em.applyToNamed(&scenario.Fault{Kind: "kill", For: fault.For, Target: "list0"})
		return
	case "link":
		em.emit(Mark{fmt.Sprintf("links from %s to %s, %s: %s for %v", fault.From, fault.To, cmp.Or(fault.Direction, "both"), fault.Effect, fault.For)})
		em.beginLinkFault(fault)
		return
	case "burst": // part of loadFactor
	case "rude":
		for g := range em.gateways {
			if int(fault.Size) > em.scenario.Fleet.Sockets/2 {
				em.Referee.ListenerSaturated(g, em.now+fault.For.Std())
			}
			em.emit(HoldConnections{Gateway: g, Connections: int(fault.Size), Duration: fault.For.Std()})
		}
	}
	em.emit(Mark{text})
}

// applyToGateways applies a fault of processes to the gateways given.
func (em *Emulator) applyToGateways(fault *scenario.Fault, targets []int) {
	for i, number := range targets {
		switch fault.Kind {
		case "kill":
			em.killGateway(number)
			em.after(fault.For.Std(), func() { em.startGateway(number) })
		case "freeze":
			em.freezeGateway(number, fault.For.Std())
		case "gone":
			em.loseMachine(number, fault.For.Std())
		case "slow_start":
			em.restartSlowly(number, fault.For.Std())
		case "crash_loop":
			em.crashLoopGateway(number, fault.Flap.Std(), em.now+fault.For.Std())
		case "restart": // a tenth at a time
			step := (i * 10 / len(targets))
			em.after(fault.For.Std()*time.Duration(step)/10, func() { em.stopGateway(number) })
		}
	}
}

// applyToNamed applies a fault to the gateways or service registries that it names.
func (em *Emulator) applyToNamed(fault *scenario.Fault) {
	actor, _ := em.scenario.ParseActor(fault.Target) // Check has parsed it
	em.emit(Mark{fmt.Sprintf("%s of %s for %v", fault.Kind, fault.Target, fault.For)})
	if actor.Kind == scenario.Gateways {
		var targets []int
		for g := range em.gateways {
			if em.matches(actor, Endpoint{actor.Kind, g}) && em.gateways[g].state == up {
				targets = append(targets, g)
			}
		}
		em.applyToGateways(fault, targets)
		return
	}
	for registry := range em.scenario.Fleet.ListServices {
		if !em.matches(actor, Endpoint{actor.Kind, registry}) || em.faultyRegistries[registry] {
			continue
		}
		em.faultyRegistries[registry] = true
		em.reportReachability()
		restored := func() {
			delete(em.faultyRegistries, registry)
			em.reportReachability()
		}
		switch fault.Kind {
		case "kill":
			em.emit(KillRegistry{registry})
		case "restart":
			em.emit(StopRegistry{registry})
		case "slow_start":
			em.emit(KillRegistry{registry})
			em.after(restartDelay, func() { em.emit(StartRegistry{registry}); em.emit(FreezeRegistry{registry}) })
		case "crash_loop":
			em.crashLoopRegistry(registry, fault.Flap.Std(), em.now+fault.For.Std(), restored)
			continue
		default:
			em.emit(FreezeRegistry{registry})
		}
		em.after(fault.For.Std(), func() {
			restored()
			switch fault.Kind {
			case "freeze", "slow_start":
				em.emit(ThawRegistry{registry})
				return
			case "gone": // until now its connections stayed established without data
				em.emit(KillRegistry{registry})
			}
			em.emit(StartRegistry{registry})
		})
	}
}

// crashLoopRegistry kills and restarts a service registry at each interval until end, and then
// calls done.
func (em *Emulator) crashLoopRegistry(registry int, interval, end time.Duration, done func()) {
	em.emit(KillRegistry{registry})
	em.after(restartDelay, func() {
		em.emit(StartRegistry{registry})
		if em.now+interval >= end {
			done()
			return
		}
		em.after(interval, func() { em.crashLoopRegistry(registry, interval, end, done) })
	})
}

// applyToBackends applies a fault to the backends given.
func (em *Emulator) applyToBackends(fault *scenario.Fault, targets []int) {
	for i, number := range targets {
		backend := em.backends[number]
		var setting *float64
		switch fault.Kind {
		case "crash":
			em.crashBackend(backend)
			em.publishBackend(backend, true)
			em.after(fault.For.Std(), func() { em.restartBackend(backend) })
		case "vanish":
			backend.state = vanished
			em.discardWork(backend)
			em.updateLinks()
			em.publishBackend(backend, true)
			em.after(fault.For.Std(), func() { em.restartBackend(backend) })
		case "replace":
			em.after(fault.For.Std()*time.Duration(i)/time.Duration(len(targets)), func() { em.replaceBackend(backend) })
		case "slow":
			setting = &backend.slowdown
		case "errors":
			setting = &backend.errorRate
		case "spoilt":
			setting = &backend.truncationRate
		case "resets":
			setting = &backend.resetRate
		}
		if setting != nil {
			*setting = fault.Size
			em.after(fault.For.Std(), func() { *setting = 0 })
		}
	}
}

// replaceBackend drains a backend and adds another in its place.
func (em *Emulator) replaceBackend(backend *emulatedBackend) {
	if backend.state != running || backend.draining {
		return
	}
	backend.draining = true
	backend.drainingSince = em.now
	em.publishBackend(backend, false)
	replacement := em.addBackend(em.now)
	replacement.updatedAt = em.now
	em.publishBackend(replacement, false)
	maxDeadline := time.Duration(0)
	for _, class := range em.scenario.Classes {
		maxDeadline = max(maxDeadline, class.Deadline.Std())
	}
	em.after(maxDeadline+em.scenario.Rules.DrainGrace.Std()+2*em.scenario.Network.ListDelay.Std()+time.Second, func() {
		backend.state = ended
		backend.listed = false
		em.discardWork(backend)
		em.updateLinks()
		entry := backend.entry()
		entry.Lifecycle = Gone
		em.emit(Register{Entry: entry})
		if em.scenario.Fleet.ListServices == 0 {
			em.sendLists()
		}
	})
}

// updateListDelivery tells the driver which lists reach each gateway. The service registries are
// in the first zone.
func (em *Emulator) updateListDelivery() {
	for number, gateway := range em.gateways {
		paused := em.pausedLists > 0 || gateway.zone != 0 && (em.zoneCuts[gateway.zone] > 0 || em.zoneCuts[0] > 0)
		em.emit(SetListDelivery{Gateway: number, Paused: paused, Stale: em.staleLists > 0})
	}
}
