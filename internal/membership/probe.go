package membership

import "time"

// probe is the state of a direct and then indirect probe of one member.
type probe struct {
	target       int
	sequence     uint32
	startedAt    time.Duration // when the first ping was sent
	indirect     bool          // the indirect probe has begun
	nextPing     time.Duration // when the next direct ping is due
	awaitingNack []int         // helpers that have sent no nack
	deadline     time.Duration // when the probe fails
}

// relay is an indirect probe that this node carries out for another member.
type relay struct {
	requester         int           // the member that asked for the probe
	requesterSequence uint32        // sequence of the requester's probe
	target            int           // the member to probe
	pingSequence      uint32        // sequence of this node's ping
	deadline          time.Duration // when a nack is sent
}

// startProbe fails a probe that is still in progress and probes the next member.
func (n *Node) startProbe() {
	if n.probe != nil {
		n.failProbe(n.probe)
	}
	target := -1
	if n.period%absentProbePeriods == 0 {
		target = n.randomMember(func(m *member) bool { return !m.Present() && m.State != Left })
	}
	if target < 0 {
		target = n.nextInRound()
	}
	if target < 0 {
		if target = n.randomMember(func(m *member) bool { return m.State != Left }); target < 0 {
			return
		}
	}
	n.sequence++
	if n.members[target].Present() {
		n.probe = &probe{target: target, sequence: n.sequence, startedAt: n.now, deadline: n.nextPeriod}
	}
	n.send(target, datagram{kind: ping, sequence: n.sequence, subject: target}, n.entryToRefute(target))
}

// entryToRefute returns the entry of a member that is suspect or dead, so that the member can
// refute it, and otherwise nil.
func (n *Node) entryToRefute(target int) []entry {
	if m := &n.members[target]; m.State == Suspect || m.State == Dead {
		return []entry{n.entryOf(target)}
	}
	return nil
}

// nextInRound returns the next present member to probe, or -1. Each round of probes has a new
// random order.
func (n *Node) nextInRound() int {
	for range 2 {
		for len(n.probeOrder) > 0 {
			target := n.probeOrder[len(n.probeOrder)-1]
			n.probeOrder = n.probeOrder[:len(n.probeOrder)-1]
			if target != n.config.Self && n.members[target].Present() {
				return target
			}
		}
		for i := range n.members {
			if i != n.config.Self && n.members[i].Present() {
				n.probeOrder = append(n.probeOrder, i)
			}
		}
		n.random.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	}
	return -1
}

// randomMember returns the number of a random other member that is eligible, or -1.
func (n *Node) randomMember(eligible func(*member) bool) int {
	chosen, seen := -1, 0
	for i := range n.members {
		if i != n.config.Self && eligible(&n.members[i]) {
			if seen++; n.random.IntN(seen) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// probeIndirectly pings the target again and asks helpers to probe it.
func (n *Node) probeIndirectly(p *probe) {
	p.indirect, p.nextPing = true, n.now+n.stretch(pingRetryInterval)
	n.sendEntries(p.target, datagram{kind: ping, sequence: p.sequence, subject: p.target}, n.entryToRefute(p.target))
	asked := map[int]bool{p.target: true}
	for range indirectProbers {
		helper := n.randomMember(func(m *member) bool { return m.State == Alive && !asked[m.Number] })
		if helper < 0 {
			return
		}
		asked[helper] = true
		p.awaitingNack = append(p.awaitingNack, helper)
		n.send(helper, datagram{kind: pingRequest, sequence: p.sequence, subject: p.target}, nil)
	}
}

// failProbe ends a probe without an ack. The health of this node gets worse if it has received
// nothing since the start of the probe, and for each helper that it has received datagrams from
// but no nack. Helpers that sent nothing may be gone themselves: counting them would slow
// detection down when most of a fleet is gone.
func (n *Node) failProbe(p *probe) {
	n.probe = nil
	penalty := 0
	if n.receivedAt < p.startedAt {
		penalty++
	}
	for _, helper := range p.awaitingNack {
		if n.members[helper].receivedAt > p.startedAt {
			penalty++
		}
	}
	n.health = min(n.health+penalty, maxHealth)
	switch m := &n.members[p.target]; {
	case m.State == Alive:
		n.stats.Suspected++
		m.suspectedBy = n.config.Self
		n.setState(p.target, Suspect, m.Incarnation, m.Start)
	case m.State == Suspect && m.suspectedBy != n.config.Self:
		n.addConfirmation(m, n.config.Self)
	}
}
