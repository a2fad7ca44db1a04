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

// memoryLog is a DurableLog in memory that survives restarts of its member.
type memoryLog struct {
	records  [][]byte
	last     uint64
	appended int // records since the snapshot
	defect   string
	failing  bool
}

func (m *memoryLog) Append(records [][]byte) (uint64, error) {
	if m.failing {
		return 0, fmt.Errorf("no space")
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

func (m *memoryLog) SnapshotDue() bool { return m.appended > 300 }

func (m *memoryLog) LastSequence() uint64 { return m.last }

func (m *memoryLog) Snapshot(_ uint64, records func(func([]byte) error) error) error {
	var all [][]byte
	err := records(func(r []byte) error { all = append(all, append([]byte(nil), r...)); return nil })
	m.records, m.appended = all, 0
	return err
}

// simulatedMember is one member in a simulation.
type simulatedMember struct {
	log            *memoryLog
	core           *core // nil: stopped
	state          *ledger.State
	members        *memberTable
	removed        bool              // removed from the group
	confirmedReads map[uint64]uint64 // index of each confirmed read by key
}

// pendingCall is the call that a client waits for.
type pendingCall struct {
	member   int
	key      uint64
	command  ledger.Command
	read     bool
	current  bool
	start    int64
	deadline int64 // the client retries elsewhere after that
}

// simulatedClient is a client with at most one pending call.
type simulatedClient struct {
	number  int
	request uint64
	known   map[string]lastRead // last read by record name
	call    *pendingCall
}

// lastRead is the version and value of a record that a client has seen last.
type lastRead struct {
	version uint64
	value   string
}

// simulation runs the members of a group and their clients in one goroutine.
type simulation struct {
	t              *testing.T
	random         *rand.Rand
	defect         string
	members        []*simulatedMember
	founders       int
	memberChanges  int // proposed
	messages       []*raftpb.Message
	blocked        func(a, b uint64) bool
	clock          int64
	key            uint64
	clients        []*simulatedClient
	history        []porcupine.Operation
	completedCalls int
	unknownCalls   int
	closing        bool // clients start no new calls
}

// callTimeoutSteps is the number of steps after which a client retries a call.
const callTimeoutSteps = 400

// start starts the process of a member from its log.
func (s *simulation) start(index int) {
	member := s.members[index]
	recovered := &recoveredState{}
	for _, record := range member.log.records {
		if err := recovered.addRecord(record); err != nil {
			s.t.Fatal(err)
		}
	}
	initialMembers := map[uint64]Member{}
	for _, v := range voterNumbers(s.founders) {
		initialMembers[v] = Member{Address: fmt.Sprint(v)}
	}
	member.state, member.members = ledger.New(ledger.DefaultLimits), newMemberTable(initialMembers)
	var err error
	if member.core, err = newCore(identity{"g", uint64(index + 1)}, "p", voterNumbers(s.founders), index >= s.founders, member.log, recovered, replicatedState{member.state, nil, member.members}); err != nil {
		s.t.Fatal(err)
	}
	member.confirmedReads = map[uint64]uint64{}
}

func voterNumbers(n int) (numbers []uint64) {
	for i := range n {
		numbers = append(numbers, uint64(i+1))
	}
	return numbers
}

// advance processes what the last event of a member has made ready.
func (s *simulation) advance(index int) {
	member := s.members[index]
	output, err := member.core.processReady()
	if err != nil {
		member.core = nil // stopped by a failed disk
		return
	}
	if member.members.wasRemoved(uint64(index + 1)) {
		member.core, member.removed = nil, true // a removed member sends nothing
		return
	}
	for _, message := range output.send {
		s.messages = append(s.messages, proto.Clone(message).(*raftpb.Message))
	}
	for _, r := range output.reads {
		member.confirmedReads[binary.BigEndian.Uint64(r.RequestCtx)] = max(r.Index, 1)
	}
	for _, a := range output.applied {
		for _, c := range s.clients {
			if c.call != nil && !c.call.read && c.call.member == index && !a.isConfChange && c.call.key == a.key {
				s.completeWrite(c, a.result.(ledger.Result))
			}
		}
	}
	for _, c := range s.clients {
		if call := c.call; call != nil && call.read && call.member == index {
			if readIndex, confirmed := member.confirmedReads[call.key]; confirmed && member.core.applied >= readIndex {
				s.completeRead(c)
			}
		}
	}
}

func (s *simulation) finish(client *simulatedClient, input linear.Input, output linear.Output) {
	end := s.clock
	if !output.Known {
		s.unknownCalls++
		end = 1 << 60
	}
	s.history = append(s.history, porcupine.Operation{ClientId: client.number, Input: input, Call: client.call.start, Output: output, Return: end})
	client.call = nil
	s.completedCalls++
}

func (s *simulation) completeWrite(client *simulatedClient, result ledger.Result) {
	input := client.input()
	switch result.Code {
	case ledger.OK:
		client.known[input.Name] = lastRead{result.Version, input.Value}
		s.finish(client, input, linear.Output{Known: true})
	case ledger.Conflict:
		s.finish(client, input, linear.Output{Known: true, Conflict: true})
	default:
		s.t.Fatalf("%+v: %+v", client.call.command, result)
	}
}

func (c *simulatedClient) input() linear.Input {
	input := linear.Input{Name: c.call.command.Name, Get: c.call.read, Unconditional: c.call.command.Expect == nil}
	json.Unmarshal(c.call.command.Value, &input.Value)
	if !input.Get && !input.Unconditional {
		input.Expect = c.known[input.Name].value
	}
	return input
}

func (s *simulation) completeRead(client *simulatedClient) {
	r, _ := s.members[client.call.member].state.Get(client.call.command.Name)
	current := lastRead{version: r.Version}
	json.Unmarshal(r.Value, &current.value)
	input := client.input()
	client.known[input.Name] = current
	s.finish(client, input, linear.Output{Known: true, Value: current.value})
}

// pickMember returns the index of a random member that was not removed.
func (s *simulation) pickMember() int {
	for {
		if n := s.random.IntN(len(s.members)); !s.members[n].removed {
			return n
		}
	}
}

// step simulates one random event: a tick, a message or a client's call.
func (s *simulation) step() {
	s.clock++
	index := s.pickMember()
	member := s.members[index]
	switch draw := s.random.IntN(100); {
	case draw < 25 && member.core != nil:
		member.core.raw.Tick()
		s.advance(index)
	case draw < 75 && len(s.messages) > 0:
		i := s.random.IntN(min(len(s.messages), 20)) // mild reordering
		message := s.messages[i]
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
		to := s.members[message.GetTo()-1]
		if s.blocked(message.GetFrom(), message.GetTo()) || s.random.IntN(100) < 3 || to.core == nil {
			return
		}
		if s.random.IntN(100) < 2 {
			s.messages = append(s.messages, proto.Clone(message).(*raftpb.Message)) // duplicate
		}
		receiver := int(message.GetTo()) - 1 // read before Step, which may change the receiver
		to.core.raw.Step(message)
		s.advance(receiver)
	default:
		s.startOrRetry(s.clients[s.random.IntN(len(s.clients))])
	}
}

// startOrRetry starts a client's call, or retries it at another member.
func (s *simulation) startOrRetry(client *simulatedClient) {
	if client.call != nil && s.clock < client.call.deadline || client.call == nil && s.closing {
		return
	}
	index := s.pickMember()
	member := s.members[index]
	if member.core == nil {
		return
	}
	if client.call == nil {
		call := &pendingCall{start: s.clock, read: s.random.IntN(2) == 0, current: true}
		call.command = ledger.Command{Op: ledger.Put, Name: []string{"a", "b"}[s.random.IntN(2)]}
		if !call.read {
			client.request++
			call.command.Caller, call.command.Request = fmt.Sprint("c", client.number), client.request
			call.command.Value, _ = json.Marshal(fmt.Sprint(client.number, "-", client.request))
			if known, read := client.known[call.command.Name]; read && s.random.IntN(3) > 0 {
				call.command.Expect = &known.version
			}
		}
		client.call = call
	} else if !client.call.read && s.random.IntN(16) == 0 {
		// The client gives up with an unknown outcome and never reuses the request number.
		s.finish(client, client.input(), linear.Output{})
		return
	}
	s.key++
	client.call.member, client.call.key, client.call.deadline = index, s.key, s.clock+callTimeoutSteps
	key := binary.BigEndian.AppendUint64(nil, s.key)
	switch data, _ := json.Marshal(client.call.command); {
	case client.call.read && s.defect == "reads are not confirmed":
		member.confirmedReads[s.key] = 1
	case client.call.read:
		member.core.raw.ReadIndex(key)
	default:
		member.core.raw.Propose(append(append(key, payloadLedger), data...)) // retried after the deadline if it is dropped
	}
	s.advance(index)
}

// changeMembers has a leader add a member, promote a learner that has caught up, or remove a
// voter.
func (s *simulation) changeMembers() {
	for index, member := range s.members {
		if member.core == nil || member.core.raw.BasicStatus().RaftState != raft.StateLeader {
			continue
		}
		kind, to := raftpb.ConfChangeType_ConfChangeAddLearnerNode, uint64(len(s.members)+1)
		switch learners, voters := member.core.confState.GetLearners(), member.core.confState.GetVoters(); {
		case len(learners) > 0:
			if kind, to = raftpb.ConfChangeType_ConfChangeAddNode, learners[0]; member.core.raw.Status().Progress[to].Match+maxPromotionLag < member.core.lastIndex() {
				return
			}
		case len(voters) > s.founders:
			kind, to = raftpb.ConfChangeType_ConfChangeRemoveNode, voters[s.random.IntN(len(voters))]
			if to == uint64(index+1) {
				return
			}
		default:
			s.members = append(s.members, &simulatedMember{log: &memoryLog{defect: s.defect}, members: newMemberTable(nil)})
			s.start(len(s.members) - 1)
		}
		data, _ := json.Marshal(memberChange{Member: Member{Address: fmt.Sprint(to)}})
		if member.core.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &to, Context: data}) == nil {
			s.memberChanges++
		}
		s.advance(index)
		return
	}
}

// simulate runs a group under faults and checks the history of its clients. Raft draws its
// election timeouts itself, so a seed repeats the faults but not the whole run.
func simulate(t *testing.T, size int, seed uint64, steps int, defect string) (result porcupine.CheckResult, sim *simulation) {
	sim = &simulation{t: t, random: rand.New(rand.NewPCG(seed, uint64(size))), defect: defect, blocked: func(from, to uint64) bool { return false }}
	sim.founders = size
	for range size {
		sim.members = append(sim.members, &simulatedMember{log: &memoryLog{defect: defect}})
	}
	for n := range sim.members {
		sim.start(n)
	}
	for n := range 4 {
		sim.clients = append(sim.clients, &simulatedClient{number: n, known: map[string]lastRead{}})
	}
	calm := func() {
		sim.blocked = func(from, to uint64) bool { return false }
		for n, m := range sim.members {
			m.log.failing = false
			if m.core == nil && !m.removed {
				sim.start(n)
			}
		}
	}
	for step := range steps {
		if step%1500 == 0 {
			calm()
			switch target := uint64(sim.random.IntN(size) + 1); sim.random.IntN(6) {
			case 0: // one member is isolated
				sim.blocked = func(from, to uint64) bool { return from == target || to == target }
			case 1: // messages of one member are lost
				sim.blocked = func(from, _ uint64) bool { return from == target }
			case 2: // only one member is connected to the others
				sim.blocked = func(from, to uint64) bool { return from != target && to != target }
			case 3: // all members crash
				for index := range sim.members {
					sim.members[index].core = nil
				}
			case 4: // one disk is full
				sim.members[target-1].log.failing = true
			}
		}
		if step%97 == 0 {
			n := sim.pickMember()
			if member := sim.members[n]; member.core == nil && !member.log.failing {
				sim.start(n)
			} else if sim.random.IntN(4) == 0 {
				member.core = nil
			}
		}
		if size > 1 && step%701 == 0 {
			sim.changeMembers()
		}
		sim.step()
	}
	calm()
	sim.closing = true
	for n := 0; n < 50_000 && !sim.idle(); n++ { // all calls complete without faults
		sim.step()
	}
	if !sim.idle() {
		if defect == "" {
			t.Errorf("%d members, seed %d: calls still pending after 50000 steps without faults", size, seed)
			for n, m := range sim.members {
				if m.core == nil {
					t.Logf("member %d: stopped, removed %t", n+1, m.removed)
					continue
				}
				status := m.core.raw.BasicStatus()
				t.Logf("member %d: %v of term %d, leader %d, committed %d, applied %d, last %d, voters %v, learners %v", n+1,
					status.RaftState, status.GetTerm(), status.Lead, status.GetCommit(), m.core.applied, m.core.lastIndex(), m.core.confState.GetVoters(), m.core.confState.GetLearners())
			}
		}
		return porcupine.Unknown, sim
	}
	t.Logf("%d members, seed %d: %d calls, %d with an unknown outcome, %d member changes", size, seed, sim.completedCalls, sim.unknownCalls, sim.memberChanges)
	timeLimit := time.Minute
	if defect != "" {
		timeLimit = 3 * time.Second // a defect is found quickly, or at another seed
	}
	return porcupine.CheckOperationsTimeout(linear.RegisterModel, sim.history, timeLimit), sim
}

func (s *simulation) idle() bool {
	for _, c := range s.clients {
		if c.call != nil {
			return false
		}
	}
	return true
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
