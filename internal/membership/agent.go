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

// AgentConfig configures an Agent.
type AgentConfig struct {
	Self           int              // this member's number, an index of Peers
	Listen         netip.AddrPort   // UDP address for incoming datagrams
	Peers          []netip.AddrPort // addresses of all members, this one included, indexed by number
	Start          time.Time        // start of this process
	MaxReceiveRate float64          // datagrams per second that the agent processes; it drops more
}

const (
	inboxSize              = 256              // received datagrams that are queued; more are dropped
	bindRetryInterval      = time.Second      // while a sibling process holds the address
	maxChangeLogsPerSecond = 10               // log lines about changed members
	sendErrorLogInterval   = 10 * time.Second // between two log lines about failed sends
)

// View is a snapshot of an agent's state. The caller must not modify Members.
type View struct {
	Self                int           // this member's number
	Active              bool          // the agent has bound its address and takes part
	Superseded          bool          // a later process has taken this member's number
	Digest              uint64        // see Node.Digest
	Agreeing, Reporting int           // see Node.CountAgreeing
	Members             []Member      // indexed by number
	Now                 time.Duration // time of the snapshot, on the clock of Member.Since
	Stats               Stats
}

// Agent runs a Node over UDP. One goroutine owns the node, another one reads datagrams.
type Agent struct {
	config   AgentConfig
	numberOf map[netip.AddrPort]int
	random   *rand.Rand
	onChange func(present []bool)

	mu   sync.Mutex
	view View
}

// NewAgent returns an agent that reports the present members, indexed by number, to onChange
// after each change. It calls onChange from one goroutine at a time. It returns an error if Self
// is not a number of a peer, an address occurs twice or MaxReceiveRate is below 1.
func NewAgent(config AgentConfig, random *rand.Rand, onChange func(present []bool)) (*Agent, error) {
	if config.Self < 0 || config.Self >= len(config.Peers) || len(config.Peers) > 1<<16 || config.MaxReceiveRate < 1 {
		return nil, fmt.Errorf("membership: member %d of %d with %g datagrams a second", config.Self, len(config.Peers), config.MaxReceiveRate)
	}
	a := &Agent{config: config, numberOf: map[netip.AddrPort]int{}, random: random, onChange: onChange, view: View{Self: config.Self}}
	for number, peer := range config.Peers {
		if _, duplicate := a.numberOf[peer]; duplicate {
			return nil, fmt.Errorf("membership: %v stands twice among the peers", peer)
		}
		a.numberOf[peer] = number
	}
	return a, nil
}

// View returns the latest snapshot. It is safe for concurrent use.
func (a *Agent) View() View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// inbound is a received datagram and the number of the member that sent it.
type inbound struct {
	from int
	data []byte
}

// Run takes part in the membership until ctx ends; then it announces that this member leaves. It
// first waits until it can bind its address.
func (a *Agent) Run(ctx context.Context) {
	conn := a.bind(ctx)
	if conn == nil {
		return
	}
	received := make(chan inbound, inboxSize)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer conn.Close()
	wg.Go(func() { a.read(conn, received) })

	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	node := New(Config{Self: a.config.Self, Start: a.config.Start.UnixMilli(), Members: len(a.config.Peers), MaxReceiveRate: a.config.MaxReceiveRate}, now(), a.random)
	logsLeft, supersededLogged := maxChangeLogsPerSecond, false
	var logWindowStart, sendErrorLoggedAt time.Time
	execute := func(actions Actions) {
		for _, outgoing := range actions.Send {
			if _, err := conn.WriteToUDPAddrPort(outgoing.Data, a.config.Peers[outgoing.To]); err != nil && time.Since(sendErrorLoggedAt) > sendErrorLogInterval {
				sendErrorLoggedAt = time.Now()
				slog.Warn("membership: a datagram could not be sent", "to", a.config.Peers[outgoing.To], "error", err)
			}
		}
		for _, changed := range actions.Changed {
			if time.Since(logWindowStart) > time.Second {
				logWindowStart, logsLeft = time.Now(), maxChangeLogsPerSecond
			}
			if logsLeft--; logsLeft >= 0 {
				slog.Info("member", "number", changed.Number, "state", changed.State.String(), "incarnation", changed.Incarnation, "started", time.UnixMilli(changed.Start))
			}
		}
		if node.Superseded() && !supersededLogged {
			supersededLogged = true
			slog.Warn("membership: another process has this gateway's number, and began later; this one stands back", "number", a.config.Self)
		}
		a.publish(node, now(), len(actions.Changed) > 0)
	}
	a.publish(node, now(), true)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, node.Next()-now()))
		select {
		case <-ctx.Done():
			execute(node.Leave(now()))
			return
		case packet := <-received:
			execute(node.Receive(now(), packet.from, packet.data))
		case <-timer.C:
			execute(node.Tick(now()))
		}
	}
}

// bind opens the UDP address and retries while a sibling process holds it. It returns nil if ctx
// ends first.
func (a *Agent) bind(ctx context.Context) *net.UDPConn {
	logged := false
	for {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.Listen))
		if err == nil {
			return conn
		}
		if !logged {
			logged = true
			if errors.Is(err, syscall.EADDRINUSE) {
				slog.Info("membership: another process has the address; this one takes part when it has ended", "listen", a.config.Listen)
			} else {
				slog.Error("membership: not taking part yet", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// read passes datagrams from the addresses of members to received until conn is closed.
func (a *Agent) read(conn *net.UDPConn, received chan<- inbound) {
	buffer := make([]byte, MaxDatagramBytes+1) // one byte more, so that decode rejects longer datagrams
	for {
		length, source, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, known := a.numberOf[netip.AddrPortFrom(source.Addr().Unmap(), source.Port())]
		if err != nil || !known {
			continue
		}
		select {
		case received <- inbound{from, append([]byte(nil), buffer[:length]...)}:
		default: // the queue is full
		}
	}
}

// publish stores a snapshot of the node and reports the present members if any has changed.
func (a *Agent) publish(node *Node, now time.Duration, changed bool) {
	agreeing, reporting := node.CountAgreeing()
	a.mu.Lock()
	members := a.view.Members
	if changed {
		members = node.Members()
	}
	a.view = View{Self: a.config.Self, Active: true, Superseded: node.Superseded(), Digest: node.Digest(), Agreeing: agreeing, Reporting: reporting, Members: members, Now: now, Stats: node.Stats()}
	a.mu.Unlock()
	if changed {
		present := make([]bool, len(members))
		for i, m := range members {
			present[i] = m.Present()
		}
		a.onChange(present)
	}
}
