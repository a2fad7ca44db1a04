package play

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// loop passes events to the emulator and carries out its actions, until the emulator is done.
func (e *engine) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	e.startedAt = e.now()
	e.performAll(e.world.Begin(e.startedAt))
	last := e.startedAt
	for e.failed == nil && !e.world.Done() {
		if next, ok := e.world.Next(); ok {
			timer.Reset(max(0, next-e.now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case event := <-e.events:
			e.step(event)
			// Events that are queued are handled before the clock advances.
			for range len(e.events) {
				e.step(<-e.events)
			}
		case <-timer.C:
			e.step(timedEvent{e.now(), world.Tick{}})
		case <-second.C:
			e.printProgress()
		}
		now := e.now()
		e.loopGap = max(e.loopGap, now-last)
		last = now
	}
	return e.failed
}

// printProgress writes the counts of the last second.
func (e *engine) printProgress() {
	if e.options.Progress == nil {
		return
	}
	recent := e.world.Tally.TakeRecent()
	_, counts := e.world.Referee.Violations()
	broken := 0
	for _, n := range counts {
		broken += n
	}
	fmt.Fprintf(e.options.Progress, "%4.0f s  served %4d  late %3d  refused %4d  failed %3d  left %3d  lost %3d  worth so far %.3f  rules broken %d\n",
		(e.now() - e.startedAt).Seconds(), recent["served"], recent["late"], recent["refused"], recent["failed"], recent["left"], recent["lost"], e.world.Tally.ServedFraction(), broken)
}

// post queues an event for the loop. It blocks while the queue is full.
func (e *engine) post(event any) {
	select {
	case e.events <- timedEvent{e.now(), event}:
	case <-e.ctx.Done():
	}
}

// step passes an event to the emulator and carries out the actions that it returns.
func (e *engine) step(event timedEvent) {
	var input any = event.event
	switch received := event.event.(type) {
	case opened:
		e.conns[received.conn.id] = received.conn
		input = received.Opened
	case closed:
		delete(e.conns, received.conn.id)
		input = world.Closed{Conn: received.conn.id}
	case serviceExited:
		// The exit of an earlier process may arrive after the next has started.
		if received.generation == e.generations[received.service] && !e.killed[received.service] && e.scenario.Fleet.Group && received.status == killedOutside && e.failed == nil {
			// The user killed it, to see how the others cope.
			e.performAll([]world.Action{{Due: event.at, Operation: world.Mark{Text: e.services[received.service].name + " was killed from outside, and starts again"}}})
			e.failed = e.startService(received.service)
			return
		}
		if received.generation == e.generations[received.service] && !e.killed[received.service] && e.failed == nil {
			e.failed = fmt.Errorf("%s ended by itself (%s); it said:\n%s", e.services[received.service].name, received.status, e.services[received.service].logTail())
		}
		return
	case relayedDatagram:
		input = e.datagrams.store(received)
	}
	e.performAll(e.world.Step(event.at, input))
}

// performAll carries out actions and records how late they are.
func (e *engine) performAll(actions []world.Action) {
	for _, action := range actions {
		e.world.Tally.RecordLateness(e.now() - action.Due)
		if err := e.perform(action.Operation); err != nil && e.failed == nil {
			e.failed = err
		}
	}
}

// perform carries out one action.
func (e *engine) perform(action any) error {
	switch action := action.(type) {
	case world.Send:
		e.wg.Go(func() { e.clients[action.Gateway].send(action) })
	case world.Abandon:
		for _, c := range e.clients {
			c.abandon(action.ID)
		}
	case world.Reply:
		if connection := e.conns[action.Conn]; connection != nil {
			connection.reply(action)
		}
	case world.CounterReply:
		if connection := e.conns[action.Conn]; connection != nil {
			connection.replyTotal(action)
		}
	case world.Reset:
		if connection := e.conns[action.Conn]; connection != nil {
			link.Abort(connection.Conn)
		}
	case world.CheckConnections:
		checked := world.ConnectionsChecked{ID: action.ID}
		for _, c := range action.Connections {
			if connection := e.conns[c]; connection == nil || connection.ended() {
				checked.Closed = append(checked.Closed, c)
			}
		}
		e.step(timedEvent{e.now(), checked})
	case world.SetLinkState:
		endpoint, err := e.endpoint(gatewayLink{action.Gateway, action.Peer})
		if err != nil {
			return err
		}
		return endpoint.set(action.State)
	case world.SetRelayCondition:
		if relay := e.linkRelays[action.ProcessLink]; relay != nil {
			return relay.Set(action.Direction, action.Condition)
		}
	case world.Register:
		for gateway := range e.gateways { // a new backend listens before it is registered
			if _, err := e.endpoint(gatewayLink{gateway, action.Backend}); err != nil {
				return err
			}
		}
		if e.registrar != nil {
			e.registrar.changes <- action
		}
	case world.SendList:
		e.proxies[action.Gateway][0].setList(action.Entries)
	case world.SetListDelivery:
		for _, proxy := range e.proxies[action.Gateway] {
			proxy.setMode(action)
		}
	case world.Start:
		if err := e.startGateway(action.Gateway); err != nil {
			return err
		}
		e.wg.Go(func() {
			if awaitReady(e.ctx, e.http, e.gateways[action.Gateway], "http://"+e.addresses.gateway(action.Gateway)+"/health/ready") == nil {
				e.post(world.Ready(action))
			}
		})
	case world.Kill:
		e.gateways[action.Gateway].signal(syscall.SIGKILL)
	case world.Stop:
		e.gateways[action.Gateway].signal(syscall.SIGTERM)
	case world.Freeze:
		e.gateways[action.Gateway].signal(syscall.SIGSTOP)
	case world.Thaw:
		e.gateways[action.Gateway].signal(syscall.SIGCONT)
	case world.KillRegistry:
		e.killed[action.Registry] = true
		e.services[action.Registry].signal(syscall.SIGKILL)
	case world.StopRegistry:
		e.killed[action.Registry] = true
		e.services[action.Registry].signal(syscall.SIGTERM)
	case world.FreezeRegistry:
		e.services[action.Registry].signal(syscall.SIGSTOP)
	case world.ThawRegistry:
		e.services[action.Registry].signal(syscall.SIGCONT)
	case world.StartRegistry:
		e.services[action.Registry].awaitExit(0)
		if err := e.startService(action.Registry); err != nil {
			return err
		}
		e.killed[action.Registry] = false
	case world.HoldConnections:
		e.clients[action.Gateway].rude(action)
	case world.Deliver:
		e.datagrams.deliver(action)
	case world.Mark:
		text := fmt.Sprintf("%.1f s: %s", (e.now() - e.startedAt).Seconds(), action.Text)
		e.marks = append(e.marks, text)
		if e.options.Progress != nil {
			fmt.Fprintln(e.options.Progress, text)
		}
	default:
		return fmt.Errorf("play: unknown action %T", action)
	}
	return nil
}
