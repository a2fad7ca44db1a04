package group

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"dunlintray/internal/ledger"
)

// Histories stay linearizable under partitions, crashes and full disks, and each planted defect
// breaks them.
func TestLinearizable(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(envInt("GROUP_SEEDS", 4)) {
			result, sim := simulate(t, size, seed, 20_000, "")
			if result != porcupine.Ok {
				t.Errorf("%d members, seed %d: %v", size, seed, result)
			}
			if size > 1 && sim.memberChanges < 3 {
				t.Errorf("%d members, seed %d: got %d member changes, want at least 3", size, seed, sim.memberChanges)
			}
			if sim.completedCalls < 40 {
				t.Errorf("%d members, seed %d: got %d completed calls, want at least 40", size, seed, sim.completedCalls)
			}
		}
	}
	for _, defect := range []string{"reads are not confirmed", "votes are not kept"} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			found = showsDefect(t, seed, defect)
		}
		if !found {
			t.Errorf("planted defect not detected: %s", defect)
		}
	}
}

// showsDefect reports whether a simulation with the defect has a history that is not linearizable,
// or makes raft panic.
func showsDefect(t *testing.T, seed uint64, defect string) (found bool) {
	defer func() {
		if failure := recover(); failure != nil {
			if !strings.Contains(fmt.Sprint(failure), "raft") && !strings.Contains(fmt.Sprint(failure), "tocommit") && !strings.Contains(fmt.Sprint(failure), "conflict") {
				panic(failure)
			}
			found = true
		}
	}()
	result, _ := simulate(t, 3, seed, 20_000, defect)
	return result == porcupine.Illegal
}

// A restarted member knows the membership changes that it has applied, without any message from
// another member.
func TestRestartKeepsMemberChange(t *testing.T) {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(1, 1)), founders: 1, members: []*simulatedMember{{log: &memoryLog{}}}}
	sim.start(0)
	member := sim.members[0]
	member.core.raw.Campaign()
	sim.advance(0)
	for to := uint64(2); to < 4; to++ {
		data, _ := json.Marshal(memberChange{Member: Member{Address: fmt.Sprint(to)}})
		kind := raftpb.ConfChangeType_ConfChangeAddLearnerNode
		if err := member.core.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &to, Context: data}); err != nil {
			t.Fatal(err)
		}
		sim.advance(0)
		if got := member.core.confState.GetLearners(); len(got) != int(to)-1 {
			t.Fatalf("unexpected learners %v", got)
		}
		sim.start(0)
		if _, err := member.core.processReady(); err != nil {
			t.Fatal(err)
		}
		if got := member.core.confState.GetLearners(); len(got) != int(to)-1 {
			t.Errorf("unexpected learners %v after a restart", got)
		}
		member.core.raw.Campaign()
		sim.advance(0)
	}
}

// For an hour of ticks the leader stays if up to 5% of the messages are lost, or if one member
// receives nothing.
func TestLeaderStaysUnderMessageLoss(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		isLost   func(random *rand.Rand, from, to uint64) bool
		maxTerms uint64
	}{
		{"none", func(*rand.Rand, uint64, uint64) bool { return false }, 0},
		{"5%", func(random *rand.Rand, _, _ uint64) bool { return random.IntN(20) == 0 }, 0},
		{"30%", func(random *rand.Rand, _, _ uint64) bool { return random.IntN(10) < 3 }, 200},
		{"deaf", func(_ *rand.Rand, _, to uint64) bool { return to == 3 }, 0},
	} {
		sim := &simulation{t: t, random: rand.New(rand.NewPCG(1, 1)), founders: 3}
		for index := range 3 {
			sim.members = append(sim.members, &simulatedMember{log: &memoryLog{}})
			sim.start(index)
		}
		deliver := func(isLost func(*rand.Rand, uint64, uint64) bool) {
			for len(sim.messages) > 0 {
				message := sim.messages[0]
				if sim.messages = sim.messages[1:]; !isLost(sim.random, message.GetFrom(), message.GetTo()) {
					sim.members[message.GetTo()-1].core.raw.Step(message)
					sim.advance(int(message.GetTo()) - 1)
				}
			}
		}
		tick := func(isLost func(*rand.Rand, uint64, uint64) bool) {
			for index, m := range sim.members {
				m.core.raw.Tick()
				sim.advance(index)
			}
			deliver(isLost)
		}
		if err := sim.members[0].core.raw.Campaign(); err != nil {
			t.Fatal(err)
		}
		sim.advance(0)
		deliver(func(*rand.Rand, uint64, uint64) bool { return false })
		term := func() uint64 { return sim.members[0].core.raw.BasicStatus().GetTerm() }
		startTerm := term()
		for range int(time.Hour / Tick) {
			tick(testCase.isLost)
		}
		t.Logf("messages lost: %s: %d new terms in an hour", testCase.name, term()-startTerm)
		if term()-startTerm > testCase.maxTerms || sim.members[0].core.raw.BasicStatus().Lead == 0 {
			t.Errorf("messages lost: %s: %d new terms, leader %d", testCase.name, term()-startTerm, sim.members[0].core.raw.BasicStatus().Lead)
		}
	}
}

// A member does not start from the folder of another member or another group.
func TestForeignFolderIsRefused(t *testing.T) {
	log := &memoryLog{}
	state := ledger.New(ledger.DefaultLimits)
	if _, err := newCore(identity{"g", 1}, "p", voterNumbers(3), false, log, &recoveredState{}, replicatedState{state, nil, newMemberTable(nil)}); err != nil {
		t.Fatal(err)
	}
	for _, owner := range []identity{{"g", 2}, {"h", 1}} {
		recovered := &recoveredState{}
		for _, record := range log.records {
			if err := recovered.addRecord(record); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := newCore(owner, "p", voterNumbers(3), false, log, recovered, replicatedState{state, nil, newMemberTable(nil)}); err == nil {
			t.Errorf("%s started from the folder of another member", owner)
		}
	}
}

// A number is assigned once, and the number 0 of earlier builds does not count as removed.
func TestRemovedNumbersAreNotReused(t *testing.T) {
	table := newMemberTable(map[uint64]Member{1: {Address: "a"}, 2: {Address: "b"}, 3: {Address: "c", RegistryAddress: "l"}})
	state := replicatedState{ledger.New(ledger.DefaultLimits), nil, table}
	state.Remove(2)
	state.Add(5, Member{Address: "e"})
	for number, want := range map[uint64]bool{0: false, 1: false, 2: true, 3: false, 4: true, 5: false, 6: false} {
		if table.wasRemoved(number) != want {
			t.Errorf("wasRemoved(%d) = %t", number, !want)
		}
	}
	for _, testCase := range []struct {
		number  uint64
		member  Member
		exists  bool
		wantErr bool
	}{{1, Member{Address: "a"}, true, false}, {1, Member{Address: "z"}, false, true}, {2, Member{Address: "b"}, false, true}, {4, Member{Address: "z"}, false, true},
		{6, Member{Address: "e"}, false, true}, {6, Member{Address: "z", RegistryAddress: "l"}, false, true}, {6, Member{Address: "b"}, false, false}} {
		if exists, err := table.checkAdd(testCase.number, testCase.member); exists != testCase.exists || (err != nil) != testCase.wantErr {
			t.Errorf("add %d %+v: %t %v", testCase.number, testCase.member, exists, err)
		}
	}
	next := newMemberTable(nil)
	if err := next.decode(table.encode()); err != nil || !reflect.DeepEqual(next.Members, table.Members) || next.Highest != 5 || next.wasRemoved(2) != true {
		t.Errorf("%+v: %v", next, err)
	}
	if err := next.decode([]byte(`{"members":{}}`)); err == nil {
		t.Error("decoded a member table without members")
	}
}

// Decoding accepts only messages from another member to this one.
func FuzzDecodeMessages(f *testing.F) {
	kind, one, two := raftpb.MessageType_MsgHeartbeat, uint64(1), uint64(2)
	f.Add(encodeMessages([]*raftpb.Message{{Type: &kind, From: &two, To: &one}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := decodeMessages(data, 1, map[uint64]Member{1: {Address: "a"}, 2: {Address: "b"}})
		if err != nil {
			return
		}
		for _, m := range messages {
			if m.GetTo() != 1 || m.GetFrom() != 2 || raft.IsLocalMsg(m.GetType()) {
				t.Errorf("decoded a message that is local, or not from a member to this member: %v", m)
			}
		}
	})
}
