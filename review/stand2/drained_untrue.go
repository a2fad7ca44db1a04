package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

func init() { cases["drained-untrue"] = drainedUntrue }

// drainedUntrue: while an operator drains a server, a gateway is killed and started anew, and reaches no
// service registry for some seconds.
func drainedUntrue(l *lab) error {
	members, err := l.newGroup()
	if err != nil {
		return err
	}
	all := []*member{members[1], members[2], members[3]}
	for _, m := range all {
		if err := m.start(); err != nil {
			return err
		}
	}
	servers, err := startServers(3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	long := servers[0].serve
	servers[0].serve = func(w http.ResponseWriter, r *http.Request, body []byte) {
		if r.Header.Get("Idempotency-Key") != "long" {
			long(w, r, body)
			return
		}
		for range 24 { // an answer that takes 12 s
			w.Write(bytes.Repeat([]byte("z"), 4<<10))
			http.NewResponseController(w).Flush()
			time.Sleep(500 * time.Millisecond)
		}
	}
	known := []any{}
	for _, s := range servers {
		known = append(known, instance{ID: s.id, HostPort: s.address, Zone: s.zone, MachineType: "std-3c", Cell: 1, Lifecycle: "Ready", Weight: 1, StartedAtMs: 1764600000000})
	}
	put := func() {
		for _, s := range servers {
			body, _ := json.Marshal(object{"hostPort": s.address, "zone": s.zone, "machineType": "std-3c", "startedAtMs": 1764600000000})
			for _, m := range all {
				request, _ := http.NewRequest(http.MethodPut, "http://"+m.lists+"/registry/instances/"+s.id, bytes.NewReader(body))
				if response, err := http.DefaultClient.Do(request); err == nil {
					response.Body.Close()
					if response.StatusCode == 200 {
						break
					}
				}
			}
		}
	}
	go func() {
		for l.ctx.Err() == nil {
			put()
			time.Sleep(2 * time.Second)
		}
	}()
	l.sleepUntil(13) // a lease after the group's begin its list is whole
	var gateways []*gateway
	var ways []*way
	var processes []*process
	for n := range 2 {
		config := settings(2, n, []any{class("availability", "repeatable", 4), class("reserve", "by_key", 4)}, []any{plan("basico")})
		g := l.newGateway(fmt.Sprintf("n%d", n), "", "", object{"cores": 1, "memory_mb": 64, "sockets": 512}, config)
		registries := []any{}
		for _, m := range all {
			w, err := newWay(m.lists)
			if err != nil {
				return err
			}
			registries = append(registries, w.address)
			if n == 1 {
				ways = append(ways, w)
			}
		}
		g.document["registries"] = registries
		g.document["known"] = object{"generation": 1, "reset": true, "instances": known}
		delete(g.document, "discovery")
		g.writeConfig()
		p, err := g.startProcess()
		if err != nil {
			return err
		}
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
		gateways, processes = append(gateways, g), append(processes, p)
	}
	const until = 45.0
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			g := gateways[n%2]
			var c *client
			for l.at(time.Now()) < until && l.ctx.Err() == nil {
				if c == nil {
					var err error
					if c, err = connect(g.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				a := c.call(&request{id: newID(), class: "availability", method: "GET", plan: "basico", customer: 10 + uint64(n), left: 2 * time.Second, units: 1, spread: 2}, 5*time.Second)
				if a.closed {
					c = nil
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := range 6 { // one of them meets the server that is drained
		clients.Go(func() {
			c, err := connect(gateways[0].listen)
			if err == nil {
				a := c.call(&request{id: newID(), class: "reserve", method: "POST", plan: "basico", customer: 50 + uint64(n), left: 3 * time.Second, units: 1, spread: 2, key: "long", body: []byte("x")}, 30*time.Second)
				l.note("long %d: %d, %d bytes, %v", n, a.status, len(a.body), a.err)
			}
		})
	}
	time.Sleep(time.Second)
	list := func(address func(*member) string) string {
		var parts []string
		for _, m := range all {
			parts = append(parts, address(m))
		}
		return strings.Join(parts, ",")
	}
	drain := exec.CommandContext(l.ctx, "bin/dunlintray", "drain", "--group", list(func(m *member) string { return m.internal }), "--lists", list(func(m *member) string { return m.lists }),
		"--gateways", gateways[0].control+","+gateways[1].control, "--why", "disk", "--within", "30s", servers[0].id)
	drain.Dir = l.root
	var output bytes.Buffer
	drain.Stdout, drain.Stderr = &output, &output
	if err := drain.Start(); err != nil {
		return err
	}
	l.say("drain of %s begins", servers[0].id)
	if time.Sleep(4 * time.Second); l.trouble {
		control := gateways[1].control
		processes[1].kill()
		for _, w := range ways {
			w.setCut(true)
		}
		g := gateways[1]
		if _, err := g.startProcessAt(control); err != nil {
			return err
		}
		l.say("gateway n1 was killed and started anew; it reaches no service registry")
	}
	drainErr := drain.Wait()
	done := time.Now()
	l.say("drain ended: %v: %s", drainErr, strings.TrimSpace(output.String()))
	time.Sleep(6 * time.Second)
	after := 0
	for _, a := range servers[0].all() {
		if a.begun.After(done) {
			after++
		}
	}
	if drainErr == nil && after > 0 {
		l.breach("%s got %d requests in the 6 s after it was said to be drained", servers[0].id, after)
	}
	l.say("%s got %d requests in the 6 s after the end of the command", servers[0].id, after)
	return nil
}
