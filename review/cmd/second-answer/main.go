// Second-answer loads a gateway up to its limit of connections while some backends' answers come twice.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"review/standins"
)

const (
	backends   = 12
	clients    = 85 // a third of the gateway's 256 descriptors
	customers  = 60
	clientTime = 4000 // ms
	duration   = 35 * time.Second
	spoilt     = 0.01 // of the answers come a second time
)

var run = standins.Start()

func main() {
	var instances []standins.Instance
	for n := range backends {
		name := fmt.Sprintf("s-%02d", n)
		instances = append(instances, standins.BackendEntry(name, serveBackend(name), standins.Zones[n%3], standins.MachineType))
	}
	discovery, counter := run.ServeDiscovery(instances), run.ServeCounter()
	config, _ := run.CampusConfig(0)
	listen, control := run.FreeAddress(), run.FreeAddress()
	config["listen"], config["control"], config["discovery"], config["counter"] = listen, control, discovery.Address, counter
	path := run.WriteJSON("n0.json", config)
	gateway := run.Launch("gateway-n0", run.GatewayCommand(), "EDGE_CONFIG="+path, "EDGE_NAME=n0", "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+discovery.Address)
	run.WaitFor("the gateway is ready", 10*time.Second, func() bool { return standins.Ready(listen) })
	run.Say("the gateway is ready")

	var stop atomic.Bool
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { client(listen, n, &stop) })
	}
	for end := run.Now() + duration; run.Now() < end && gateway.Alive(); {
		time.Sleep(time.Second)
		run.Log("connections at backends %d; sent %d, served %d, refused or failed %d, second answers %d, foreign answers %d",
			open.Load(), sent.Load(), served.Load(), turnedAway.Load(), seconds.Load(), foreign.Load())
	}
	stop.Store(true)
	group.Wait()
	run.Say("sent %d, served %d, refused or failed %d, no answer %d, most connections at backends %d, second answers written %d", sent.Load(), served.Load(), turnedAway.Load(), unanswered.Load(), mostOpen.Load(), seconds.Load())
	switch {
	case !gateway.Alive():
		run.Finish(standins.NotRun, "the gateway has ended: %s", gateway.State())
	case served.Load() == 0 || run.Trouble && seconds.Load() == 0:
		run.Finish(standins.NotRun, "nothing was served, or no answer came twice")
	case foreign.Load() > 0:
		run.Finish(standins.Broken, "%d of %d requests were answered with 200 and the answer to another request, of another customer in %d of them", foreign.Load(), sent.Load(), foreignCustomer.Load())
	}
	run.Finish(standins.Held, "each request that was answered with 200 got its own answer")
}

var sent, served, turnedAway, unanswered, seconds, foreign, foreignCustomer, open, mostOpen atomic.Int64

// answer is the body of a backend's answer.
type answer struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Backend  string `json:"backend"`
}

// serveBackend is a backend that answers each whole request with 200 after its work of 170 to 300 ms.
func serveBackend(name string) string {
	listener := run.Listen()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			for now := open.Add(1); now > mostOpen.Load(); {
				mostOpen.Store(now)
			}
			go func() {
				defer open.Add(-1)
				defer conn.Close()
				serveConnection(name, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// serveConnection serves one request after the other. It writes some answers again some milliseconds
// after they were written.
func serveConnection(name string, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Correlation-Id")
		body, _ := json.Marshal(answer{id, request.Header.Get("X-Api-Key"), name})
		time.Sleep(170*time.Millisecond + rand.N(130*time.Millisecond))
		text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := conn.Write(text); err != nil {
			return
		}
		if run.Trouble && rand.Float64() < spoilt {
			time.AfterFunc(3*time.Millisecond+rand.N(7*time.Millisecond), func() {
				if _, err := conn.Write(text); err == nil {
					seconds.Add(1)
					run.Log("%s writes the answer to %s a second time", name, id)
				}
			})
		}
	}
}

// client sends requests one after the other, and honours Retry-After.
func client(gateway string, number int, stop *atomic.Bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !stop.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = standins.Dial(gateway); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id, customer := fmt.Sprintf("%02d%06d%08x", number, n, rand.Uint32()), fmt.Sprintf("%016x", 1000+rand.N(customers))
		sent.Add(1)
		fmt.Fprintf(conn, "GET /availability HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: availability\r\nX-Tier: empresarial\r\nX-Api-Key: %s\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=3,first=0\r\n\r\n", id, customer, clientTime)
		conn.SetReadDeadline(time.Now().Add((clientTime + 500) * time.Millisecond))
		resp, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			unanswered.Add(1)
			conn.Close()
			conn = nil
			continue
		}
		if resp.StatusCode != http.StatusOK {
			turnedAway.Add(1)
			wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(max(wait, 0.05) * float64(time.Second)))
		} else {
			served.Add(1)
			var got answer
			if json.Unmarshal(body, &got) != nil || got.ID != id {
				foreign.Add(1)
				if got.Customer != customer {
					foreignCustomer.Add(1)
				}
				run.Log("FOREIGN: request %s of customer %s was answered with 200 %s", id, customer, body)
			}
		}
		if resp.Close {
			conn.Close()
			conn = nil
		}
	}
}
