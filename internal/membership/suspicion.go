package membership

import (
	"math"
	"time"
)

// setState changes the state of a member and queues it for dissemination.
func (n *Node) setState(number int, state State, incarnation uint32, start int64) {
	m := &n.members[number]
	n.digest ^= n.memberHash(m.Member)
	changed := m.State != state || m.Start != start
	if changed {
		m.Since = n.now
	}
	if m.Start != start {
		m.digestKnown = false
	}
	if m.State == Suspect {
		n.suspectCount--
	}
	m.State, m.Incarnation, m.Start = state, incarnation, start
	m.confirmations = nil
	if state == Suspect {
		n.suspectCount++
		m.confirmations, m.suspectedAt, m.warnings = map[int]bool{}, n.now, 0
		n.setSuspicionDeadline(m)
	}
	n.digest ^= n.memberHash(m.Member)
	n.enqueue(n.entryOf(number))
	if changed {
		n.actions.Changed = append(n.actions.Changed, m.Member)
	}
}

// setSuspicionDeadline sets when this node declares a suspect dead: sooner with more
// confirmations, later if the health of this node is bad.
func (n *Node) setSuspicionDeadline(m *member) {
	shortest := time.Duration(minSuspicionPeriods * n.logScale() * float64(Period))
	longest := time.Duration(maxSuspicionFactor * float64(shortest))
	confirmedFraction := math.Log(float64(len(m.confirmations)+1)) / math.Log(maxConfirmations+1)
	wait := longest - time.Duration(confirmedFraction*float64(longest-shortest))
	m.suspicionDeadline = m.suspectedAt + n.stretch(max(wait, shortest))
}

// supersedes reports whether an entry is newer than the state of its member.
func supersedes(e entry, m *member) bool {
	switch {
	case e.start != m.Start || m.State == Unknown:
		return e.start > m.Start || m.State == Unknown
	case m.State == Left:
		return false // a process that has left does not return
	case e.state == Left:
		return true
	case e.incarnation != m.Incarnation:
		return e.incarnation > m.Incarnation
	}
	return e.state > m.State
}

// applyEntry applies an entry that is newer than the state of its member, or counts it as a
// confirmation of a suspicion.
func (n *Node) applyEntry(e entry) {
	if e.member == n.config.Self {
		n.applyOwnEntry(e)
		return
	}
	m := &n.members[e.member]
	if supersedes(e, m) {
		m.suspectedBy = e.suspectedBy
		n.setState(e.member, e.state, e.incarnation, e.start)
		return
	}
	if e.state == Suspect && m.State == Suspect && e.start == m.Start && e.incarnation == m.Incarnation && e.suspectedBy != m.suspectedBy {
		n.addConfirmation(m, e.suspectedBy)
	}
}

// addConfirmation records another member that suspects m independently, and disseminates it, so
// that the suspicion ends sooner at other nodes too.
func (n *Node) addConfirmation(m *member, by int) {
	if m.confirmations[by] || len(m.confirmations) >= maxConfirmations {
		return
	}
	m.confirmations[by] = true
	n.setSuspicionDeadline(m)
	e := n.entryOf(m.Number)
	e.suspectedBy = by
	n.enqueue(e)
}

// applyOwnEntry handles an entry about this node. It refutes a suspicion or a declaration of death
// with a higher incarnation, and detects a later process with this node's number.
func (n *Node) applyOwnEntry(e entry) {
	switch {
	case e.start > n.config.Start:
		n.superseded = true
		n.actions.Changed = append(n.actions.Changed, Member{e.member, e.state, e.incarnation, e.start, n.now})
	case e.start < n.config.Start || e.state == Alive:
	default:
		if e.incarnation >= n.incarnation {
			n.incarnation = e.incarnation + 1
			n.stats.Refuted++
			n.health = min(n.health+1, maxHealth)
			n.members[n.config.Self].Incarnation = n.incarnation
		}
		// Send a refutation again even if it was sent before, since it may have been lost.
		n.enqueue(n.entryOf(n.config.Self))
	}
}
