package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-places"] = upgradePlaces }

// upgradePlaces: an upgrade while clients hold no more than a third of the descriptors for requests.
func upgradePlaces(l *lab) error {
	const (
		sockets   = 256
		users     = sockets / 3
		work      = 1600 * time.Millisecond
		left      = 2000 * time.Millisecond
		late      = 550 * time.Millisecond // half a second, and 50 ms on sockets
		slack     = 200 * time.Millisecond // of the time that an attempt tells its server, and 50 ms on sockets
		upgradeAt = 8.0
		until     = 16.0
		overlap   = time.Second // from the yes of the new process to SIGTERM
	)
	servers, err := startServers(30, work)
	if err != nil {
		return err
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("availability", "repeatable", 7.5)}, []any{plan("basico")})
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 64, "sockets": sockets}, config)
	if err := g.hold(); err != nil {
		return err
	}
	first, err := g.startProcess()
	if err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	total, served, again, lost := 0, 0, 0, 0
	for n := range users {
		clients.Go(func() {
			var c *client
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				id := newID()
				for try := 0; try < 2 && l.ctx.Err() == nil; try++ {
					if c == nil {
						if c, err = connect(g.listen); err != nil {
							l.note("client %d: no connection: %v", n, err)
							break
						}
					}
					a := c.call(&request{id: id, class: "availability", method: "GET", plan: "basico", customer: 10 + uint64(n), left: left, units: 1}, 10*time.Second)
					if a.closed {
						c = nil
					}
					took := a.answeredAt.Sub(a.sentAt)
					l.note("client %d: %s sent at %.3f, answer %d %v after %.3f s, new connection %v", n, id, l.at(a.sentAt), a.status, a.err, took.Seconds(), a.first)
					mu.Lock()
					sent[id] = a.sentAt
					if total++; a.status == 200 {
						served++
					}
					if a.err != nil {
						again++
					} else if took > left+late {
						lost++
					}
					mu.Unlock()
					if a.err == nil && took > left+late {
						l.breach("request %s with %v left was answered (%d) after %.3f s", id, left, a.status, took.Seconds())
					}
					if a.err == nil || a.first {
						break
					}
					// The gateway closed the connection between two requests: once more on a new one.
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	l.sleepUntil(upgradeAt)
	mu.Lock()
	l.say("before the upgrade: %d requests, %d served, %d lost", total, served, lost)
	mu.Unlock()
	if l.trouble {
		if _, err := g.startProcess(); err != nil {
			return err
		}
		if err := g.awaitControl(6 * time.Second); err != nil {
			return err
		}
		time.Sleep(overlap)
		first.signal(syscall.SIGTERM)
		l.say("SIGTERM to the old process")
		select {
		case <-first.ended:
		case <-time.After(3700 * time.Millisecond):
			first.signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	tooLong, most := 0, time.Duration(0)
	for _, s := range servers {
		for _, a := range s.all() {
			excess := a.left - sent[a.id].Add(left).Sub(a.begun)
			if most = max(most, excess); excess > slack {
				tooLong++
				l.breach("%s was told that %s has %v left, which is %v more than its client has", s.id, a.id, a.left, excess)
			}
		}
	}
	l.say("%d requests, %d served, %d sent once more, %d lost; %d servers were told too long a time, by %v at most", total, served, again, lost, tooLong, most)
	return nil
}
