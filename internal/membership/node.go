// Package membership detects which members of a fleet are present. It implements SWIM with
// suspicion, and Lifeguard's local health, by which a slow member judges others later.
// Node is a pure state machine; Agent runs it on datagrams.
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
	Start          int64   // when its process began, in Unix milliseconds; a later process replaces an earlier one
	Members        int     // size of the fleet; members are numbered from 0
	MaxReceiveRate float64 // datagrams a second that this node processes; more are dropped
}

// Parameters of the protocol. A node whose health is h stretches its intervals by the
// factor h+1.
const (
	Period       = 400 * time.Millisecond // one member is probed in each
	askWait      = 120 * time.Millisecond // time for the ack of a direct probe, before helpers probe indirectly
	askAgain     = 40 * time.Millisecond  // from then on, between two more direct pings
	helpers      = 3                      // members that are asked to probe indirectly
	mostHealth   = 8                      // the worst health
	suspectLeast = 4.0                    // shortest suspicion in periods, times the decimal logarithm of the fleet
	suspectMost  = 4.0                    // the longest, as a multiple of the shortest: without confirmations
	confirms     = 3                      // confirmations that make it the shortest
	carryFactor  = 3.0                    // how often an entry is sent, times the same logarithm
	denyFactor   = 3                      // as a multiple of that, for an entry that refutes a suspicion
	elsewhere    = 4                      // one period in so many probes a member that is not present
	warnings     = 3                      // limit of warnings to one suspect, and to all suspects in one period
	partOfOne    = 4                      // a sender may use this fraction, 1/partOfOne, of InPerS
	syncEvery    = 5                      // periods between two comparisons of views that are not known to differ
	partsAtOnce  = 3                      // parts of a view that are sent in answer to one comparison, at most
	floodPart    = 4                      // gossip beside the probes may use this fraction, 1/floodPart, of InPerS
)

// Member is what a node knows of one member.
type Member struct {
	Number      int
	State       State
	Incarnation uint32
	Start       int64         // of its process, in Unix milliseconds
	Since       time.Duration // when it came into its state
}

// Present reports whether the member counts as present. A suspect does, until its time-out.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Actions is what the caller has to do after a step.
type Actions struct {
	Send    []Outgoing
	Changed []Member // members whose state has changed
}

// Outgoing is a datagram to send.
type Outgoing struct {
	To   int
	Data []byte
}

// Stats are the counters of a node.
type Stats struct {
	Sent, Received, Dropped, Malformed, Stale int64 // datagrams
	SentBytes, ReceivedBytes                  int64
	Refuted, Suspected, DeclaredDead          int64
	Health                                    int // 0: best; see mostHealth
	Differing                                 int // present members whose last view differs from this node's
}

// member is the state of one member.
type member struct {
	Member
	by        int           // the member that suspected it first
	confirmed map[int]bool  // others that suspect it independently
	suspected time.Duration // when it was first suspected, in this incarnation
	until     time.Duration // a suspect is declared dead at this time
	warned    int           // how often it was warned of the suspicion
	digest    uint64        // digest of its view, as it sent last
	credit    float64       // token bucket of datagrams from it
	creditAt  time.Duration
	heard     bool          // whether its present process has been heard
	last      time.Duration // when it was heard last
}

// Node is the state machine of one member. It is not safe for concurrent use.
type Node struct {
	c           Config
	random      *rand.Rand
	members     []member
	incarnation uint32 // of this member
	left        bool
	superseded  bool // a later process has this member's number

	order    []int         // members still to probe in this round
	period   int           // number of the present period
	warned   int           // warnings sent in this period
	next     time.Duration // when the next period begins
	probe    *probe        // the probe under way, or nil
	relays   []relay
	sequence uint32        // of the last ping
	health   int           // 0: best; see mostHealth
	lastIn   time.Duration // when any member was heard last
	suspects int           // number of members that are suspect
	updates  []update      // entries that are still to be disseminated
	flood    time.Duration // when the next gossip beside the probes may be sent
	digest   uint64        // of the members present, over their hashes
	page     int           // first member of the next sums to send
	compared time.Duration // when views were last compared
	credit   float64       // token bucket of all datagrams
	creditAt time.Duration
	stats    Stats
	out      Actions
	now      time.Duration
	began    time.Duration
}

// New returns a node that knows no other member yet.
func New(c Config, now time.Duration, random *rand.Rand) *Node {
	n := &Node{c: c, random: random, members: make([]member, c.Members), now: now, began: now, creditAt: now, credit: c.MaxReceiveRate}
	for i := range n.members {
		n.members[i].Number, n.members[i].creditAt, n.members[i].credit = i, now, max(2, c.MaxReceiveRate/partOfOne)
	}
	me := &n.members[c.Self]
	me.State, me.Start, me.Since = Alive, c.Start, now
	n.digest = n.hash(me.Member)
	n.pass(n.entryOf(c.Self))
	n.next = now + time.Duration(random.Int64N(int64(Period)))
	return n
}

// scale is the factor by which dissemination in this fleet takes longer than among ten
// members.
func (n *Node) scale() float64 { return max(1, math.Log10(float64(n.c.Members))) }

// Members returns the view of this node, indexed by number.
func (n *Node) Members() []Member {
	all := make([]Member, len(n.members))
	for i := range n.members {
		all[i] = n.members[i].Member
	}
	return all
}

// Digest returns a hash of the members that this node holds to be present.
func (n *Node) Digest() uint64 { return n.digest }

// CountAgreeing counts the present members whose digest is known, and those among them whose
// digest equals this node's.
func (n *Node) CountAgreeing() (same, of int) {
	for i := range n.members {
		if m := &n.members[i]; i != n.c.Self && m.Present() && m.heard {
			of++
			if m.digest == n.digest {
				same++
			}
		}
	}
	return same, of
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	st := n.stats
	st.Health = n.health
	same, of := n.CountAgreeing()
	st.Differing = of - same
	return st
}

// Superseded reports whether a later process has taken this member's number.
func (n *Node) Superseded() bool { return n.superseded }

// Next returns when Tick has to be called next.
func (n *Node) Next() time.Duration {
	next := n.next
	if p := n.probe; p != nil {
		if !p.helped {
			next = min(next, p.asked+n.stretch(askWait))
		} else {
			next = min(next, p.again)
		}
		next = min(next, p.ends)
	}
	if n.much() {
		next = min(next, n.flood)
	}
	for _, r := range n.relays {
		next = min(next, r.until)
	}
	for i := 0; i < len(n.members) && n.suspects > 0; i++ {
		if n.members[i].State == Suspect {
			next = min(next, n.members[i].until)
		}
	}
	return next
}

// stretch lengthens an interval while this node is slow itself.
func (n *Node) stretch(d time.Duration) time.Duration { return d * time.Duration(n.health+1) }

// take returns the actions that have been collected.
func (n *Node) take() Actions {
	out := n.out
	n.out = Actions{}
	return out
}

// Tick does what is due at now.
func (n *Node) Tick(now time.Duration) Actions {
	n.now = now
	if n.left || n.superseded {
		n.next = now + time.Hour
		return n.take()
	}
	switch p := n.probe; {
	case p == nil:
	case !p.helped && now >= p.asked+n.stretch(askWait):
		n.askOthers(p)
	case p.helped && now >= p.again && now < p.ends:
		// With three in ten datagrams lost, two pings and three helpers fail one time in
		// nine, and with six more pings one time in 500. At the higher rate suspicions
		// would outrun their refutations.
		p.again += n.stretch(askAgain)
		n.sendBare(p.target, datagram{kind: ping, sequence: p.sequence, about: p.target}, n.word(p.target))
	}
	if p := n.probe; p != nil && now >= p.ends {
		n.unanswered(p)
	}
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool {
		if now < r.until {
			return false
		}
		n.send(r.for_, datagram{kind: nack, sequence: r.sequence, about: r.target}, nil)
		return true
	})
	for i := range n.members {
		switch m := &n.members[i]; {
		case m.State != Suspect:
		case now >= m.until:
			n.stats.DeclaredDead++
			n.become(i, Dead, m.Incarnation, m.Start)
		case n.warned < warnings && m.warned < warnings && now >= m.suspected+(m.until-m.suspected)*time.Duration(m.warned+1)/(warnings+1):
			// The suspect may have refuted the suspicion and reached all but this node.
			// The ping has it refute again.
			m.warned++
			n.warned++
			n.sequence++
			n.send(i, datagram{kind: ping, sequence: n.sequence, about: i}, n.word(i))
		}
	}
	if n.much() && now >= n.flood {
		n.gossip()
	}
	if now >= n.next {
		n.next = now + n.stretch(Period)
		n.period++
		n.warned = 0
		n.ask()
		if n.period%syncEvery == 0 {
			n.sync()
		}
	}
	return n.take()
}

// Leave announces to some members that this one leaves. Afterwards the node is silent.
func (n *Node) Leave(now time.Duration) Actions {
	n.now = now
	if n.left || n.superseded {
		return n.take()
	}
	n.become(n.c.Self, Left, n.incarnation, n.c.Start)
	tell := int(math.Ceil(carryFactor * n.scale()))
	told := map[int]bool{}
	for range tell {
		to := n.some(func(m *member) bool { return m.Present() && !told[m.Number] })
		if to < 0 {
			break
		}
		told[to] = true
		n.send(to, datagram{kind: gossip}, []entry{n.entryOf(n.c.Self)})
	}
	n.left = true
	return n.take()
}
