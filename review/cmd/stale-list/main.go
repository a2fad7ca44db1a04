// Stale-list cuts the writer of a group of service registries off from the other two members. The group
// goes on without it, and a backend is drained there. A gateway that reads the list reaches all three.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review/standins"
)

const (
	leaseMs    = 3000
	backends   = 4
	drained    = "s-00"
	clients    = 6
	clientTime = 4000 // ms

	// What discovery has counts as told 6 s later; sends may go on for drainGraceS (1 s); every limit is
	// 50 ms longer on sockets.
	toldAfter = 6*time.Second + 1*time.Second + 50*time.Millisecond
	watched   = 16 * time.Second // from the drain on
)

var run = standins.Start()

func main() {
	group := run.NewGroup(leaseMs)
	run.WaitFor("the group has a writer", 10*time.Second, func() bool { return group.Writer() != nil })
	writer := group.Writer()
	run.Say("member %d writes", writer.Number)
	for _, m := range group.Members {
		run.WaitFor("the list is whole", 20*time.Second, func() bool {
			_, _, err := standins.Call(http.MethodGet, "http://"+m.Control+"/control/ready", nil, time.Second)
			return err == nil
		})
	}
	for n := range backends {
		name := fmt.Sprintf("s-%02d", n)
		instance := standins.BackendEntry(name, serveBackend(name), standins.Zones[n%3], standins.MachineType)
		instance.StartedAtMs = time.Now().Add(-time.Hour).UnixMilli()
		run.Register(group.Lists(), instance, leaseMs)
	}

	// A gateway with the addresses of all members. It asks one of them, drawn by its seed, as long as that
	// answers; the seed is drawn until it is the writer.
	gateway, listen := startGateway(group, writer)
	run.Say("the gateway is ready, and reads the list from member %d", writer.Number)
	var stop atomic.Bool
	var senders sync.WaitGroup
	for n := range clients {
		senders.Go(func() { client(listen, n, &stop) })
	}
	time.Sleep(2 * time.Second)

	rest := group.Lists()
	if run.Trouble {
		for n := range group.Members {
			if n != writer.Number {
				group.Cut(writer.Number, n, true)
			}
		}
		run.Say("member %d is cut off from the others; the gateway, the backends and the clients reach all of them", writer.Number)
		run.WaitFor("another member writes", 10*time.Second, func() bool {
			for n, m := range group.Members {
				if status, err := m.Status(); n != writer.Number && err == nil && status.Writer == n {
					run.Say("member %d writes", n)
					return true
				}
			}
			return false
		})
		time.Sleep(2 * time.Second)
		rest = nil
		for n, m := range group.Members {
			if n != writer.Number {
				rest = append(rest, m.Listen)
			}
		}
	}
	err := run.Write(rest, http.MethodPost, "/"+drained+"/lifecycle", map[string]any{"lifecycle": "Terminating", "startedAtMs": startOf(rest)}, 5*time.Second)
	run.Check(err, "drain")
	drainedAt := run.Now()
	drainTime.Store(int64(drainedAt))
	run.Say("the drain of %s was answered with 200; it counts as told at the latest %v later, and sends may go on for 1 s", drained, 6*time.Second)
	for run.Now() < drainedAt+watched && gateway.Alive() {
		time.Sleep(time.Second)
		run.Log("requests to %s since the drain %d, beyond the grace %d; %s", drained, since.Load(), beyond.Load(), ages(group))
	}
	stop.Store(true)
	senders.Wait()
	run.Say("sent %d, served %d, others %d; requests to %s before the drain %d, behind it %d, of these beyond all grace %d", sent.Load(), served.Load(), others.Load(), drained, before.Load(), since.Load(), beyond.Load())
	switch {
	case !gateway.Alive() || served.Load() == 0 || before.Load() == 0:
		run.Finish(standins.NotRun, "the gateway has ended, or nothing was served")
	case beyond.Load() > 0:
		run.Finish(standins.Broken, "%d requests were sent to a draining backend, the last %v behind the drain", beyond.Load(), time.Duration(last.Load()).Round(time.Millisecond))
	}
	run.Finish(standins.Held, "nothing was sent to the draining backend beyond the grace")
}

var sent, served, others, before, since, beyond, last, drainTime atomic.Int64

// ages tells what the members say of themselves.
func ages(group *standins.Group) (text string) {
	for n := 1; n <= 3; n++ {
		where, _, _ := standins.Call(http.MethodGet, "http://"+group.Members[n].Control+"/control/where", nil, time.Second)
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + group.Members[n].Listen + "/registry/instances")
		age := "none"
		if err == nil {
			resp.Body.Close()
			age = resp.Header.Get("X-Registry-Age-Ms")
		}
		text += fmt.Sprintf("member %d: age header %q, where %s; ", n, age, bytes.TrimSpace(where))
	}
	return text
}

// startOf returns the start of the backend as the list has it.
func startOf(lists []string) int64 {
	for _, address := range lists {
		if started, ok := standins.StartOf(address, drained); ok {
			return started
		}
	}
	run.Finish(standins.NotRun, "%s is not on the list", drained)
	return 0
}

// startGateway starts a gateway that reads the list from the writer.
func startGateway(group *standins.Group, writer *standins.Member) (*standins.Proc, string) {
	for try := range 40 {
		config, _ := run.CampusConfig(0)
		listen, control := run.FreeAddress(), run.FreeAddress()
		config["listen"], config["control"], config["counter"], config["registries"] = listen, control, counter, group.Lists()
		config["seed"] = fmt.Sprintf("%016x", rand.Uint64()>>1)
		delete(config, "discovery")
		path := run.WriteJSON(fmt.Sprintf("n0-%d.json", try), config)
		process := run.Launch("gateway-n0", run.GatewayCommand(), "EDGE_CONFIG="+path, "EDGE_NAME=n0", "EDGE_LISTEN="+listen)
		run.WaitFor("the gateway is ready", 10*time.Second, func() bool { return standins.Ready(listen) })
		time.Sleep(200 * time.Millisecond)
		if standins.Counter(writer.Control, "registry.watchers") == 1 {
			return process, listen
		}
		process.Kill()
		time.Sleep(100 * time.Millisecond)
	}
	run.Finish(standins.NotRun, "no gateway reads from the writer")
	return nil, ""
}

var counter = run.ServeCounter()

// serveBackend is a backend that answers each request after 50 ms. The time of a send counts from its
// first byte; the head comes in one piece here.
func serveBackend(name string) string {
	listener := run.Listen()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		if at := drainTime.Load(); name == drained {
			if behind := run.Now() - time.Duration(at); at == 0 {
				before.Add(1)
			} else {
				since.Add(1)
				run.Log("%s gets %s, %v behind the answer to its drain", name, id, behind.Round(time.Millisecond))
				if behind > toldAfter {
					beyond.Add(1)
					last.Store(int64(behind))
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintf(w, `{"id":%q}`, id)
	}))
	return listener.Addr().String()
}

// client sends a request each 200 ms.
func client(gateway string, number int, stop *atomic.Bool) {
	httpClient := &http.Client{Timeout: (clientTime + 500) * time.Millisecond}
	for n := 0; !stop.Load(); n++ {
		time.Sleep(200 * time.Millisecond)
		req, _ := http.NewRequest(http.MethodGet, "http://"+gateway+"/availability", nil)
		id := fmt.Sprintf("%02d%05d%08x", number, n, rand.Uint32())
		for key, value := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": "availability", "X-Tier": "empresarial",
			"X-Api-Key": fmt.Sprintf("%016x", 1000+number), "X-Time-Left-Ms": fmt.Sprint(clientTime), "X-Call-Terms": "units=1,spread=3,first=0"} {
			req.Header.Set(key, value)
		}
		sent.Add(1)
		resp, err := httpClient.Do(req)
		if err != nil {
			others.Add(1)
			run.Log("no answer to %s: %v", id, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			others.Add(1)
		}
	}
}
