// Package membership detects which members of a fleet are present. It implements SWIM with
// suspicion, and Lifeguard's local health, by which a slow member waits longer for the others.
// Node is a state machine without I/O; Agent runs it over UDP.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is the configuration of a node.
type Config struct {
	Self           int     // this member's number
	Start          int64   // start of its process in Unix milliseconds; a later process replaces an earlier one
	Members        int     // size of the fleet; members are numbered from 0
	MaxReceiveRate float64 // datagrams per second that this node processes; it drops more
}

// Parameters of the protocol. A node whose health is h stretches its intervals by the
// factor h+1. logScale is the decimal logarithm of the size of the fleet, at least 1.
const (
	// Period is the protocol period: a node probes one member in each.
	Period = 400 * time.Millisecond

	directProbeTimeout  = 120 * time.Millisecond // until the indirect probe begins
	pingRetryInterval   = 40 * time.Millisecond  // between direct pings during the indirect probe
	indirectProbers     = 3                      // helpers of one indirect probe
	maxHealth           = 8                      // the worst health
	minSuspicionPeriods = 4.0                    // shortest suspicion, in periods times logScale
	maxSuspicionFactor  = 4.0                    // longest suspicion, as a multiple of the shortest
	maxConfirmations    = 3                      // confirmations after which the suspicion is the shortest
	retransmitFactor    = 3.0                    // transmissions of an update, times logScale
	refutationFactor    = 3                      // multiplies the transmissions of a refutation
	absentProbePeriods  = 4                      // one of so many periods probes a member that is not present
	maxWarnings         = 3                      // to one suspect, and to all suspects in one period
	senderRateDivisor   = 4                      // one sender may use MaxReceiveRate divided by this
	syncPeriods         = 5                      // periods between two comparisons of views
	maxPartsPerAnswer   = 3                      // parts of a view in answer to one comparison
	gossipRateDivisor   = 4                      // gossip may use MaxReceiveRate divided by this
)

// Member is a node's state of one member.
type Member struct {
	Number      int
	State       State
	Incarnation uint32
	Start       int64         // start of its process in Unix milliseconds
	Since       time.Duration // when it entered its state
}

// Present reports whether the member is alive or suspect.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Actions is the output of one step of a Node, which the caller carries out.
type Actions struct {
	Send    []Outgoing
	Changed []Member // members whose state or process has changed
}

// Outgoing is a datagram to send.
type Outgoing struct {
	To   int // number of the receiver
	Data []byte
}

// Stats are the counters and gauges of a node.
type Stats struct {
	Sent, Received, Dropped, Malformed, Stale int64 // datagrams; Stale: from an earlier process of their sender
	SentBytes, ReceivedBytes                  int64
	Refuted, Suspected, DeclaredDead          int64 // refutations of this node; suspicions and declarations of death by it
	Health                                    int   // from 0, the best, to 8
	Differing                                 int   // present members whose latest digest differs from this node's
}

// member is a node's state of one member, with its suspicion and its token bucket.
type member struct {
	Member
	suspectedBy       int           // the first member that suspected it
	confirmations     map[int]bool  // other members that suspect it independently
	suspectedAt       time.Duration // start of the suspicion, in this incarnation
	suspicionDeadline time.Duration // when this node declares a suspect dead
	warnings          int           // pings that warned it of the suspicion
	digest            uint64        // latest digest of its view
	tokens            float64       // token bucket of datagrams from it
	tokensAt          time.Duration // when tokens was updated
	digestKnown       bool          // its current process has sent a digest
	receivedAt        time.Duration // when its latest datagram arrived
}

// Node is the state machine of one member. It is not safe for concurrent use.
type Node struct {
	config      Config
	random      *rand.Rand
	members     []member
	incarnation uint32 // of this member
	left        bool   // Leave has been called
	superseded  bool   // a later process has this member's number

	probeOrder    []int         // members still to probe in this round
	period        int           // number of the current period
	warningsSent  int           // in this period
	nextPeriod    time.Duration // when the next period begins
	probe         *probe        // the probe in progress, or nil
	relays        []relay
	sequence      uint32        // of the last ping
	health        int           // from 0, the best, to maxHealth
	receivedAt    time.Duration // when the latest datagram of any member arrived
	suspectCount  int           // members that are suspect
	updates       []update      // entries to disseminate
	nextGossip    time.Duration // when the next gossip may be sent
	digest        uint64        // exclusive or of the hashes of the present members
	nextSumMember int           // first member of the next sums to send
	comparedAt    time.Duration // when this node last sent sums
	tokens        float64       // token bucket of all datagrams
	tokensAt      time.Duration // when tokens was updated
	stats         Stats
	actions       Actions
	now           time.Duration
	startedAt     time.Duration
}

// New returns a node that knows no other member yet. The clock of now may begin at any value.
func New(config Config, now time.Duration, random *rand.Rand) *Node {
	n := &Node{config: config, random: random, members: make([]member, config.Members), now: now, startedAt: now, tokensAt: now, tokens: config.MaxReceiveRate}
	for i := range n.members {
		n.members[i].Number, n.members[i].tokensAt, n.members[i].tokens = i, now, max(2, config.MaxReceiveRate/senderRateDivisor)
	}
	self := &n.members[config.Self]
	self.State, self.Start, self.Since = Alive, config.Start, now
	n.digest = n.memberHash(self.Member)
	n.enqueue(n.entryOf(config.Self))
	n.nextPeriod = now + time.Duration(random.Int64N(int64(Period)))
	return n
}

// logScale returns the factor by which dissemination takes longer in this fleet than among ten
// members.
func (n *Node) logScale() float64 { return max(1, math.Log10(float64(n.config.Members))) }

// Members returns a copy of this node's view, indexed by number.
func (n *Node) Members() []Member {
	all := make([]Member, len(n.members))
	for i := range n.members {
		all[i] = n.members[i].Member
	}
	return all
}

// Digest returns a hash of the members that this node considers present. Nodes with equal views
// have equal digests.
func (n *Node) Digest() uint64 { return n.digest }

// CountAgreeing counts the other present members whose digest is known (reporting) and those
// among them whose digest equals this node's (agreeing).
func (n *Node) CountAgreeing() (agreeing, reporting int) {
	for i := range n.members {
		if m := &n.members[i]; i != n.config.Self && m.Present() && m.digestKnown {
			reporting++
			if m.digest == n.digest {
				agreeing++
			}
		}
	}
	return agreeing, reporting
}

// Stats returns the current statistics.
func (n *Node) Stats() Stats {
	stats := n.stats
	stats.Health = n.health
	agreeing, reporting := n.CountAgreeing()
	stats.Differing = reporting - agreeing
	return stats
}

// Superseded reports whether a later process has taken this member's number.
func (n *Node) Superseded() bool { return n.superseded }

// Next returns when Tick has to be called next.
func (n *Node) Next() time.Duration {
	next := n.nextPeriod
	if p := n.probe; p != nil {
		if !p.indirect {
			next = min(next, p.startedAt+n.stretch(directProbeTimeout))
		} else {
			next = min(next, p.nextPing)
		}
		next = min(next, p.deadline)
	}
	if n.hasBacklog() {
		next = min(next, n.nextGossip)
	}
	for _, r := range n.relays {
		next = min(next, r.deadline)
	}
	for i := 0; i < len(n.members) && n.suspectCount > 0; i++ {
		if n.members[i].State == Suspect {
			next = min(next, n.members[i].suspicionDeadline)
		}
	}
	return next
}

// stretch lengthens an interval by the health of this node.
func (n *Node) stretch(d time.Duration) time.Duration { return d * time.Duration(n.health+1) }

// takeActions returns the actions of this step and clears them.
func (n *Node) takeActions() Actions {
	actions := n.actions
	n.actions = Actions{}
	return actions
}

// Tick performs the steps that are due at now.
func (n *Node) Tick(now time.Duration) Actions {
	n.now = now
	if n.left || n.superseded {
		n.nextPeriod = now + time.Hour
		return n.takeActions()
	}
	switch p := n.probe; {
	case p == nil:
	case !p.indirect && now >= p.startedAt+n.stretch(directProbeTimeout):
		n.probeIndirectly(p)
	case p.indirect && now >= p.nextPing && now < p.deadline:
		// With three in ten datagrams lost, two pings and three helpers fail one time in nine,
		// with six more pings one time in 500. At the higher rate suspicions would spread
		// faster than their refutations.
		p.nextPing += n.stretch(pingRetryInterval)
		n.sendEntries(p.target, datagram{kind: ping, sequence: p.sequence, subject: p.target}, n.entryToRefute(p.target))
	}
	if p := n.probe; p != nil && now >= p.deadline {
		n.failProbe(p)
	}
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool {
		if now < r.deadline {
			return false
		}
		n.send(r.requester, datagram{kind: nack, sequence: r.requesterSequence, subject: r.target}, nil)
		return true
	})
	for i := range n.members {
		switch m := &n.members[i]; {
		case m.State != Suspect:
		case now >= m.suspicionDeadline:
			n.stats.DeclaredDead++
			n.setState(i, Dead, m.Incarnation, m.Start)
		case n.warningsSent < maxWarnings && m.warnings < maxWarnings && now >= m.suspectedAt+(m.suspicionDeadline-m.suspectedAt)*time.Duration(m.warnings+1)/(maxWarnings+1):
			// The refutation of the suspect may not have reached this node. The ping makes
			// the suspect refute again.
			m.warnings++
			n.warningsSent++
			n.sequence++
			n.send(i, datagram{kind: ping, sequence: n.sequence, subject: i}, n.entryToRefute(i))
		}
	}
	if n.hasBacklog() && now >= n.nextGossip {
		n.gossip()
	}
	if now >= n.nextPeriod {
		n.nextPeriod = now + n.stretch(Period)
		n.period++
		n.warningsSent = 0
		n.startProbe()
		if n.period%syncPeriods == 0 {
			n.sync()
		}
	}
	return n.takeActions()
}

// Leave announces to some members that this one leaves. The node sends nothing afterwards.
func (n *Node) Leave(now time.Duration) Actions {
	n.now = now
	if n.left || n.superseded {
		return n.takeActions()
	}
	n.setState(n.config.Self, Left, n.incarnation, n.config.Start)
	recipients := int(math.Ceil(retransmitFactor * n.logScale()))
	notified := map[int]bool{}
	for range recipients {
		to := n.randomMember(func(m *member) bool { return m.Present() && !notified[m.Number] })
		if to < 0 {
			break
		}
		notified[to] = true
		n.send(to, datagram{kind: gossip}, []entry{n.entryOf(n.config.Self)})
	}
	n.left = true
	return n.takeActions()
}
