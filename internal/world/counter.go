package world

import "time"

// emulatedCounter keeps counts by name and serves calls in order of arrival.
type emulatedCounter struct {
	counts       map[string]*count
	freeAt       time.Duration // when it will have served all queued calls
	silentFaults int           // active faults under which it does not respond
	slowdown     float64       // factor on its service time; 0 counts as 1
	incarnation  int
}

type count struct{ value float64 }

const maxCountLifetime = time.Minute

func (em *Emulator) counterCalled(event Called) {
	connection := em.connections[event.Conn]
	if connection == nil || em.links[gatewayLink{connection.gateway, connection.peer}] != Up {
		return
	}
	em.Tally.Costs.CounterCalls++
	connection.idleSince = em.now
	counter := &em.counter
	serviceTime := time.Duration(1e9 / em.scenario.Counter.CallsPerS * max(em.counter.slowdown, 1))
	delay := em.scenario.Counter.Delay.Std()/2 + em.networkDelay(connection)
	counter.freeAt = max(counter.freeAt, em.now+delay) // after the call has crossed the network
	reply := CounterReply{Conn: connection.id, Status: 503}
	if counter.freeAt-em.now <= serviceTime*time.Duration(em.scenario.Counter.Queue) {
		counter.freeAt += serviceTime
		reply.Status = 200
	} else {
		em.Tally.Costs.RejectedCounterCalls++
	}
	incarnation := counter.incarnation
	em.schedule(counter.freeAt, func() {
		if counter.incarnation != incarnation {
			return // the counter has lost its state since, and the queued calls with it
		}
		if reply.Status == 200 {
			reply.Total = counter.add(em, event)
		}
		// Replies on a connection are in the order of the calls.
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

// clear drops all counts and the queued calls.
func (counter *emulatedCounter) clear() {
	counter.counts = map[string]*count{}
	counter.incarnation++
	counter.freeAt = 0
}
