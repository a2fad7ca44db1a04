package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaked-memory"] = leakedMemory }

// leakedMemory: for some time a share of the answers comes in pieces, where second copies are allowed.
// After that all is well again, and clients send bodies.
func leakedMemory(l *lab) error {
	const (
		from  = 4.0
		until = 50.0
		after = 56.0
		end   = 68.0

		share    = 0.05 // of the answers
		bodySize = 60 << 10
		left     = 1000 * time.Millisecond
		late     = 550 * time.Millisecond // half a second, and 50 ms on sockets
	)
	servers, err := startServers(8, 0)
	if err != nil {
		return err
	}
	long := bytes.Repeat([]byte("z"), 60<<10)
	for _, s := range servers {
		s.serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
			at, reply := l.at(time.Now()), long
			if rand.IntN(2) == 0 {
				reply = long[:20<<10]
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(reply)))
			if l.trouble && at > from && at < until && rand.Float64() < share {
				time.Sleep(200*time.Millisecond + rand.N(300*time.Millisecond))
				w.Write(reply[:len(reply)/4])
				http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
				w.Write(reply[len(reply)/4:])
				return
			}
			time.Sleep(40*time.Millisecond + rand.N(160*time.Millisecond))
			w.Write(reply)
		}
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("next-pick", "repeatable", 4), class("confirm-pick", "by_key", 4)}, []any{plan("small")})
	allowed := config["allowed"].(object)
	allowed["mayDuplicate"], allowed["mostTries"] = true, 6
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 32, "sockets": 512}, config)
	if _, err := g.startProcess(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var readers, clients, figures sync.WaitGroup
	for n := range 24 {
		readers.Go(func() {
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := newID()
				a := c.call(&request{id: id, class: "next-pick", method: "GET", plan: "small", customer: 10 + uint64(n), left: 3 * time.Second, units: 1}, 10*time.Second)
				l.note("reader %d: %s answer %d, %d bytes, %v", n, id, a.status, len(a.body), a.err)
				if a.closed {
					c = nil
				}
			}
		})
	}
	figures.Go(func() {
		for at := 2.0; at < end && l.ctx.Err() == nil; at += 4 {
			l.sleepUntil(at)
			for line := range bytes.SplitSeq(get(g.control, "/control/counters", time.Second).body, []byte("\n")) {
				if bytes.HasPrefix(line, []byte("app.transfers.memory:")) {
					l.note("the gateway's figures: %s", line)
				}
			}
		}
	})
	readers.Wait()
	l.say("from here on all answers come at once, and nobody but 4 clients sends requests")
	l.sleepUntil(after)
	var mu sync.Mutex
	served, lost, total := 0, 0, 0
	body := bytes.Repeat([]byte("y"), bodySize)
	for n := range 4 {
		clients.Go(func() {
			var c *client
			for l.at(time.Now()) < end && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := newID()
				a := c.call(&request{id: id, class: "confirm-pick", method: "POST", plan: "small", customer: 10 + uint64(n), left: left, units: 1, key: id, body: body}, 10*time.Second)
				took := a.answeredAt.Sub(a.sentAt)
				l.note("client %d: %s sent at %.3f, answer %d %v after %.3f s", n, id, l.at(a.sentAt), a.status, a.err, took.Seconds())
				mu.Lock()
				if total++; a.status == 200 {
					served++
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
	figures.Wait()
	l.say("from %.0f s after the last pieces on: %d requests with bodies, %d served, %d lost", after-until, total, served, lost)
	return nil
}
