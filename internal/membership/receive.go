package membership

import (
	"slices"
	"time"
)

// Receive processes a datagram that came from a member's address.
func (n *Node) Receive(now time.Duration, from int, data []byte) Actions {
	n.now = now
	n.credit = min(n.c.MaxReceiveRate, n.credit+n.c.MaxReceiveRate*(now-n.creditAt).Seconds())
	n.creditAt = now
	if from < 0 || from >= len(n.members) || n.credit < 1 {
		n.stats.Dropped++
		return n.take()
	}
	// A sender has a bucket of its own, so that a flood by one member hides no other.
	s := &n.members[from]
	most := max(2, n.c.MaxReceiveRate/partOfOne)
	s.credit = min(most, s.credit+most*(now-s.creditAt).Seconds())
	if s.creditAt = now; s.credit < 1 {
		n.stats.Dropped++
		return n.take()
	}
	s.credit--
	n.credit--
	n.stats.Received++
	n.stats.ReceivedBytes += int64(len(data))
	d, err := decode(data, n.c.Members)
	if err != nil || d.from != from || from == n.c.Self || !n.plausible(d) {
		n.stats.Malformed++
		return n.take()
	}
	if n.left || n.superseded {
		return n.take()
	}
	m := &n.members[from]
	if d.start < m.Start {
		// The datagram is of an earlier process, delayed or still running, which has to know.
		n.stats.Stale++
		n.send(from, datagram{kind: gossip}, []entry{n.entryOf(from)})
		return n.take()
	}
	for _, e := range d.entries {
		n.learn(e)
	}
	if n.superseded {
		return n.take()
	}
	if m.Start != d.start && !(m.State == Left && m.Start >= d.start) {
		n.become(from, Alive, 0, d.start) // a member that sends is alive
	}
	m.digest, m.heard, m.last, n.lastIn = d.digest, true, n.now, n.now
	n.answer(from, d)
	// If no update is pending here, dissemination alone would never make differing views
	// equal.
	if d.digest != n.digest && len(n.updates) == 0 && n.now-n.compared >= n.stretch(Period) {
		n.compare(from)
	}
	return n.take()
}

// plausible reports whether all process starts in a datagram can be true. One from the far
// future would exclude its member for good.
func (n *Node) plausible(d datagram) bool {
	const skew = time.Hour // between the clocks of two machines
	latest := n.c.Start + (n.now - n.began + skew).Milliseconds()
	return d.start <= latest && !slices.ContainsFunc(d.entries, func(e entry) bool { return e.start > latest })
}

// answer handles a datagram by its kind.
func (n *Node) answer(from int, d datagram) {
	switch d.kind {
	case ping:
		if d.about == n.c.Self {
			n.send(from, datagram{kind: ack, sequence: d.sequence, about: n.c.Self}, n.word(from))
		}
	case pingFor:
		if len(n.relays) >= n.c.Members || d.about == n.c.Self {
			return
		}
		n.sequence++
		n.relays = append(n.relays, relay{from, d.sequence, d.about, n.sequence, n.now + askWait})
		n.send(d.about, datagram{kind: ping, sequence: n.sequence, about: d.about}, n.word(d.about))
	case ack:
		if p := n.probe; p != nil && p.sequence == d.sequence && d.about == p.target {
			n.probe = nil
			n.health = max(n.health-1, 0)
			return
		}
		n.relays = slices.DeleteFunc(n.relays, func(r relay) bool {
			if r.own != d.sequence || r.target != from {
				return false
			}
			n.send(r.for_, datagram{kind: ack, sequence: r.sequence, about: from}, nil)
			return true
		})
	case nack:
		if p := n.probe; p != nil && p.sequence == d.sequence && d.about == p.target {
			p.silent = slices.DeleteFunc(p.silent, func(h int) bool { return h == from })
		}
	case sums:
		sent := 0
		for i, s := range d.sums {
			first := d.about + i*mostCarry
			if first >= n.c.Members || sent == partsAtOnce {
				break
			}
			if s != n.sum(first) {
				sent++
				n.sendBare(from, datagram{kind: part, about: first}, n.partOf(first))
			}
		}
	case part:
		// The entries that the sender lacks or has older go back in one datagram.
		var back []entry
		for _, e := range d.entries {
			if m := &n.members[e.member]; m.State != Unknown && newer(n.entryOf(e.member), &member{Member: Member{e.member, e.state, e.incarnation, e.start, 0}}) {
				back = append(back, n.entryOf(e.member))
			}
		}
		if len(back) > 0 {
			n.send(from, datagram{kind: gossip}, back)
		}
	}
}
