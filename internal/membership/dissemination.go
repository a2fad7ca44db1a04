package membership

import (
	"math"
	"slices"
	"time"
)

// update is an entry that is being disseminated.
type update struct {
	entry
	transmissions int
}

// isRefutation reports whether the update refutes a suspicion. A lost refutation leads to a false
// declaration of death; a lost suspicion delays detection by some seconds.
func (u update) isRefutation() bool { return u.state == Alive && u.incarnation > 0 }

// hasBacklog reports whether more updates are pending than one datagram carries, as when many
// members join or leave at once. Probes alone would take minutes to disseminate them.
func (n *Node) hasBacklog() bool { return !n.left && !n.superseded && len(n.updates) > maxEntries }

// gossip sends updates to a random member that is alive. Its rate is at most MaxReceiveRate
// divided by gossipRateDivisor.
func (n *Node) gossip() {
	n.nextGossip = n.now + time.Duration(gossipRateDivisor/n.config.MaxReceiveRate*float64(time.Second))
	if to := n.randomMember(func(m *member) bool { return m.State == Alive }); to >= 0 {
		n.send(to, datagram{kind: gossip}, nil)
	}
}

// send sends a datagram with the given entries first, and then as many pending updates as
// fit.
func (n *Node) send(to int, d datagram, entries []entry) {
	maxTransmissions := int(math.Ceil(retransmitFactor * n.logScale()))
	var carried []int
	for sent := 0; sent < refutationFactor*maxTransmissions && len(entries) < maxEntries; sent++ { // least transmitted first
		for i := range n.updates {
			if n.updates[i].transmissions == sent && len(entries) < maxEntries {
				entries = append(entries, n.updates[i].entry)
				carried = append(carried, i)
			}
		}
	}
	for _, i := range carried {
		n.updates[i].transmissions++
	}
	n.updates = slices.DeleteFunc(n.updates, func(u update) bool {
		return u.transmissions >= maxTransmissions && (u.transmissions >= refutationFactor*maxTransmissions || !u.isRefutation())
	})
	n.sendEntries(to, d, entries)
}

// sendEntries sends a datagram with the given entries and no pending updates. It serves parts of
// views, and datagrams to members that may be dead, which should use up no transmission.
func (n *Node) sendEntries(to int, d datagram, entries []entry) {
	d.from, d.start, d.digest, d.entries = n.config.Self, n.config.Start, n.digest, entries
	data := d.encode()
	n.stats.Sent++
	n.stats.SentBytes += int64(len(data))
	n.actions.Send = append(n.actions.Send, Outgoing{to, data})
}

// enqueue queues an entry for dissemination and removes older entries of its member.
func (n *Node) enqueue(e entry) {
	n.updates = slices.DeleteFunc(n.updates, func(u update) bool { return u.member == e.member })
	n.updates = append(n.updates, update{entry: e})
}

// entryOf returns an entry with this node's state of a member.
func (n *Node) entryOf(i int) entry {
	m := &n.members[i]
	return entry{i, m.State, m.Incarnation, m.Start, m.suspectedBy}
}
