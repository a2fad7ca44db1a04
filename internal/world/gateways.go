package world

import (
	"fmt"
	"time"

	"dunlintray/internal/referee"
)

type gatewayState int

const (
	starting gatewayState = iota
	up
	stopping
	down
)

// gateway is one process as the platform sees it.
type emulatedGateway struct {
	zone               int
	state              gatewayState
	hasProcess         bool          // there is one
	restartPending     bool          // another is to be started once it has ended
	startDelay         time.Duration // for so long it is to stand still at its start
	inRotation         bool          // the front sends clients to it
	incarnation        int
	counterConnections int // connections to the counter
	frozen             bool
}

// stopSends is how long a front still sends to a gateway that was told to end.
const rotationDelay = 300 * time.Millisecond

func (em *Emulator) gatewayReady(number int) {
	gateway := &em.gateways[number]
	if gateway.state == starting {
		gateway.state = up
		gateway.inRotation = true
		em.reportReachability()
	}
}

func (em *Emulator) gatewayExited(event Exited) {
	gateway := &em.gateways[event.Gateway]
	gateway.hasProcess = false
	defer em.reportReachability()
	switch gateway.state {
	case up, starting:
		em.Referee.Crashed(em.now, event.Gateway, event.Cause)
		em.emit(Mark{fmt.Sprintf("gateway n%d ended: %s", event.Gateway, event.Cause)})
		gateway.inRotation = false
		gateway.state = down
		return
	case stopping:
		gateway.state = down
		gateway.restartPending = true
	}
	if incarnation := gateway.incarnation; gateway.restartPending {
		em.after(restartDelay, func() {
			if gateway.incarnation == incarnation {
				em.startGateway(event.Gateway)
			}
		})
	}
}

// bootAfter is how long after its end a gateway's next process is started.
const restartDelay = 100 * time.Millisecond

// kill ends a gateway's process at once.
func (em *Emulator) killGateway(number int) {
	em.emit(Kill{number})
	em.markGatewayLost(number)
}

// lose takes note that a gateway is gone, which the front sees late.
func (em *Emulator) markGatewayLost(number int) {
	gateway := &em.gateways[number]
	gateway.state = down
	gateway.incarnation++
	gateway.frozen = false
	em.Referee.Excuse(em.now, number)
	em.reportReachability()
	incarnation := gateway.incarnation
	em.after(em.scenario.Network.Notice.D(), func() {
		if gateway.incarnation == incarnation && gateway.state != up {
			gateway.inRotation = false
		}
	})
}

// vanish takes a gateway's machine away: the process says nothing, and what is
// connected to it stands, until another is started.
func (em *Emulator) loseMachine(number int, duration time.Duration) {
	gateway := &em.gateways[number]
	if gateway.state != up {
		return
	}
	em.emit(Freeze{number})
	em.markGatewayLost(number)
	incarnation := gateway.incarnation
	em.after(duration, func() {
		if gateway.incarnation == incarnation {
			em.emit(Kill{number})
			em.startGateway(number)
		}
	})
}

// loop kills a gateway each life, until a moment.
func (em *Emulator) crashLoopGateway(number int, interval time.Duration, end time.Duration) {
	if gateway := &em.gateways[number]; gateway.state == up || gateway.state == starting {
		em.killGateway(number)
		em.after(restartDelay, func() { em.startGateway(number) })
	}
	if next := em.now + restartDelay + interval; next < end {
		em.schedule(next, func() { em.crashLoopGateway(number, interval, end) })
	}
}

// startSlowly kills a gateway, and lets its next process stand still at its start.
func (em *Emulator) restartSlowly(number int, delay time.Duration) {
	gateway := &em.gateways[number]
	em.killGateway(number)
	gateway.startDelay = delay
	em.after(restartDelay, func() { em.startGateway(number) })
}

// boot starts its next process, once the last has ended.
func (em *Emulator) startGateway(number int) {
	gateway := &em.gateways[number]
	if gateway.state != down {
		return
	}
	if gateway.restartPending = gateway.hasProcess; gateway.restartPending {
		return
	}
	gateway.incarnation++
	gateway.state = starting
	gateway.hasProcess, gateway.frozen = true, false
	em.Referee.Back(em.now, number, true)
	em.emit(Start{number})
	if delay := gateway.startDelay; delay > 0 {
		gateway.startDelay = 0
		em.emit(Freeze{number})
		incarnation := gateway.incarnation
		em.after(delay, func() {
			if gateway.incarnation == incarnation {
				em.emit(Thaw{number})
			}
		})
	}
}

// stop tells a gateway to end, and starts it again when it has, or has been made
// to.
func (em *Emulator) stopGateway(number int) {
	gateway := &em.gateways[number]
	if gateway.state != up {
		return
	}
	gateway.state = stopping
	gateway.incarnation++
	incarnation := gateway.incarnation
	em.Referee.Stopping(em.now, number)
	em.reportReachability()
	em.emit(Stop{number})
	em.after(rotationDelay, func() {
		if gateway.incarnation == incarnation {
			gateway.inRotation = false
		}
	})
	em.after(em.scenario.KillAfter(), func() {
		if gateway.incarnation == incarnation && gateway.state == stopping {
			em.Referee.Hung(em.now, number)
			em.emit(Kill{number})
		}
	})
}

func (em *Emulator) freezeGateway(number int, duration time.Duration) {
	gateway := &em.gateways[number]
	if gateway.state != up {
		return
	}
	incarnation := gateway.incarnation
	em.Referee.Excuse(em.now, number)
	em.emit(Freeze{number})
	gateway.frozen = true
	em.reportReachability()
	em.after(duration, func() {
		if gateway.incarnation == incarnation {
			em.emit(Thaw{number})
			gateway.frozen = false
			em.reportReachability()
			// What was on its way while it stood still is answered late.
			em.after(em.scenario.Rules.Observe.D(), func() {
				if gateway.incarnation == incarnation {
					em.Referee.Back(em.now, number, false)
				}
			})
		}
	})
}

// heardOf measures how long after it began a gateway is told of what a backend does
// now.
func (em *Emulator) recordListLag(gateway int, entry Entry) {
	if entry.Backend >= len(em.backends) {
		return
	}
	backend, key := em.backends[entry.Backend], gatewayLink{gateway, entry.Backend}
	previous, known := em.delivered[key]
	em.delivered[key] = entry
	equal := func(a, b time.Duration) bool { return a-b <= time.Millisecond && b-a <= time.Millisecond }
	if backend.changedAt > 0 && entry.Lifecycle == backend.entry().Lifecycle && equal(entry.Started, backend.startedAt) &&
		(!known || previous.Lifecycle != entry.Lifecycle || !equal(previous.Started, entry.Started)) {
		em.Tally.Heard(em.now - backend.changedAt)
	}
}

// list tells discovery of a backend, and gateways late.
func (em *Emulator) publishBackend(backend *emulatedBackend, lost bool) {
	backend.changedAt = em.now
	em.emit(Register{Entry: backend.entry(), Lost: lost})
	if em.scenario.Fleet.ListServices > 0 {
		return // they tell it
	}
	if !lost {
		em.sendLists()
		return
	}
	incarnation := backend.incarnation
	em.after(lossDetectionDelay, func() {
		if backend.incarnation == incarnation {
			backend.listed = false
			em.sendLists()
		}
	})
}

// tell every gateway the list, each with its own delay.
func (em *Emulator) sendLists() {
	for g := range em.gateways {
		delay := time.Duration(unitFraction(hash(em.scenario.Seed, uint64(em.now), uint64(g))) * float64(em.scenario.Network.ListDelay))
		em.after(delay, func() { em.emit(SendList{g, em.Entries()}) })
	}
}

// lostAfter is when a discovery finds out by itself that a backend is gone.
const lossDetectionDelay = 2 * time.Second

func (em *Emulator) listDelivered(event ListDelivered) {
	if event.Full {
		// What the list leaves out is gone.
		listed := map[int]bool{}
		for _, entry := range event.Entries {
			listed[entry.Backend] = true
		}
		for _, b := range em.Referee.Named(event.Gateway) {
			if !listed[b] {
				em.Referee.Told(em.now, event.Gateway, b, referee.Gone, -1)
			}
		}
	}
	for _, entry := range event.Entries {
		em.recordListLag(event.Gateway, entry)
		em.Referee.Told(em.now, event.Gateway, entry.Backend, refereeStates[entry.Lifecycle], entry.Started)
	}
	em.Referee.Version(em.now, event.Gateway, event.Version)
}

// states are the lifecycles as the referee has them.
var refereeStates = map[Lifecycle]referee.State{Serving: referee.Ready, Draining: referee.Draining, Gone: referee.Gone}
