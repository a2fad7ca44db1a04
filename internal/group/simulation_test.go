package group

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlintray/internal/ledger"
	"dunlintray/internal/linear"
)

// memory is a disk whose power can be cut: what was appended stays.
type memory struct {
	records  [][]byte
	last     uint64
	appended int // since the snapshot
	defect   string
	fail     bool
}

func (m *memory) Append(records [][]byte) (uint64, error) {
	if m.fail {
		return 0, fmt.Errorf("no room")
	}
	for _, r := range records {
		m.last++
		if m.defect == "votes are not kept" && r[0] == kindHardState && m.last > 10 {
			continue
		}
		m.records = append(m.records, append([]byte(nil), r...))
		m.appended++
	}
	return m.last, nil
}

func (m *memory) SnapshotDue() bool { return m.appended > 300 }

func (m *memory) LastSequence() uint64 { return m.last }

func (m *memory) Snapshot(_ uint64, records func(func([]byte) error) error) error {
	var all [][]byte
	err := records(func(r []byte) error { all = append(all, append([]byte(nil), r...)); return nil })
	m.records, m.appended = all, 0
	return err
}

// simulated is one member in a simulation.
type simulated struct {
	disk  *memory
	core  *core // nil: it is down
	state *ledger.State
	book  *memberTable
	gone  bool              // it was taken out
	reads map[uint64]uint64 // confirmed at, by key
}

// call is one that a client has under way.
type call struct {
	member  int
	key     uint64
	command ledger.Command
	get     bool
	current bool
	began   int64
	until   int64 // then the client asks elsewhere
}

type client struct {
	n       int
	request uint64
	known   map[string]known // by name, of the last read
	call    *call
}

type known struct {
	version uint64
	value   string
}

type simulation struct {
	t        *testing.T
	random   *rand.Rand
	defect   string
	members  []*simulated
	founders int
	changed  int // times that the members were
	wires    []*raftpb.Message
	cut      func(a, b uint64) bool
	now      int64
	key      uint64
	clients  []*client
	history  []porcupine.Operation
	done     int
	unknown  int
	closing  bool // no new calls
}

const callSteps = 400

func (s *simulation) start(n int) {
	m := s.members[n]
	r := &recoveredState{}
	for _, text := range m.disk.records {
		if err := r.addRecord(text); err != nil {
			s.t.Fatal(err)
		}
	}
	founding := map[uint64]Member{}
	for _, v := range voters(s.founders) {
		founding[v] = Member{Address: fmt.Sprint(v)}
	}
	m.state, m.book = ledger.New(ledger.DefaultLimits), newMemberTable(founding)
	var err error
	if m.core, err = newCore(identity{"g", uint64(n + 1)}, "p", voters(s.founders), n >= s.founders, m.disk, r, replicatedState{m.state, nil, m.book}); err != nil {
		s.t.Fatal(err)
	}
	m.reads = map[uint64]uint64{}
}

func voters(n int) (all []uint64) {
	for i := range n {
		all = append(all, uint64(i+1))
	}
	return all
}

// turn carries out what a member's last event led to.
func (s *simulation) turn(n int) {
	m := s.members[n]
	out, err := m.core.processReady()
	if err != nil {
		m.core = nil // its disk has failed, and it ends
		return
	}
	if m.book.wasRemoved(uint64(n + 1)) {
		m.core, m.gone = nil, true // it says no more
		return
	}
	for _, w := range out.send {
		s.wires = append(s.wires, proto.Clone(w).(*raftpb.Message))
	}
	for _, r := range out.reads {
		m.reads[binary.BigEndian.Uint64(r.RequestCtx)] = max(r.Index, 1)
	}
	for _, a := range out.applied {
		for _, c := range s.clients {
			if c.call != nil && !c.call.get && c.call.member == n && !a.isConfChange && c.call.key == a.key {
				s.answered(c, a.result.(ledger.Result))
			}
		}
	}
	for _, c := range s.clients {
		if k := c.call; k != nil && k.get && k.member == n {
			if index, confirmed := m.reads[k.key]; confirmed && m.core.applied >= index {
				s.read(c)
			}
		}
	}
}

func (s *simulation) finish(c *client, in linear.Asked, out linear.Got) {
	end := s.now
	if !out.Known {
		s.unknown++
		end = 1 << 60
	}
	s.history = append(s.history, porcupine.Operation{ClientId: c.n, Input: in, Call: c.call.began, Output: out, Return: end})
	c.call = nil
	s.done++
}

func (s *simulation) answered(c *client, r ledger.Result) {
	in := c.input()
	switch r.Code {
	case ledger.OK:
		c.known[in.Name] = known{r.Version, in.Value}
		s.finish(c, in, linear.Got{Known: true})
	case ledger.Conflict:
		s.finish(c, in, linear.Got{Known: true, Conflict: true})
	default:
		s.t.Fatalf("%+v: %+v", c.call.command, r)
	}
}

func (c *client) input() linear.Asked {
	in := linear.Asked{Name: c.call.command.Name, Get: c.call.get, Any: c.call.command.Expect == nil}
	json.Unmarshal(c.call.command.Value, &in.Value)
	if !in.Get && !in.Any {
		in.Expect = c.known[in.Name].value
	}
	return in
}

func (s *simulation) read(c *client) {
	r, _ := s.members[c.call.member].state.Get(c.call.command.Name)
	k := known{version: r.Version}
	json.Unmarshal(r.Value, &k.value)
	in := c.input()
	c.known[in.Name] = k
	s.finish(c, in, linear.Got{Known: true, Value: k.value})
}

// pick draws one of those that were not taken out.
func (s *simulation) pick() int {
	for {
		if n := s.random.IntN(len(s.members)); !s.members[n].gone {
			return n
		}
	}
}

// step does one thing that can happen.
func (s *simulation) step() {
	s.now++
	n := s.pick()
	m := s.members[n]
	switch d := s.random.IntN(100); {
	case d < 25 && m.core != nil:
		m.core.raw.Tick()
		s.turn(n)
	case d < 75 && len(s.wires) > 0:
		i := s.random.IntN(min(len(s.wires), 20)) // nearly in order
		w := s.wires[i]
		s.wires = append(s.wires[:i], s.wires[i+1:]...)
		to := s.members[w.GetTo()-1]
		if s.cut(w.GetFrom(), w.GetTo()) || s.random.IntN(100) < 3 || to.core == nil {
			return
		}
		if s.random.IntN(100) < 2 {
			s.wires = append(s.wires, proto.Clone(w).(*raftpb.Message)) // once more, later
		}
		n := int(w.GetTo()) - 1 // before Step, which addresses a proposal that it forwards anew
		to.core.raw.Step(w)
		s.turn(n)
	default:
		s.ask(s.clients[s.random.IntN(len(s.clients))])
	}
}

// ask has a client make a call, or make it again elsewhere.
func (s *simulation) ask(c *client) {
	if c.call != nil && s.now < c.call.until || c.call == nil && s.closing {
		return
	}
	n := s.pick()
	m := s.members[n]
	if m.core == nil {
		return
	}
	if c.call == nil {
		k := &call{began: s.now, get: s.random.IntN(2) == 0, current: true}
		k.command = ledger.Command{Op: ledger.Put, Name: []string{"a", "b"}[s.random.IntN(2)]}
		if !k.get {
			c.request++
			k.command.Caller, k.command.Request = fmt.Sprint("c", c.n), c.request
			k.command.Value, _ = json.Marshal(fmt.Sprint(c.n, "-", c.request))
			if have, read := c.known[k.command.Name]; read && s.random.IntN(3) > 0 {
				k.command.Expect = &have.version
			}
		}
		c.call = k
	} else if !c.call.get && s.random.IntN(16) == 0 {
		// It gives up, and never knows. Danger: the caller must not use the number again.
		s.finish(c, c.input(), linear.Got{})
		return
	}
	s.key++
	c.call.member, c.call.key, c.call.until = n, s.key, s.now+callSteps
	key := binary.BigEndian.AppendUint64(nil, s.key)
	switch text, _ := json.Marshal(c.call.command); {
	case c.call.get && s.defect == "reads are not confirmed":
		m.reads[s.key] = 1
	case c.call.get:
		m.core.raw.ReadIndex(key)
	default:
		m.core.raw.Propose(append(append(key, payloadLedger), text...)) // one that is refused is made again in time
	}
	s.turn(n)
}

// change has a writer, if there is one, add a member, make one that has caught up a
// voter, or take one out.
func (s *simulation) change() {
	for n, m := range s.members {
		if m.core == nil || m.core.raw.BasicStatus().RaftState != raft.StateLeader {
			continue
		}
		kind, to := raftpb.ConfChangeType_ConfChangeAddLearnerNode, uint64(len(s.members)+1)
		switch learners, voters := m.core.confState.GetLearners(), m.core.confState.GetVoters(); {
		case len(learners) > 0:
			if kind, to = raftpb.ConfChangeType_ConfChangeAddNode, learners[0]; m.core.raw.Status().Progress[to].Match+maxPromotionLag < m.core.lastIndex() {
				return
			}
		case len(voters) > s.founders:
			kind, to = raftpb.ConfChangeType_ConfChangeRemoveNode, voters[s.random.IntN(len(voters))]
			if to == uint64(n+1) {
				return
			}
		default:
			s.members = append(s.members, &simulated{disk: &memory{defect: s.defect}, book: newMemberTable(nil)})
			s.start(len(s.members) - 1)
		}
		text, _ := json.Marshal(memberChange{Member: Member{Address: fmt.Sprint(to)}})
		if m.core.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &to, Context: text}) == nil {
			s.changed++
		}
		s.turn(n)
		return
	}
}

// simulate plays a group under faults, and says what its clients' history comes to.
// Danger: the algorithm draws its election times by itself, so that a seed gives the
// same faults and not the same play.
func simulate(t *testing.T, size int, seed uint64, steps int, defect string) (result porcupine.CheckResult, s *simulation) {
	s = &simulation{t: t, random: rand.New(rand.NewPCG(seed, uint64(size))), defect: defect, cut: func(a, b uint64) bool { return false }}
	s.founders = size
	for range size {
		s.members = append(s.members, &simulated{disk: &memory{defect: defect}})
	}
	for n := range s.members {
		s.start(n)
	}
	for n := range 4 {
		s.clients = append(s.clients, &client{n: n, known: map[string]known{}})
	}
	calm := func() {
		s.cut = func(a, b uint64) bool { return false }
		for n, m := range s.members {
			m.disk.fail = false
			if m.core == nil && !m.gone {
				s.start(n)
			}
		}
	}
	for step := range steps {
		if step%1500 == 0 {
			calm()
			switch one := uint64(s.random.IntN(size) + 1); s.random.IntN(6) {
			case 0: // one is cut off from the others
				s.cut = func(a, b uint64) bool { return a == one || b == one }
			case 1: // it hears all and is heard by none
				s.cut = func(a, _ uint64) bool { return a == one }
			case 2: // two hear a third, and not each other
				s.cut = func(a, b uint64) bool { return a != one && b != one }
			case 3: // all are killed at once
				for n := range s.members {
					s.members[n].core = nil
				}
			case 4: // one's disk is full
				s.members[one-1].disk.fail = true
			}
		}
		if step%97 == 0 {
			n := s.pick()
			if m := s.members[n]; m.core == nil && !m.disk.fail {
				s.start(n)
			} else if s.random.IntN(4) == 0 {
				m.core = nil
			}
		}
		if size > 1 && step%701 == 0 {
			s.change()
		}
		s.step()
	}
	calm()
	s.closing = true
	for n := 0; n < 50_000 && !s.idle(); n++ { // everybody gets an answer once nothing fails
		s.step()
	}
	if !s.idle() {
		if defect == "" {
			t.Errorf("%d members, seed %d: calls go on without end", size, seed)
			for n, m := range s.members {
				if m.core == nil {
					t.Logf("member %d: not there, taken out %t", n+1, m.gone)
					continue
				}
				b := m.core.raw.BasicStatus()
				t.Logf("member %d: %v of term %d, writer %d, committed %d, applied %d, last %d, voters %v, learners %v", n+1,
					b.RaftState, b.GetTerm(), b.Lead, b.GetCommit(), m.core.applied, m.core.lastIndex(), m.core.confState.GetVoters(), m.core.confState.GetLearners())
			}
		}
		return porcupine.Unknown, s
	}
	t.Logf("%d members, seed %d: %d calls, %d of which not known, the members were changed %d times", size, seed, s.done, s.unknown, s.changed)
	within := time.Minute
	if defect != "" {
		within = 3 * time.Second // it is found at once, or at another seed
	}
	return porcupine.CheckOperationsTimeout(linear.Registers, s.history, within), s
}

func (s *simulation) idle() bool {
	for _, c := range s.clients {
		if c.call != nil {
			return false
		}
	}
	return true
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
