package main

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-memory"] = upgradeMemory }

// upgradeMemory: an upgrade under load. The platform counts the memory of both processes together, and
// kills the gateway when it is over its limit.
func upgradeMemory(l *lab) error {
	const (
		memoryMB   = 64
		users      = 100 // of 512 descriptors, clients may hold a third
		bodySize   = 48 << 10
		answerSize = 60 << 10
		upgradeAt  = 8.0
		until      = 20.0
		overlap    = time.Second // from the yes of the new process to SIGTERM
		left       = 2 * time.Second
	)
	servers, err := startServers(8, 0)
	if err != nil {
		return err
	}
	reply := bytes.Repeat([]byte("z"), answerSize)
	for _, s := range servers {
		s.serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
			time.Sleep(100 * time.Millisecond)
			w.Write(reply)
		}
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	config := settings(1, 0, []any{class("availability", "repeatable", 3), class("reserve", "by_key", 3)}, []any{plan("basico")})
	g := l.newGateway("n0", d.address, "", object{"cores": 1, "memory_mb": memoryMB, "sockets": 512}, config)
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

	// The platform: it looks at the memory that is the processes' own, without the pages of files.
	var mu sync.Mutex
	processes, peak, killed := []*process{first}, int64(0), false
	stop := make(chan struct{})
	var platform sync.WaitGroup
	platform.Go(func() {
		over := 0
		for ticker := time.NewTicker(20 * time.Millisecond); ; {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			mu.Lock()
			list := append([]*process(nil), processes...)
			mu.Unlock()
			sum := int64(0)
			for _, p := range list {
				if p.alive() {
					anonymous, all := p.resident()
					if sum += anonymous; len(list) > 1 || peak == 0 {
						l.note("%s: %.1f MB of its own, %.1f MB with files", p.name, float64(anonymous)/(1<<20), float64(all)/(1<<20))
					}
				}
			}
			peak = max(peak, sum)
			if over++; sum <= memoryMB<<20 {
				over = 0
			}
			if over >= 2 { // in two looks, one after the other
				l.breach("the gateway holds %.1f MB in %d processes, over its limit of %d MB: the platform kills it", float64(sum)/(1<<20), len(list), memoryMB)
				for _, p := range list {
					p.signal(syscall.SIGKILL)
				}
				mu.Lock()
				killed = true
				mu.Unlock()
				return
			}
		}
	})
	dead := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return killed
	}

	var clients sync.WaitGroup
	body := bytes.Repeat([]byte("x"), bodySize)
	sent, served, unanswered := 0, 0, 0
	for n := range users {
		clients.Go(func() {
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil && !dead() {
				if c == nil {
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := newID()
				a := c.call(&request{id: id, class: "reserve", method: "POST", plan: "basico", customer: 10 + uint64(n), left: left, units: 1, key: id, body: body}, 4*time.Second)
				mu.Lock()
				if !a.unsent {
					sent++
				}
				if a.status == 200 {
					served++
				}
				if a.err != nil && !a.unsent {
					unanswered++
				}
				mu.Unlock()
				if a.err != nil {
					l.note("client %d: %s no answer: %v", n, id, a.err)
				}
				if a.closed {
					c = nil
				}
			}
		})
	}
	l.sleepUntil(upgradeAt)
	l.say("before the upgrade: %d requests, %d served, at most %.1f MB", sent, served, float64(peak)/(1<<20))
	if l.trouble && !dead() {
		second, err := g.startProcess()
		if err != nil {
			return err
		}
		mu.Lock()
		processes = append(processes, second)
		mu.Unlock()
		if err := g.awaitControl(6 * time.Second); err != nil && !dead() {
			return err
		}
		if time.Sleep(overlap); !dead() {
			first.signal(syscall.SIGTERM)
			l.say("SIGTERM to the old process")
			select {
			case <-first.ended:
			case <-time.After(3700 * time.Millisecond):
				first.signal(syscall.SIGKILL)
			}
		}
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	l.say("%d requests, %d served, %d without an answer; at most %.1f MB of %d", sent, served, unanswered, float64(peak)/(1<<20), memoryMB)
	return nil
}
