package play

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"dunlintray/internal/link"
	"dunlintray/internal/world"
)

// loop runs the day: it passes events to the emulator and carries out its actions.
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
	r := e.world.Tally.Recent()
	_, counts := e.world.Referee.Violations()
	broken := 0
	for _, n := range counts {
		broken += n
	}
	fmt.Fprintf(e.options.Progress, "%4.0f s  served %4d  late %3d  refused %4d  failed %3d  left %3d  lost %3d  worth so far %.3f  rules broken %d\n",
		(e.now() - e.startedAt).Seconds(), r["served"], r["late"], r["refused"], r["failed"], r["left"], r["lost"], e.world.Tally.Share(), broken)
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
	var what any = event.event
	switch x := event.event.(type) {
	case opened:
		e.conns[x.conn.id] = x.conn
		what = x.Opened
	case closed:
		delete(e.conns, x.conn.id)
		what = world.Closed{Conn: x.conn.id}
	case serviceExited:
		// The exit of an earlier process may arrive after the next has started.
		if x.generation == e.generations[x.service] && !e.killed[x.service] && e.scenario.Fleet.Group && x.status == killedOutside && e.failed == nil {
			// The user killed it, to see how the others cope.
			e.performAll([]world.Action{{Due: event.at, Operation: world.Mark{Text: e.services[x.service].name + " was killed from outside, and starts again"}}})
			e.failed = e.startService(x.service)
			return
		}
		if x.generation == e.generations[x.service] && !e.killed[x.service] && e.failed == nil {
			e.failed = fmt.Errorf("%s ended by itself (%s); it said:\n%s", e.services[x.service].name, x.status, e.services[x.service].logTail())
		}
		return
	case relayedDatagram:
		what = e.datagrams.store(x)
	}
	e.performAll(e.world.Step(event.at, what))
}

// performAll carries out actions and records how late they are.
func (e *engine) performAll(actions []world.Action) {
	for _, a := range actions {
		e.world.Tally.Acted(e.now() - a.Due)
		if err := e.perform(a.Operation); err != nil && e.failed == nil {
			e.failed = err
		}
	}
}

// perform carries out one action.
func (e *engine) perform(action any) error {
	switch a := action.(type) {
	case world.Send:
		e.wg.Go(func() { e.clients[a.Gateway].send(a) })
	case world.Abandon:
		for _, c := range e.clients {
			c.abandon(a.ID)
		}
	case world.Reply:
		if s := e.conns[a.Conn]; s != nil {
			s.reply(a)
		}
	case world.CounterReply:
		if s := e.conns[a.Conn]; s != nil {
			s.replyTotal(a)
		}
	case world.Reset:
		if s := e.conns[a.Conn]; s != nil {
			link.Abort(s.Conn)
		}
	case world.CheckConnections:
		looked := world.ConnectionsChecked{ID: a.ID}
		for _, c := range a.Connections {
			if s := e.conns[c]; s == nil || s.ended() {
				looked.Closed = append(looked.Closed, c)
			}
		}
		e.step(timedEvent{e.now(), looked})
	case world.SetLinkState:
		p, err := e.endpoint(gatewayLink{a.Gateway, a.Peer})
		if err != nil {
			return err
		}
		return p.set(a.State)
	case world.SetRelayCondition:
		if r := e.linkRelays[a.ProcessLink]; r != nil {
			return r.Set(a.Direction, a.Condition)
		}
	case world.Register:
		for g := range e.gateways { // a new backend listens before it is registered
			if _, err := e.endpoint(gatewayLink{g, a.Backend}); err != nil {
				return err
			}
		}
		if e.registrar != nil {
			e.registrar.changes <- a
		}
	case world.SendList:
		e.proxies[a.Gateway][0].setList(a.Entries)
	case world.SetListDelivery:
		for _, agent := range e.proxies[a.Gateway] {
			agent.setMode(a)
		}
	case world.Start:
		if err := e.startGateway(a.Gateway); err != nil {
			return err
		}
		e.wg.Go(func() {
			if awaitReady(e.ctx, e.http, e.gateways[a.Gateway], "http://"+e.addresses.gateway(a.Gateway)+"/health/ready") == nil {
				e.post(world.Ready(a))
			}
		})
	case world.Kill:
		e.gateways[a.Gateway].signal(syscall.SIGKILL)
	case world.Stop:
		e.gateways[a.Gateway].signal(syscall.SIGTERM)
	case world.Freeze:
		e.gateways[a.Gateway].signal(syscall.SIGSTOP)
	case world.Thaw:
		e.gateways[a.Gateway].signal(syscall.SIGCONT)
	case world.KillService:
		e.killed[a.Service] = true
		e.services[a.Service].signal(syscall.SIGKILL)
	case world.StopService:
		e.killed[a.Service] = true
		e.services[a.Service].signal(syscall.SIGTERM)
	case world.FreezeService:
		e.services[a.Service].signal(syscall.SIGSTOP)
	case world.ThawService:
		e.services[a.Service].signal(syscall.SIGCONT)
	case world.StartService:
		e.services[a.Service].awaitExit(0)
		if err := e.startService(a.Service); err != nil {
			return err
		}
		e.killed[a.Service] = false
	case world.HoldConnections:
		e.clients[a.Gateway].rude(a)
	case world.Deliver:
		e.datagrams.deliver(a)
	case world.Mark:
		text := fmt.Sprintf("%.1f s: %s", (e.now() - e.startedAt).Seconds(), a.Text)
		e.marks = append(e.marks, text)
		if e.options.Progress != nil {
			fmt.Fprintln(e.options.Progress, text)
		}
	default:
		return fmt.Errorf("play: unknown action %T", action)
	}
	return nil
}
