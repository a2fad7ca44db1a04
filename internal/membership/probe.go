package membership

import "time"

// probe is the probe of one member in one period.
type probe struct {
	target   int
	sequence uint32
	asked    time.Duration // when the first ping was sent
	helped   bool          // helpers were asked
	again    time.Duration // when the next direct ping is due
	silent   []int         // helpers that have not sent a nack
	ends     time.Duration // when the probe fails
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	for_     int           // who asked for it
	sequence uint32        // of that member's probe
	target   int           // who is probed
	own      uint32        // sequence of this node's ping
	until    time.Duration // when a nack is sent
}

// ask probes the next member.
func (n *Node) ask() {
	if n.probe != nil {
		n.unanswered(n.probe)
	}
	target := -1
	if n.period%elsewhere == 0 {
		target = n.some(func(m *member) bool { return !m.Present() && m.State != Left })
	}
	if target < 0 {
		target = n.inTurn()
	}
	if target < 0 {
		if target = n.some(func(m *member) bool { return m.State != Left }); target < 0 {
			return
		}
	}
	n.sequence++
	if n.members[target].Present() {
		n.probe = &probe{target: target, sequence: n.sequence, asked: n.now, ends: n.next}
	}
	n.send(target, datagram{kind: ping, sequence: n.sequence, about: target}, n.word(target))
}

// word returns what goes with a ping: the entry of a member that is suspect or dead, so that
// it can refute it.
func (n *Node) word(target int) []entry {
	if m := &n.members[target]; m.State == Suspect || m.State == Dead {
		return []entry{n.entryOf(target)}
	}
	return nil
}

// inTurn returns the next present member of this round, or -1. Each round has a new random
// order.
func (n *Node) inTurn() int {
	for range 2 {
		for len(n.order) > 0 {
			target := n.order[len(n.order)-1]
			n.order = n.order[:len(n.order)-1]
			if target != n.c.Self && n.members[target].Present() {
				return target
			}
		}
		for i := range n.members {
			if i != n.c.Self && n.members[i].Present() {
				n.order = append(n.order, i)
			}
		}
		n.random.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	return -1
}

// some returns a random other member that fits, or -1.
func (n *Node) some(fit func(*member) bool) int {
	chosen, seen := -1, 0
	for i := range n.members {
		if i != n.c.Self && fit(&n.members[i]) {
			if seen++; n.random.IntN(seen) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// askOthers pings the target again and asks helpers to probe it indirectly.
func (n *Node) askOthers(p *probe) {
	p.helped, p.again = true, n.now+n.stretch(askAgain)
	n.sendBare(p.target, datagram{kind: ping, sequence: p.sequence, about: p.target}, n.word(p.target))
	asked := map[int]bool{p.target: true}
	for range helpers {
		h := n.some(func(m *member) bool { return m.State == Alive && !asked[m.Number] })
		if h < 0 {
			return
		}
		asked[h] = true
		p.silent = append(p.silent, h)
		n.send(h, datagram{kind: pingFor, sequence: p.sequence, about: p.target}, nil)
	}
}

// unanswered ends a probe without an ack. The fault may be this node's own if it has heard
// nobody since, or if helpers were heard but sent no nack: then its health gets worse.
// Helpers that were not heard at all may be gone themselves. Counting them against this
// node would slow detection down when most of a fleet is gone.
func (n *Node) unanswered(p *probe) {
	n.probe = nil
	worse := 0
	if n.lastIn < p.asked {
		worse++
	}
	for _, h := range p.silent {
		if n.members[h].last > p.asked {
			worse++
		}
	}
	n.health = min(n.health+worse, mostHealth)
	switch m := &n.members[p.target]; {
	case m.State == Alive:
		n.stats.Suspected++
		m.by = n.c.Self
		n.become(p.target, Suspect, m.Incarnation, m.Start)
	case m.State == Suspect && m.by != n.c.Self:
		n.confirm(m, n.c.Self)
	}
}
