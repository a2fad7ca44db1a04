package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// waitTimeout limits each wait in the tests.
const waitTimeout = 30 * time.Second

// agentFleet is a fleet of agents on loopback sockets.
type agentFleet struct {
	t               *testing.T
	peers           []netip.AddrPort
	agents          []*Agent
	stop            []context.CancelFunc
	ended           []chan struct{}
	mu              sync.Mutex
	reportedPresent [][]bool // latest report of each agent
}

// newAgentFleet reserves n loopback addresses. The agents are not started yet.
func newAgentFleet(t *testing.T, n int) *agentFleet {
	fleet := &agentFleet{t: t, agents: make([]*Agent, n), stop: make([]context.CancelFunc, n), ended: make([]chan struct{}, n), reportedPresent: make([][]bool, n)}
	for range n {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fleet.peers = append(fleet.peers, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return fleet
}

// start starts an agent as member i until the test ends.
func (f *agentFleet) start(i int) *Agent {
	f.t.Helper()
	agent, err := NewAgent(AgentConfig{Self: i, Listen: f.peers[i], Peers: f.peers, Start: time.Now(), MaxReceiveRate: 50}, rand.New(rand.NewPCG(uint64(i), 1)), func(present []bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reportedPresent[i] = present
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f.agents[i], f.stop[i], f.ended[i] = agent, stop, ended
	go func() { defer close(ended); agent.Run(ctx) }()
	f.t.Cleanup(func() { stop(); <-ended })
	return agent
}

// waitForState waits until all observers have a member in a state.
func (f *agentFleet) waitForState(observers []int, member int, state State) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		agreed := true
		for _, i := range observers {
			v := f.agents[i].View()
			agreed = agreed && len(v.Members) > member && v.Members[member].State == state
		}
		if agreed {
			return
		}
		if time.Now().After(end) {
			for _, i := range observers {
				f.t.Logf("member %d has %v", i, f.agents[i].View().Members)
			}
			f.t.Fatalf("member %d did not become %v within %v", member, state, waitTimeout)
		}
	}
}

// Agents discover each other and detect that one leaves or is restarted. A second process of a
// member must wait for its address.
func TestAgentsJoinLeaveAndRestart(t *testing.T) {
	cluster := newAgentFleet(t, 3)
	for i := range 3 {
		cluster.start(i)
	}
	for i := range 3 {
		cluster.waitForState([]int{0, 1, 2}, i, Alive)
	}
	previous := cluster.agents[2]
	stop, ended := cluster.stop[2], cluster.ended[2]
	next := cluster.start(2) // a sibling process, as in an upgrade
	if v := next.View(); v.Active {
		t.Error("a second process is active while the first one holds its address")
	}
	stop()
	<-ended
	cluster.waitForState([]int{0, 1}, 2, Alive)
	for end := time.Now().Add(waitTimeout); !next.View().Active || cluster.agents[0].View().Members[2].Start == previous.config.Start.UnixMilli(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second process did not take over the address")
		}
	}
	cluster.stop[2]()
	<-cluster.ended[2]
	cluster.waitForState([]int{0, 1}, 2, Left)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if present := cluster.reportedPresent[0]; len(present) != 3 || present[2] || !present[1] {
		t.Errorf("reported present %v, want members 0 and 1", present)
	}
	if st := cluster.agents[0].View().Stats; st.Sent == 0 || st.Received == 0 || st.Malformed > 0 {
		t.Errorf("statistics %+v", st)
	}
}

// A member number beyond the peers, a duplicate address and a rate of zero are errors.
func TestNewAgentRejectsInvalidConfig(t *testing.T) {
	peer := netip.MustParseAddrPort("127.0.0.1:1")
	for _, config := range []AgentConfig{{Self: 1, Peers: []netip.AddrPort{peer}, MaxReceiveRate: 9}, {Peers: []netip.AddrPort{peer, peer}, MaxReceiveRate: 9}, {Peers: []netip.AddrPort{peer}}} {
		if _, err := NewAgent(config, nil, nil); err == nil {
			t.Errorf("no error for %+v", config)
		}
	}
}
