package main

import (
	"bytes"
	"sync"
	"time"
)

func init() { cases["body-memory"] = bodyMemory }

// bodyMemory: many clients send bodies slowly, more at a time than the memory for bodies holds, while
// others send short ones.
func bodyMemory(l *lab) error {
	const (
		uploaders = 250
		from      = 3.0
		until     = 23.0
		bodySize  = 64 << 10
		bodyRate  = 64e3
		left      = 480 * time.Millisecond
		late      = 550 * time.Millisecond // half a second, and 50 ms on sockets
	)
	servers, err := startServers(6, 100*time.Millisecond)
	if err != nil {
		return err
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("availability", "repeatable", 3), class("reserve", "by_key", 3)}, []any{plan("basico")})
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 32, "sockets": 1024}, config)
	if _, err := g.startProcess(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	body := bytes.Repeat([]byte("x"), bodySize)
	if l.trouble {
		for n := range uploaders {
			clients.Go(func() {
				l.sleepUntil(from + float64(n)/uploaders)
				var c *client
				for l.at(time.Now()) < until && l.ctx.Err() == nil {
					if c == nil {
						if c, err = connect(g.listen); err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					id := newID()
					a := c.call(&request{id: id, class: "reserve", method: "POST", plan: "basico", customer: 1000 + uint64(n), left: 2500 * time.Millisecond, units: 1,
						key: id, body: body, rate: bodyRate}, 10*time.Second)
					if l.note("uploader %d: %s %d %v", n, id, a.status, a.err); a.closed {
						c = nil
					}
				}
			})
		}
	}
	var mu sync.Mutex
	served, refused, failed, lost, worst := 0, 0, 0, 0, time.Duration(0)
	short := bytes.Repeat([]byte("y"), 8<<10)
	for n := range 10 {
		clients.Go(func() {
			l.sleepUntil(from + 2)
			var c *client
			for l.at(time.Now()) < until-2 && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := newID()
				a := c.call(&request{id: id, class: "reserve", method: "POST", plan: "basico", customer: 10 + uint64(n), left: left, units: 1, key: id, body: short}, 10*time.Second)
				took := a.answeredAt.Sub(a.sentAt)
				l.note("client %d: %s sent at %.3f, answer %d %v after %.3f s", n, id, l.at(a.sentAt), a.status, a.err, took.Seconds())
				mu.Lock()
				worst = max(worst, took)
				switch {
				case a.status == 200:
					served++
				case a.status == 429 || a.status == 503:
					refused++
				default:
					failed++
				}
				if a.err != nil || took > left+late {
					lost++
				}
				mu.Unlock()
				if a.err != nil || took > left+late {
					l.breach("request %s with %v left was answered (%d, %v) after %.3f s", id, left, a.status, a.err, took.Seconds())
				}
				if a.closed {
					c = nil
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	l.say("short bodies: %d served, %d refused, %d failed; the slowest answer after %.3f s; lost %d", served, refused, failed, worst.Seconds(), lost)
	return nil
}
