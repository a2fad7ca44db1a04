package membership

import (
	"math"
	"time"
)

// become changes the state of a member and disseminates it.
func (n *Node) become(i int, s State, incarnation uint32, start int64) {
	m := &n.members[i]
	n.digest ^= n.hash(m.Member)
	changed := m.State != s || m.Start != start
	if changed {
		m.Since = n.now
	}
	if m.Start != start {
		m.heard = false
	}
	if m.State == Suspect {
		n.suspects--
	}
	m.State, m.Incarnation, m.Start = s, incarnation, start
	m.confirmed = nil
	if s == Suspect {
		n.suspects++
		m.confirmed, m.suspected, m.warned = map[int]bool{}, n.now, 0
		n.deadline(m)
	}
	n.digest ^= n.hash(m.Member)
	n.pass(n.entryOf(i))
	if changed {
		n.out.Changed = append(n.out.Changed, m.Member)
	}
}

// deadline sets when a suspect is declared dead: the sooner, the more members suspect it,
// and later if this node is slow itself.
func (n *Node) deadline(m *member) {
	least := time.Duration(suspectLeast * n.scale() * float64(Period))
	most := time.Duration(suspectMost * float64(least))
	of := math.Log(float64(len(m.confirmed)+1)) / math.Log(confirms+1)
	wait := most - time.Duration(of*float64(most-least))
	m.until = m.suspected + n.stretch(max(wait, least))
}

// newer reports whether an entry supersedes what is known of its member.
func newer(e entry, m *member) bool {
	switch {
	case e.start != m.Start || m.State == Unknown:
		return e.start > m.Start || m.State == Unknown
	case m.State == Left:
		return false // final for that process
	case e.state == Left:
		return true
	case e.incarnation != m.Incarnation:
		return e.incarnation > m.Incarnation
	}
	return e.state > m.State
}

// learn applies an entry if it is newer than what is known.
func (n *Node) learn(e entry) {
	if e.member == n.c.Self {
		n.aboutMe(e)
		return
	}
	m := &n.members[e.member]
	if newer(e, m) {
		m.by = e.by
		n.become(e.member, e.state, e.incarnation, e.start)
		return
	}
	if e.state == Suspect && m.State == Suspect && e.start == m.Start && e.incarnation == m.Incarnation && e.by != m.by {
		n.confirm(m, e.by)
	}
}

// confirm counts one more member that suspects a member independently, and disseminates it,
// which shortens the suspicion at others too.
func (n *Node) confirm(m *member, by int) {
	if m.confirmed[by] || len(m.confirmed) >= confirms {
		return
	}
	m.confirmed[by] = true
	n.deadline(m)
	e := n.entryOf(m.Number)
	e.by = by
	n.pass(e)
}

// aboutMe handles an entry about this node: it refutes a suspicion or a death by a higher
// incarnation.
func (n *Node) aboutMe(e entry) {
	switch {
	case e.start > n.c.Start:
		n.superseded = true
		n.out.Changed = append(n.out.Changed, Member{e.member, e.state, e.incarnation, e.start, n.now})
	case e.start < n.c.Start || e.state == Alive:
	default:
		if e.incarnation >= n.incarnation {
			n.incarnation = e.incarnation + 1
			n.stats.Refuted++
			n.health = min(n.health+1, mostHealth)
			n.members[n.c.Self].Incarnation = n.incarnation
		}
		// Sent again even if it was sent before, since it may have reached nobody.
		n.pass(n.entryOf(n.c.Self))
	}
}
