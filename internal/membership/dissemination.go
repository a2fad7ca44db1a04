package membership

import (
	"math"
	"slices"
	"time"
)

// update is an entry that is being disseminated.
type update struct {
	entry
	sent int // how often
}

// denial reports whether the update refutes a suspicion. Losing a refutation costs a false
// death; losing a suspicion costs some seconds.
func (u update) denial() bool { return u.state == Alive && u.incarnation > 0 }

// much reports whether more updates are pending than one datagram carries, as when many
// members join or leave at once. With probes alone they would take minutes.
func (n *Node) much() bool { return !n.left && !n.superseded && len(n.updates) > mostCarry }

// gossip sends updates to a random member that is alive, at a rate within 1/floodPart of
// InPerS.
func (n *Node) gossip() {
	n.flood = n.now + time.Duration(floodPart/n.c.MaxReceiveRate*float64(time.Second))
	if to := n.some(func(m *member) bool { return m.State == Alive }); to >= 0 {
		n.send(to, datagram{kind: gossip}, nil)
	}
}

// send sends a datagram with the given entries first, and then as many pending updates as
// fit.
func (n *Node) send(to int, d datagram, first []entry) {
	most := int(math.Ceil(carryFactor * n.scale()))
	var carried []int
	for sent := 0; sent < denyFactor*most && len(first) < mostCarry; sent++ { // those sent the least often first
		for i := range n.updates {
			if n.updates[i].sent == sent && len(first) < mostCarry {
				first = append(first, n.updates[i].entry)
				carried = append(carried, i)
			}
		}
	}
	for _, i := range carried {
		n.updates[i].sent++
	}
	n.updates = slices.DeleteFunc(n.updates, func(u update) bool { return u.sent >= most && (u.sent >= denyFactor*most || !u.denial()) })
	n.sendBare(to, d, first)
}

// sendBare sends a datagram with the given entries alone: parts of views, and datagrams to
// members that may be gone, so that no update is spent on them.
func (n *Node) sendBare(to int, d datagram, entries []entry) {
	d.from, d.start, d.digest, d.entries = n.c.Self, n.c.Start, n.digest, entries
	data := d.encode()
	n.stats.Sent++
	n.stats.SentBytes += int64(len(data))
	n.out.Send = append(n.out.Send, Outgoing{to, data})
}

// pass queues an entry for dissemination, in place of older ones of its member.
func (n *Node) pass(e entry) {
	n.updates = slices.DeleteFunc(n.updates, func(u update) bool { return u.member == e.member })
	n.updates = append(n.updates, update{entry: e})
}

// entryOf returns the entry for what this node knows of a member.
func (n *Node) entryOf(i int) entry {
	m := &n.members[i]
	return entry{i, m.State, m.Incarnation, m.Start, m.by}
}
