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

// patience bounds every wait of a test; none is expected to last so long.
const patience = 30 * time.Second

// team is agents on loopback sockets.
type team struct {
	t     *testing.T
	peers []netip.AddrPort
	all   []*Agent
	stop  []context.CancelFunc
	ended []chan struct{}
	mu    sync.Mutex
	told  [][]bool
}

func newTeam(t *testing.T, n int) *team {
	x := &team{t: t, all: make([]*Agent, n), stop: make([]context.CancelFunc, n), ended: make([]chan struct{}, n), told: make([][]bool, n)}
	for range n {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		x.peers = append(x.peers, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return x
}

func (x *team) start(i int) *Agent {
	x.t.Helper()
	a, err := NewAgent(AgentConfig{Self: i, Listen: x.peers[i], Peers: x.peers, Start: time.Now(), MaxReceiveRate: 50}, rand.New(rand.NewPCG(uint64(i), 1)), func(present []bool) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.told[i] = present
	})
	if err != nil {
		x.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	x.all[i], x.stop[i], x.ended[i] = a, stop, ended
	go func() { defer close(ended); a.Run(ctx) }()
	x.t.Cleanup(func() { stop(); <-ended })
	return a
}

// until waits until all of those given hold a member in a state.
func (x *team) until(who []int, member int, s State) {
	x.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		same := true
		for _, i := range who {
			v := x.all[i].View()
			same = same && len(v.Members) > member && v.Members[member].State == s
		}
		if same {
			return
		}
		if time.Now().After(end) {
			for _, i := range who {
				x.t.Logf("%d holds %v", i, x.all[i].View().Members)
			}
			x.t.Fatalf("member %d is never %v", member, s)
		}
	}
}

// Agents on sockets find each other, hear that one leaves, and of its next
// process; a second process waits for the address.
func TestAgents(t *testing.T) {
	x := newTeam(t, 3)
	for i := range 3 {
		x.start(i)
	}
	for i := range 3 {
		x.until([]int{0, 1, 2}, i, Alive)
	}
	old := x.all[2]
	stop, ended := x.stop[2], x.ended[2]
	next := x.start(2) // beside it, as in an upgrade
	if v := next.View(); v.Active {
		t.Error("two processes have one address")
	}
	stop()
	<-ended
	x.until([]int{0, 1}, 2, Alive)
	for end := time.Now().Add(patience); !next.View().Active || x.all[0].View().Members[2].Start == old.c.Start.UnixMilli(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the next process never takes part")
		}
	}
	x.stop[2]()
	<-x.ended[2]
	x.until([]int{0, 1}, 2, Left)
	x.mu.Lock()
	defer x.mu.Unlock()
	if told := x.told[0]; len(told) != 3 || told[2] || !told[1] {
		t.Errorf("told %v", told)
	}
	if st := x.all[0].View().Stats; st.Sent == 0 || st.Received == 0 || st.Malformed > 0 {
		t.Errorf("%+v", st)
	}
}

func TestBadAgents(t *testing.T) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []AgentConfig{{Self: 1, Peers: []netip.AddrPort{a}, MaxReceiveRate: 9}, {Peers: []netip.AddrPort{a, a}, MaxReceiveRate: 9}, {Peers: []netip.AddrPort{a}}} {
		if _, err := NewAgent(c, nil, nil); err == nil {
			t.Errorf("%+v", c)
		}
	}
}
