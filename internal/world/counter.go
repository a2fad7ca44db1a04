package world

import "time"

// counter keeps numbers by name, and serves calls in turn.
type counter struct {
	names  map[string]*number
	free   time.Duration // when it has served all that wait
	silent int           // faults under which it says nothing
	slow   float64       // times its usual time for a call; 0: 1
	lives  int
}

type number struct{ value float64 }

// mostLife is how long a number is kept at most.
const mostLife = time.Minute

func (w *Emulator) called(e Called) {
	c := w.conns[e.Conn]
	if c == nil || w.links[edge{c.gateway, c.peer}] != Up {
		return
	}
	w.Tally.Costs.Calls++
	c.idle = w.now
	n := &w.counter
	each := time.Duration(1e9 / w.s.Counter.CallsPerS * max(w.counter.slow, 1))
	delay := w.s.Counter.Delay.D()/2 + w.delay(c)
	n.free = max(n.free, w.now+delay) // the call's way there
	answer := CounterReply{Conn: c.id, Status: 503}
	if n.free-w.now <= each*time.Duration(w.s.Counter.Queue) {
		n.free += each
		answer.Status = 200
	} else {
		w.Tally.Costs.CallsTurned++
	}
	lives := n.lives
	w.at(n.free, func() {
		if n.lives != lives {
			return // it was lost with all that waited
		}
		if answer.Status == 200 {
			answer.Total = n.add(w, e)
		}
		// Answers on a connection come in the order of the calls.
		c.last = max(c.last, w.now+delay)
		w.at(c.last, func() {
			if w.conns[c.id] == c && w.links[edge{c.gateway, c.peer}] == Up {
				w.do(answer)
				w.rests(c)
			}
		})
	})
}

func (n *counter) add(w *Emulator, e Called) float64 {
	kept := n.names[e.Name]
	if kept == nil {
		kept = &number{}
		n.names[e.Name] = kept
		w.after(min(max(e.Lifetime, time.Millisecond), mostLife), func() {
			if n.names[e.Name] == kept {
				delete(n.names, e.Name)
			}
		})
	}
	kept.value += e.Add
	return kept.value
}

// empty loses all numbers.
func (n *counter) empty() {
	n.names = map[string]*number{}
	n.lives++
	n.free = 0
}
