package main

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["guessed-units"] = guessedUnits }

// guessedUnits: a customer under a ceiling names more units than its requests turn out to take.
func guessedUnits(l *lab) error {
	const (
		until        = 25.0
		guess        = 4.0
		ceilingRate  = 29.0
		ceilingBurst = 58.0
		capSlack     = 5.8
	)
	truth := guess
	if l.trouble {
		truth = 1
	}
	servers, err := startServers(4, 0)
	if err != nil {
		return err
	}
	for _, s := range servers {
		s.serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Cost-Units", fmt.Sprint(int(truth)))
			fmt.Fprintf(w, "done %s", r.Header.Get("X-Correlation-Id"))
		}
	}
	d, err := l.newDiscovery(servers...)
	if err != nil {
		return err
	}
	c, err := newCounter()
	if err != nil {
		return err
	}
	enterprise := plan("empresarial")
	enterprise["unitsPerS"], enterprise["depth"], enterprise["beyondCosts"] = 16, 32, 1.2
	enterprise["neverOverRate"], enterprise["ceilingBurst"], enterprise["capSlack"] = ceilingRate, ceilingBurst, capSlack
	var gateways []*gateway
	for rank := range 2 {
		config := settings(2, rank, []any{class("availability", "repeatable", 3)}, []any{enterprise})
		info := config["familyInfo"].(object)
		info["hasCounter"], info["truedUp"] = true, true
		g := l.newGateway(fmt.Sprintf("n%d", rank), d.address, c.address, object{"cores": 1, "memory_mb": 64, "sockets": 512}, config)
		if _, err := g.startProcess(); err != nil {
			return err
		}
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			g := gateways[n%len(gateways)]
			conn, err := connect(g.listen)
			for err == nil && l.at(time.Now()) < until && l.ctx.Err() == nil {
				a := conn.call(&request{id: newID(), class: "availability", method: "GET", plan: "empresarial", customer: 0xb4d65521, left: 2 * time.Second,
					units: guess, spread: 2}, 5*time.Second)
				err = a.err
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	// The second store of the customer: each request id draws its guess when its first attempt has come whole.
	var attempts []attempt
	for _, s := range servers {
		attempts = append(attempts, s.all()...)
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return a.whole.Compare(b.whole) })
	store, last, lowest, drawn := ceilingBurst, l.start, ceilingBurst, map[string]bool{}
	for _, a := range attempts {
		if drawn[a.id] {
			continue
		}
		drawn[a.id] = true
		store = math.Min(store+ceilingRate*a.whole.Sub(last).Seconds(), ceilingBurst)
		last = a.whole
		store -= guess
		lowest = math.Min(lowest, store)
		l.note("%9.3f %s ran %s, the ceiling's store holds %.2f", l.at(a.whole), a.server, a.id, store)
		if limit := -(capSlack + 0.15*ceilingRate); store < limit {
			l.breach("the ceiling's store fell to %.2f units, %.2f are allowed", store, limit)
		}
	}
	l.say("%d requests were sent on, the ceiling's store was lowest at %.2f", len(drawn), lowest)
	return nil
}
