package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["second-copy"] = secondCopy }

// secondCopy: a quarter of the servers hang while clients send bodies in chunks, and second copies are allowed.
func secondCopy(l *lab) error {
	const (
		bodiesFrom = 6.0 // before, the gateway learns how long answers take
		hangFrom   = 9.0
		until      = 28.0
		hanging    = 2   // of 8 servers at a time
		hangFor    = 6.0 // seconds; then the next two hang
	)
	servers, err := startServers(8, 0)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	bodies := map[string][]byte{} // of the clients, by id
	changed := map[string]int{}   // requests whose body a server got otherwise
	for _, s := range servers {
		s.serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
			id := r.Header.Get("X-Correlation-Id")
			mu.Lock()
			want, known := bodies[id]
			same := known && bytes.Equal(want, body) || len(body) == 0 && r.Method == "GET"
			if !same {
				changed[id] = len(body)
			}
			mu.Unlock()
			if !same {
				l.breach("%s ran request %s with a body of %d bytes that nobody sent; its client sent %d", s.id, id, len(body), len(want))
			}
			if at := l.at(time.Now()); l.trouble && at > hangFrom && slices.Index(servers, s)/hanging == int((at-hangFrom)/hangFor) {
				l.note("%s hangs with %s", s.id, id)
				select { // hangs in the middle of its work
				case <-r.Context().Done():
				case <-l.ctx.Done():
				}
				return
			}
			work := 50 * time.Millisecond
			if rand.IntN(2) == 0 {
				work = 250 * time.Millisecond // so that no second copy is due while all is well
			}
			time.Sleep(work)
			fmt.Fprintf(w, "booked %s with %d bytes", id, len(body))
		}
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	keyed := class("confirm-pick", "by_key", 4)
	keyed["windowS"], keyed["keyScope"] = 4, "all"
	config := settings(1, 0, []any{class("next-pick", "repeatable", 4), keyed}, []any{plan("small")})
	allowed := config["allowed"].(object)
	allowed["mayDuplicate"], allowed["mostTries"] = true, 6
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": 64, "sockets": 512}, config)
	if _, err := g.startProcess(); err != nil {
		return err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	wrong := 0
	served := 0
	for n := range 12 {
		clients.Go(func() {
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				if l.at(time.Now()) < bodiesFrom {
					a := c.call(&request{id: newID(), class: "next-pick", method: "GET", plan: "small", customer: 10 + uint64(n), left: 2 * time.Second, units: 1}, 10*time.Second)
					if a.closed {
						c = nil
					}
					continue
				}
				id := newID()
				body := fmt.Appendf(nil, "%s%s", id, bytes.Repeat([]byte{byte('a' + n)}, 16<<10))
				mu.Lock()
				bodies[id] = body
				mu.Unlock()
				a := c.call(&request{id: id, class: "confirm-pick", method: "POST", plan: "small", customer: 10 + uint64(n), left: 2 * time.Second, units: 1,
					key: id, body: body, rate: 64e3, chunked: true}, 10*time.Second)
				l.note("client %d: %s answer %d %q %v after %.3f s", n, id, a.status, a.body, a.err, a.answeredAt.Sub(a.sentAt).Seconds())
				if a.closed {
					c = nil
				}
				if a.status == 200 {
					want := fmt.Sprintf("booked %s with %d bytes", id, len(body))
					mu.Lock()
					if served++; string(a.body) != want {
						wrong++
					}
					mu.Unlock()
					if string(a.body) != want {
						l.breach("the client of %s got %q, its request asked for %q", id, a.body, want)
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	l.say("%d requests with bodies, %d served; %d ran with another body, %d clients got an answer to it", len(bodies), served, len(changed), wrong)
	return nil
}
