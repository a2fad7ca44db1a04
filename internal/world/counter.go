package world

import "time"

// counter keeps numbers by name, and serves calls in turn.
type counter struct {
	counts       map[string]*count
	freeAt       time.Duration // when it has served all that wait
	silentFaults int           // faults under which it says nothing
	slowdown     float64       // times its usual time for a call; 0: 1
	incarnation  int
}

type count struct{ value float64 }

// mostLife is how long a number is kept at most.
const maxCountLifetime = time.Minute

func (w *Emulator) counterCalled(e Called) {
	c := w.connections[e.Conn]
	if c == nil || w.links[gatewayLink{c.gateway, c.peer}] != Up {
		return
	}
	w.Tally.Costs.Calls++
	c.idleSince = w.now
	n := &w.counter
	each := time.Duration(1e9 / w.scenario.Counter.CallsPerS * max(w.counter.slowdown, 1))
	delay := w.scenario.Counter.Delay.D()/2 + w.networkDelay(c)
	n.freeAt = max(n.freeAt, w.now+delay) // the call's way there
	answer := CounterReply{Conn: c.id, Status: 503}
	if n.freeAt-w.now <= each*time.Duration(w.scenario.Counter.Queue) {
		n.freeAt += each
		answer.Status = 200
	} else {
		w.Tally.Costs.CallsTurned++
	}
	lives := n.incarnation
	w.schedule(n.freeAt, func() {
		if n.incarnation != lives {
			return // it was lost with all that waited
		}
		if answer.Status == 200 {
			answer.Total = n.add(w, e)
		}
		// Answers on a connection come in the order of the calls.
		c.lastReply = max(c.lastReply, w.now+delay)
		w.schedule(c.lastReply, func() {
			if w.connections[c.id] == c && w.links[gatewayLink{c.gateway, c.peer}] == Up {
				w.emit(answer)
				w.markIdle(c)
			}
		})
	})
}

func (n *counter) add(w *Emulator, e Called) float64 {
	kept := n.counts[e.Name]
	if kept == nil {
		kept = &count{}
		n.counts[e.Name] = kept
		w.after(min(max(e.Lifetime, time.Millisecond), maxCountLifetime), func() {
			if n.counts[e.Name] == kept {
				delete(n.counts, e.Name)
			}
		})
	}
	kept.value += e.Add
	return kept.value
}

// empty loses all numbers.
func (n *counter) clear() {
	n.counts = map[string]*count{}
	n.incarnation++
	n.freeAt = 0
}
