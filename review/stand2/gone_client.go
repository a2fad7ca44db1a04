package main

import (
	"bytes"
	"sync"
	"time"
)

func init() { cases["gone-client"] = goneClient }

// goneClient: clients send a long body and leave, while their requests wait for their turn.
func goneClient(l *lab) error {
	const (
		until    = 20.0
		bodySize = 300 << 10
		allowed  = 150 * time.Millisecond // 0.1 s, and 50 ms on sockets
	)
	servers, err := startServers(2, 300*time.Millisecond)
	if err != nil {
		return err
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("availability", "repeatable", 6), class("reserve", "by_key", 6)}, []any{plan("basico")})
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 64, "sockets": 512}, config)
	if _, err := g.startProcess(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for n := range 20 {
		clients.Go(func() {
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				a := c.call(&request{id: newID(), class: "availability", method: "GET", plan: "basico", customer: 10 + uint64(n), left: 4 * time.Second, units: 1}, 10*time.Second)
				if a.closed {
					c = nil
				}
			}
		})
	}
	var mu sync.Mutex
	closed := map[string]time.Time{}
	if l.trouble {
		body := bytes.Repeat([]byte("x"), bodySize)
		for n := range 4 {
			clients.Go(func() {
				for l.at(time.Now()) < until && l.ctx.Err() == nil {
					time.Sleep(300 * time.Millisecond)
					c, err := connect(g.listen)
					if err != nil {
						continue
					}
					id := newID()
					r := &request{id: id, class: "reserve", method: "POST", plan: "basico", customer: 100 + uint64(n), left: 4 * time.Second, units: 1, key: id, body: body}
					c.conn.SetDeadline(time.Now().Add(5 * time.Second))
					_, err = c.conn.Write(append([]byte(r.head()), body...))
					time.Sleep(20 * time.Millisecond)
					c.close()
					mu.Lock()
					closed[id] = time.Now()
					mu.Unlock()
					l.note("client %d: %s sent whole (%v) and closed", n, id, err)
				}
			})
		}
	}
	clients.Wait()
	count, most := 0, time.Duration(0)
	for _, s := range servers {
		for _, a := range s.all() {
			if at, left := closed[a.id]; left {
				late := a.begun.Sub(at)
				if most = max(most, late); late > allowed {
					count++
					l.breach("%s: the attempt of %s began %v after its client had closed, and ran", s.id, a.id, late)
				}
			}
		}
	}
	l.say("%d clients left; %d attempts began too late, by %v at most", len(closed), count, most)
	return nil
}
