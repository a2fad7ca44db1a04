package play

import (
	"context"
	"errors"
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
	e.began = e.now()
	e.carry(e.w.Begin(e.began))
	last := e.began
	for e.failed == nil && !e.w.Done() {
		if next, ok := e.w.Next(); ok {
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
			e.step(stamped{e.now(), world.Tick{}})
		case <-second.C:
			e.live()
		}
		now := e.now()
		e.gap = max(e.gap, now-last)
		last = now
	}
	return e.failed
}

// live writes the counts of the last second.
func (e *engine) live() {
	if e.o.Progress == nil {
		return
	}
	r := e.w.Tally.TakeRecent()
	_, counts := e.w.Referee.Violations()
	broken := 0
	for _, n := range counts {
		broken += n
	}
	fmt.Fprintf(e.o.Progress, "%4.0f s  served %4d  late %3d  refused %4d  failed %3d  left %3d  lost %3d  worth so far %.3f  rules broken %d\n",
		(e.now() - e.began).Seconds(), r["served"], r["late"], r["refused"], r["failed"], r["left"], r["lost"], e.w.Tally.ServedFraction(), broken)
}

// post queues an event for the loop. It blocks while the queue is full.
func (e *engine) post(event any) {
	select {
	case e.events <- stamped{e.now(), event}:
	case <-e.ctx.Done():
	}
}

// step passes an event to the emulator and carries out the actions that it returns.
func (e *engine) step(event stamped) {
	var what any = event.e
	switch x := event.e.(type) {
	case opened:
		e.served[x.conn.id] = x.conn
		what = x.Opened
	case closed:
		delete(e.served, x.conn.id)
		what = world.Closed{Conn: x.conn.id}
	case serviceExited:
		// The exit of an earlier process may arrive after the next has started.
		if x.life == e.lives[x.service] && !e.killed[x.service] && e.s.Fleet.Group && x.how == killedOutside && e.failed == nil {
			// The user has killed it, to see whether the others go on.
			e.carry([]world.Action{{Due: event.at, Operation: world.Mark{Text: e.services[x.service].name + " was killed from outside, and starts again"}}})
			e.failed = e.startService(x.service)
			return
		}
		if x.life == e.lives[x.service] && !e.killed[x.service] && e.failed == nil {
			e.failed = fmt.Errorf("%s ended by itself (%s); it said:\n%s", e.services[x.service].name, x.how, e.services[x.service].lastWords())
		}
		return
	case arrivedAt:
		what = e.relays.keep(x)
	}
	e.carry(e.w.Step(event.at, what))
}

// carry carries out actions and records how late they are.
func (e *engine) carry(actions []world.Action) {
	for _, a := range actions {
		e.w.Tally.RecordLateness(e.now() - a.Due)
		if err := e.do(a.Operation); err != nil && e.failed == nil {
			e.failed = err
		}
	}
}

// do carries out one action.
func (e *engine) do(action any) error {
	switch a := action.(type) {
	case world.Send:
		e.wg.Go(func() { e.callers[a.Gateway].send(a) })
	case world.Abandon:
		for _, c := range e.callers {
			c.abandon(a.ID)
		}
	case world.Reply:
		if s := e.served[a.Conn]; s != nil {
			s.reply(a)
		}
	case world.CounterReply:
		if s := e.served[a.Conn]; s != nil {
			s.total(a)
		}
	case world.Reset:
		if s := e.served[a.Conn]; s != nil {
			link.Abort(s.Conn)
		}
	case world.CheckConnections:
		looked := world.ConnectionsChecked{ID: a.ID}
		for _, c := range a.Connections {
			if s := e.served[c]; s == nil || s.ended() {
				looked.Closed = append(looked.Closed, c)
			}
		}
		e.step(stamped{e.now(), looked})
	case world.SetLinkState:
		p, err := e.peer(between{a.Gateway, a.Peer})
		if err != nil {
			return err
		}
		return p.set(a.State)
	case world.SetRelayCondition:
		if r := e.wires[a.ProcessLink]; r != nil {
			return r.Set(a.Direction, a.Condition)
		}
	case world.Register:
		for g := range e.gateways { // a new backend is there before it is told
			if _, err := e.peer(between{g, a.Backend}); err != nil {
				return err
			}
		}
		if e.registrar != nil {
			e.registrar.calls <- a
		}
	case world.SendList:
		e.agents[a.Gateway][0].tell(a.Entries)
	case world.SetListDelivery:
		for _, agent := range e.agents[a.Gateway] {
			agent.change(a)
		}
	case world.Start:
		if err := e.launch(a.Gateway); err != nil {
			return err
		}
		e.wg.Go(func() {
			if awaitReady(e.ctx, e.http, e.gateways[a.Gateway], "http://"+e.place.gateway(a.Gateway)+"/health/ready") == nil {
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
		e.services[a.Service].end(0)
		if err := e.startService(a.Service); err != nil {
			return err
		}
		e.killed[a.Service] = false
	case world.HoldConnections:
		e.callers[a.Gateway].rude(a)
	case world.Deliver:
		e.relays.deliver(a)
	case world.Mark:
		text := fmt.Sprintf("%.1f s: %s", (e.now() - e.began).Seconds(), a.Text)
		e.marks = append(e.marks, text)
		if e.o.Progress != nil {
			fmt.Fprintln(e.o.Progress, text)
		}
	default:
		return errors.New("play: an action of no known kind")
	}
	return nil
}
