package group

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

	"dunlintray/internal/ledger"
	"dunlintray/internal/wal"
)

const testTimeout = 20 * time.Second

// startGroup starts members on loopback addresses and in folders of the test.
func startGroup(t *testing.T, size int) []*Group {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	listeners, addresses := []net.Listener{}, map[uint64]string{}
	for number := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses[uint64(number+1)] = listener.Addr().String()
	}
	var members []*Group
	for number, listener := range listeners {
		dir := t.TempDir()
		member, err := Open(Config{Name: "g", Self: uint64(number + 1), Members: addresses, Dir: dir, DataMB: 64, Limits: ledger.DefaultLimits}, wal.Dir(dir))
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, member)
		running.Go(func() { member.Run(ctx) })
		running.Go(func() { member.Serve(ctx, listener) })
	}
	return members
}

// inLoop runs a function in the loop of a member.
func inLoop(t *testing.T, member *Group, do func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := member.call(ctx, do); err != nil {
		t.Fatal(err)
	}
}

// awaitLeader returns the leader of the members and one of the others, once that one has acknowledged as
// many entries as wanted.
func awaitLeader(t *testing.T, members []*Group, entries uint64) (leader, follower *Group) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for number, member := range members {
			follower = members[(number+1)%len(members)]
			ready := false
			inLoop(t, member, func() {
				ready = member.role == raft.StateLeader && member.leaderReady && member.acknowledged(follower.config.Self) >= entries
			})
			if ready {
				return member, follower
			}
		}
	}
	t.Fatalf("no follower has acknowledged %d entries within %v", entries, testTimeout)
	return nil, nil
}

// Guards against a sound member that ends for good: a request that it sent before it received more entries
// reaches the leader after its acknowledgement of these. A folder that is an older copy is still refused.
func TestJoinRequestMayBeOlderThanAcknowledgements(t *testing.T) {
	members := startGroup(t, 3)
	client := NewClient(slices.Collect(maps.Values(members[0].config.Members)))
	defer client.Close()
	for number := range 5 {
		if result, err := client.Do(t.Context(), ledger.Command{Op: ledger.Put, Name: fmt.Sprint("r", number), Value: []byte("1")}); err != nil || result.Code != ledger.OK {
			t.Fatal(result, err)
		}
	}
	leader, follower := awaitLeader(t, members, 5)
	var request joinRequest
	inLoop(t, follower, func() { request = follower.newJoinRequest() })
	join := func(incarnation, lastIndex uint64, process string) joinReply {
		t.Helper()
		var reply joinReply
		inLoop(t, leader, func() {
			request.Incarnation, request.LastIndex, request.Process = incarnation, lastIndex, process
			reply = leader.answerJoin(request)
		})
		return reply
	}
	const short = 2
	current := request.LastIndex
	next := request.Incarnation + 1
	if reply := join(next, short, "restarted"); reply.Verdict != verdictUnknown {
		t.Errorf("a request from before the acknowledgements: %+v, want %s", reply, verdictUnknown)
	}
	if reply := join(next, current, "restarted"); reply.Verdict != verdictWelcome {
		t.Errorf("the next request of the same member: %+v, want %s", reply, verdictWelcome)
	}
	for _, want := range []verdict{verdictUnknown, verdictRefused} {
		if reply := join(next+1, short, "older copy"); reply.Verdict != want {
			t.Errorf("a member whose folder is an older copy: %+v, want %s", reply, want)
		}
	}
}
