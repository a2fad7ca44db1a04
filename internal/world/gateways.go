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

// emulatedGateway is the state of one gateway's process as the platform sees it.
type emulatedGateway struct {
	zone               int
	state              gatewayState
	hasProcess         bool          // a process exists
	restartPending     bool          // the next process starts once this one has ended
	startDelay         time.Duration // how long the next process is suspended at its start
	inRotation         bool          // the load balancer sends clients to it
	incarnation        int
	counterConnections int
	frozen             bool
}

// rotationDelay is how long the load balancer still sends requests to a gateway that was asked to stop.
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

// restartDelay is the time from the end of a process to the start of the next.
const restartDelay = 100 * time.Millisecond

// killGateway kills a gateway's process.
func (em *Emulator) killGateway(number int) {
	em.emit(Kill{number})
	em.markGatewayLost(number)
}

// markGatewayLost records that a gateway is down. The load balancer notices it later.
func (em *Emulator) markGatewayLost(number int) {
	gateway := &em.gateways[number]
	gateway.state = down
	gateway.incarnation++
	gateway.frozen = false
	em.Referee.Excuse(em.now, number)
	em.reportReachability()
	incarnation := gateway.incarnation
	em.after(em.scenario.Network.FailureDetection.Std(), func() {
		if gateway.incarnation == incarnation && gateway.state != up {
			gateway.inRotation = false
		}
	})
}

// loseMachine emulates the loss of a gateway's machine: its connections stay established without
// data until another process starts after duration.
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

// crashLoopGateway kills and restarts a gateway at each interval until end.
func (em *Emulator) crashLoopGateway(number int, interval time.Duration, end time.Duration) {
	if gateway := &em.gateways[number]; gateway.state == up || gateway.state == starting {
		em.killGateway(number)
		em.after(restartDelay, func() { em.startGateway(number) })
	}
	if next := em.now + restartDelay + interval; next < end {
		em.schedule(next, func() { em.crashLoopGateway(number, interval, end) })
	}
}

// restartSlowly kills a gateway and suspends its next process for delay at its start.
func (em *Emulator) restartSlowly(number int, delay time.Duration) {
	gateway := &em.gateways[number]
	em.killGateway(number)
	gateway.startDelay = delay
	em.after(restartDelay, func() { em.startGateway(number) })
}

// startGateway starts a gateway's next process once the previous one has ended.
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
	em.Referee.FaultEnded(em.now, number, true)
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

// stopGateway asks a gateway to stop, kills it if it does not, and restarts it.
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
			em.Referee.StopTimedOut(em.now, number)
			em.emit(Kill{number})
		}
	})
}

// freezeGateway suspends a gateway's process for duration.
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
			// Responses to requests that arrived during the suspension are late.
			em.after(em.scenario.Rules.ObservationSlack.Std(), func() {
				if gateway.incarnation == incarnation {
					em.Referee.FaultEnded(em.now, number, false)
				}
			})
		}
	})
}

// recordListLag records how long a backend's current state took to reach a gateway, when the
// gateway receives it first.
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
		em.Tally.RecordListDelay(em.now - backend.changedAt)
	}
}

// publishBackend sends a backend's entry to discovery. Without a service registry it also sends
// the gateways new lists; if the backend is lost, these follow after lossDetectionDelay.
func (em *Emulator) publishBackend(backend *emulatedBackend, lost bool) {
	backend.changedAt = em.now
	em.emit(Register{Entry: backend.entry(), Lost: lost})
	if em.scenario.Fleet.ListServices > 0 {
		return // the service registry informs the gateways
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

// sendLists sends every gateway the list, each with its own delay.
func (em *Emulator) sendLists() {
	for g := range em.gateways {
		delay := time.Duration(unitFraction(hash(em.scenario.Seed, uint64(em.now), uint64(g))) * float64(em.scenario.Network.ListDelay))
		em.after(delay, func() { em.emit(SendList{g, em.Entries()}) })
	}
}

// lossDetectionDelay is the time after which discovery removes a lost backend.
const lossDetectionDelay = 2 * time.Second

func (em *Emulator) listDelivered(event ListDelivered) {
	if event.Full {
		// A backend that a full list omits is gone.
		listed := map[int]bool{}
		for _, entry := range event.Entries {
			listed[entry.Backend] = true
		}
		for _, backend := range em.Referee.KnownBackends(event.Gateway) {
			if !listed[backend] {
				em.Referee.BackendStateReceived(em.now, event.Gateway, backend, referee.Gone, -1)
			}
		}
	}
	for _, entry := range event.Entries {
		em.recordListLag(event.Gateway, entry)
		em.Referee.BackendStateReceived(em.now, event.Gateway, entry.Backend, refereeStates[entry.Lifecycle], entry.Started)
	}
	em.Referee.ListReceived(em.now, event.Gateway, event.Version)
}

// refereeStates maps lifecycles to those of the referee.
var refereeStates = map[Lifecycle]referee.State{Serving: referee.Ready, Draining: referee.Draining, Gone: referee.Gone}
