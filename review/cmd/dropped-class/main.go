// Dropped-class drops a class from a gateway's settings while bodies of requests of that class still arrive.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standins"
)

const (
	bodyBytes  = 256 << 10
	bodyRate   = 64 << 10 // bytes a second, as the page of daily operation allows
	uploads    = 3
	browsers   = 15
	workTime   = 200 * time.Millisecond
	newClass   = "pickup"
	clientTime = 4000 // ms
)

var run = standins.Start()

func main() {
	// The platform: discovery, counter and three backends.
	var instances []standins.Instance
	for n := range 12 {
		name := fmt.Sprintf("s-%02d", n)
		instances = append(instances, standins.BackendEntry(name, serveBackend(name), standins.Zones[n%3], standins.MachineType))
	}
	discovery, counter := run.ServeDiscovery(instances), run.ServeCounter()

	// Three gateways. The first SIGHUP adds a class that may not run twice, the second drops it.
	var gateways []*gateway
	for n := range 3 {
		g := &gateway{rank: n, listen: run.FreeAddress()}
		config, _ := run.CampusConfig(n)
		config["listen"], config["control"], config["discovery"], config["counter"] = g.listen, run.FreeAddress(), discovery.Address, counter
		g.config = config
		g.writeConfig(false)
		g.process = run.Launch(fmt.Sprintf("gateway-n%d", n), run.GatewayCommand(), "EDGE_CONFIG="+g.path, fmt.Sprintf("EDGE_NAME=n%d", n), "EDGE_LISTEN="+g.listen, "EDGE_DISCOVERY="+discovery.Address)
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		run.WaitFor("the gateway is ready", 10*time.Second, func() bool { return standins.Ready(g.listen) })
	}
	run.Say("the gateways are ready")

	// Clients that ask for availability, one request after the other on each connection.
	var stop atomic.Bool
	var clients sync.WaitGroup
	for n := range browsers {
		clients.Go(func() { browse(gateways[n%3].listen, n, &stop) })
	}
	time.Sleep(1500 * time.Millisecond) // no SIGHUP in the first second

	for _, g := range gateways {
		g.writeConfig(true)
		g.process.Signal(syscall.SIGHUP)
	}
	run.Say("first SIGHUP: class %s is added", newClass)
	time.Sleep(2 * time.Second) // clients name the new class from 1.2 s on

	for n := range uploads {
		clients.Go(func() { upload(gateways[n%3].listen, n) })
	}
	time.Sleep(1500 * time.Millisecond)
	if run.Trouble {
		for _, g := range gateways {
			g.writeConfig(false)
			g.process.Signal(syscall.SIGHUP)
		}
		run.Say("second SIGHUP: class %s is dropped; bodies of its requests still arrive", newClass)
	}
	time.Sleep(6 * time.Second)
	stop.Store(true)
	clients.Wait()
	run.Say("sent %d, answered %d (200: %d), connection ended without an answer %d, connection refused %d", sent.Load(), answered.Load(), served.Load(), lost.Load(), refused.Load())
	crashed := 0
	for _, g := range gateways {
		if !g.process.Alive() {
			crashed++
		}
	}
	switch {
	case crashed > 0:
		run.Finish(standins.Broken, "%d of 3 gateways crashed after SIGHUP; %d requests that they had taken were lost", crashed, lost.Load())
	case lost.Load() > 0:
		run.Finish(standins.Broken, "%d requests were lost", lost.Load())
	}
	run.Finish(standins.Held, "the gateways run on, and all requests have their answers")
}

// gateway is one gateway and the platform's file for it.
type gateway struct {
	rank    int
	listen  string
	config  map[string]any
	path    string
	process *standins.Proc
}

// writeConfig writes the gateway's file, with the new class or without it.
func (g *gateway) writeConfig(withClass bool) {
	classes := []any{standins.Class("availability", "repeatable", 1, 2, 6, 0, 0), standins.Class("reserve", "by_key", 3, 1.5, 7.5, 0.2, 15)}
	if withClass {
		classes = append(classes, standins.Class(newClass, "once", 5, 1.5, 6, 0, 0))
	}
	g.config["settings"].(map[string]any)["classes"] = classes
	g.path = run.WriteJSON(fmt.Sprintf("n%d.json", g.rank), g.config)
}

var sent, answered, served, lost, refused atomic.Int64

// serveBackend is a backend that answers each whole request with 200 after its work.
func serveBackend(name string) string {
	listener := run.Listen()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		run.Log("%s runs %s %s, %d bytes", name, r.URL.Path, id, n)
		time.Sleep(workTime)
		json.NewEncoder(w).Encode(map[string]string{"id": id})
	}))
	return listener.Addr().String()
}

func head(method, class string, customer int, id string, rest string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: empresarial\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=3,first=0\r\n%s\r\n",
		method, class, id, class, 1000+customer, clientTime, rest)
}

// browse sends requests on one connection until stop.
func browse(gateway string, number int, stop *atomic.Bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !stop.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = standins.Dial(gateway); err != nil {
				refused.Add(1)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("b%02d%05d%08x", number, n, rand.Uint32())
		if !exchange(conn, reader, "availability", id, func() error {
			_, err := io.WriteString(conn, head("GET", "availability", number, id, ""))
			return err
		}) {
			conn.Close()
			conn = nil
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// upload sends one request whose body comes at bodyRate.
func upload(gateway string, number int) {
	conn, err := standins.Dial(gateway)
	if err != nil {
		refused.Add(1)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("u%02d%08x", number, rand.Uint32())
	exchange(conn, bufio.NewReader(conn), newClass, id, func() error {
		if _, err := io.WriteString(conn, head("POST", newClass, 500+number, id, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))); err != nil {
			return err
		}
		const piece = 4 << 10
		for n := 0; n < bodyBytes; n += piece {
			if _, err := conn.Write(make([]byte, piece)); err != nil {
				return err
			}
			time.Sleep(time.Second * piece / bodyRate)
		}
		run.Log("the last byte of %s is sent", id)
		return nil
	})
}

// exchange sends a request and reads its answer. It returns false if the connection has ended.
func exchange(conn net.Conn, reader *bufio.Reader, class, id string, send func() error) bool {
	sent.Add(1)
	run.Log("sent %s %s", class, id)
	err := send()
	whole := err == nil
	conn.SetReadDeadline(time.Now().Add((clientTime + 1000) * time.Millisecond))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(reader, nil)
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		if whole { // else the gateway has not taken it
			lost.Add(1)
		}
		run.Log("no answer to %s %s: %v", class, id, err)
		return false
	}
	answered.Add(1)
	if resp.StatusCode == http.StatusOK {
		served.Add(1)
	}
	run.Log("answer to %s %s: %d %.60q", class, id, resp.StatusCode, body)
	return !resp.Close
}
