package world

import "time"

// counter keeps numbers by name, and serves calls in turn.
type emulatedCounter struct {
	counts       map[string]*count
	freeAt       time.Duration // when it has served all that wait
	silentFaults int           // faults under which it says nothing
	slowdown     float64       // times its usual time for a call; 0: 1
	incarnation  int
}

type count struct{ value float64 }

// mostLife is how long a number is kept at most.
const maxCountLifetime = time.Minute

func (em *Emulator) counterCalled(event Called) {
	connection := em.connections[event.Conn]
	if connection == nil || em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
		return
	}
	em.Tally.Costs.Calls++
	connection.idleSince = em.now
	counter := &em.counter
	serviceTime := time.Duration(1e9 / em.scenario.Counter.CallsPerS * max(em.counter.slowdown, 1))
	delay := em.scenario.Counter.Delay.D()/2 + em.networkDelay(connection)
	counter.freeAt = max(counter.freeAt, em.now+delay) // the call's way there
	reply := CounterReply{Conn: connection.id, Status: 503}
	if counter.freeAt-em.now <= serviceTime*time.Duration(em.scenario.Counter.Queue) {
		counter.freeAt += serviceTime
		reply.Status = 200
	} else {
		em.Tally.Costs.CallsTurned++
	}
	incarnation := counter.incarnation
	em.schedule(counter.freeAt, func() {
		if counter.incarnation != incarnation {
			return // it was lost with all that waited
		}
		if reply.Status == 200 {
			reply.Total = counter.add(em, event)
		}
		// Answers on a connection come in the order of the calls.
		connection.lastReply = max(connection.lastReply, em.now+delay)
		em.schedule(connection.lastReply, func() {
			if em.connections[connection.id] == connection && em.links[gatewayLink{connection.gateway, connection.peer}] == Up {
				em.emit(reply)
				em.markIdle(connection)
			}
		})
	})
}

func (counter *emulatedCounter) add(em *Emulator, event Called) float64 {
	stored := counter.counts[event.Name]
	if stored == nil {
		stored = &count{}
		counter.counts[event.Name] = stored
		em.after(min(max(event.Lifetime, time.Millisecond), maxCountLifetime), func() {
			if counter.counts[event.Name] == stored {
				delete(counter.counts, event.Name)
			}
		})
	}
	stored.value += event.Add
	return stored.value
}

// empty loses all numbers.
func (counter *emulatedCounter) clear() {
	counter.counts = map[string]*count{}
	counter.incarnation++
	counter.freeAt = 0
}
