package main

import (
	"sync"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery: discovery answers each call late while a server begins to drain.
func slowDiscovery(l *lab) error {
	const (
		slowFrom = 4.0
		drainAt  = 7.0
		until    = 30.0
		late     = 1200 * time.Millisecond

		told  = 6.0  // seconds after which a change counts as told
		grace = 1.0  // drainGraceS
		slack = 0.05 // of time limits on sockets
	)
	servers, err := startServers(4, 20*time.Millisecond)
	if err != nil {
		return err
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("availability", "repeatable", 3)}, []any{plan("basico")})
	config["discovery"] = "ask"
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 64, "sockets": 512}, config)
	if _, err := g.startProcess(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				a := c.call(&request{id: newID(), class: "availability", method: "GET", plan: "basico", customer: 0xb4d65521, left: 2 * time.Second, units: 1}, 5*time.Second)
				if a.closed {
					c = nil
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	l.sleepUntil(slowFrom)
	if l.trouble {
		d.setLate(late)
	}
	l.sleepUntil(drainAt)
	drained := servers[0]
	d.set(drained.id, func(entry *instance) { entry.Lifecycle = "Terminating" })
	drainedAt := time.Now()
	l.say("%s begins to drain", drained.id)
	clients.Wait()
	after, last := 0, 0.0
	for _, s := range servers {
		attempts := s.all()
		l.note("%s got %d requests", s.id, len(attempts))
		if s != drained {
			continue
		}
		for _, a := range attempts {
			since := a.begun.Sub(drainedAt).Seconds()
			if last = max(last, since); since > told+grace+slack {
				after++
				l.breach("%s: request %s was begun %.3f s after the drain", s.id, a.id, since)
			}
		}
	}
	l.say("%s: the last request was begun %.3f s after the drain, %d after %.2f s", drained.id, last, after, told+grace+slack)
	return nil
}
