package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// AgentConfig is what an agent is told.
type AgentConfig struct {
	Self           int
	Listen         netip.AddrPort   // where datagrams come in
	Peers          []netip.AddrPort // each member's address, its own too, by number
	Start          time.Time        // of this process
	MaxReceiveRate float64          // datagrams that are taken in
}

const (
	inbox       = 256              // datagrams that wait; more are lost
	bindAgain   = time.Second      // until the other process of an upgrade has let go of the address
	changesPerS = 10               // lines about changes
	errorGap    = 10 * time.Second // between two lines about datagrams that can't be sent
)

// View is what an agent holds, at one moment.
type View struct {
	Self                int
	Active              bool // it takes part: its address is its own
	Superseded          bool // a later process has its place
	Digest              uint64
	Agreeing, Reporting int // members with the same view, of those heard
	Members             []Member
	Now                 time.Duration // by the clock of Member.Since
	Stats               Stats
}

// Agent runs a node on datagrams. One goroutine has the node, another reads.
type Agent struct {
	c       AgentConfig
	numbers map[netip.AddrPort]int
	random  *rand.Rand
	changed func(present []bool)

	mu   sync.Mutex
	view View
}

// NewAgent returns an agent that tells changed, one at a time, who is present.
func NewAgent(c AgentConfig, random *rand.Rand, changed func(present []bool)) (*Agent, error) {
	if c.Self < 0 || c.Self >= len(c.Peers) || len(c.Peers) > 1<<16 || c.MaxReceiveRate < 1 {
		return nil, fmt.Errorf("membership: member %d of %d with %g datagrams a second", c.Self, len(c.Peers), c.MaxReceiveRate)
	}
	a := &Agent{c: c, numbers: map[netip.AddrPort]int{}, random: random, changed: changed, view: View{Self: c.Self}}
	for n, p := range c.Peers {
		if _, twice := a.numbers[p]; twice {
			return nil, fmt.Errorf("membership: %v stands twice among the peers", p)
		}
		a.numbers[p] = n
	}
	return a, nil
}

// View returns what is held now.
func (a *Agent) View() View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

type received struct {
	from int
	data []byte
}

// Run takes part until ctx ends; then it says that it goes.
func (a *Agent) Run(ctx context.Context) {
	conn := a.bind(ctx)
	if conn == nil {
		return
	}
	in := make(chan received, inbox)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer conn.Close()
	wg.Go(func() { a.read(conn, in) })

	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	node := New(Config{Self: a.c.Self, Start: a.c.Start.UnixMilli(), Members: len(a.c.Peers), MaxReceiveRate: a.c.MaxReceiveRate}, now(), a.random)
	lines, told := changesPerS, false
	var second, complained time.Time
	carry := func(out Actions) {
		for _, o := range out.Send {
			if _, err := conn.WriteToUDPAddrPort(o.Data, a.c.Peers[o.To]); err != nil && time.Since(complained) > errorGap {
				complained = time.Now()
				slog.Warn("membership: a datagram could not be sent", "to", a.c.Peers[o.To], "error", err)
			}
		}
		for _, m := range out.Changed {
			if time.Since(second) > time.Second {
				second, lines = time.Now(), changesPerS
			}
			if lines--; lines >= 0 {
				slog.Info("member", "number", m.Number, "state", m.State.String(), "incarnation", m.Incarnation, "started", time.UnixMilli(m.Start))
			}
		}
		if node.Superseded() && !told {
			told = true
			slog.Warn("membership: another process has this gateway's number, and began later; this one stands back", "number", a.c.Self)
		}
		a.look(node, now(), len(out.Changed) > 0)
	}
	a.look(node, now(), true)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, node.Next()-now()))
		select {
		case <-ctx.Done():
			carry(node.Leave(now()))
			return
		case r := <-in:
			carry(node.Receive(now(), r.from, r.data))
		case <-timer.C:
			carry(node.Tick(now()))
		}
	}
}

// bind opens the address, which the other process of an upgrade may still have.
func (a *Agent) bind(ctx context.Context) *net.UDPConn {
	told := false
	for {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.c.Listen))
		if err == nil {
			return conn
		}
		if !told {
			told = true
			if errors.Is(err, syscall.EADDRINUSE) {
				slog.Info("membership: another process has the address; this one takes part when it has ended", "listen", a.c.Listen)
			} else {
				slog.Error("membership: not taking part yet", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindAgain):
		}
	}
}

// read hands on what comes from the addresses of members.
func (a *Agent) read(conn *net.UDPConn, in chan<- received) {
	buf := make([]byte, MaxDatagramBytes+1) // one that is longer is seen to be
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, known := a.numbers[netip.AddrPortFrom(source.Addr().Unmap(), source.Port())]
		if err != nil || !known {
			continue
		}
		select {
		case in <- received{from, append([]byte(nil), buf[:n]...)}:
		default: // a loop that is late takes nothing more
		}
	}
}

// look takes note of what the node holds, and tells of changes.
func (a *Agent) look(n *Node, now time.Duration, changed bool) {
	same, of := n.CountAgreeing()
	a.mu.Lock()
	members := a.view.Members
	if changed {
		members = n.Members()
	}
	a.view = View{Self: a.c.Self, Active: true, Superseded: n.Superseded(), Digest: n.Digest(), Agreeing: same, Reporting: of, Members: members, Now: now, Stats: n.Stats()}
	a.mu.Unlock()
	if changed {
		present := make([]bool, len(members))
		for i, m := range members {
			present[i] = m.Present()
		}
		a.changed(present)
	}
}
