package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlintray/rules"
)

// The steps of a shutdown must be in order and end before the earliest SIGKILL, for any longest
// deadline.
func TestStopScheduleEndsBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, 7500 * time.Millisecond, time.Hour} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		schedule := newStopSchedule(longest)
		if schedule.closeIdle >= schedule.answersDue || schedule.closeListener > schedule.answersDue || schedule.answersDue >= schedule.finish || schedule.finish >= schedule.exit || schedule.exit >= kill {
			t.Errorf("longest deadline %v: %+v, kill at %v", longest, schedule, kill)
		}
		if schedule.closeIdle <= 0 || schedule.closeListener < 300*time.Millisecond {
			t.Errorf("longest deadline %v: %+v leaves no time for requests that still arrive", longest, schedule)
		}
	}
}

// A reload with a longer deadline must not delay the steps of a shutdown.
func TestStopFollowsShortestActiveDeadline(t *testing.T) {
	front := &frontend{}
	for n, step := range []struct{ deadline, want float64 }{{2, 2}, {7, 2}, {1, 1}, {3, 1}} {
		service := &serviceConfig{}
		service.Classes = []rules.Class{{Deadline: step.deadline}, {Deadline: step.deadline / 2}}
		front.applyService(service)
		if got := time.Duration(front.longestDeadline.Load()); got != seconds(step.want) {
			t.Errorf("settings %d: %v, want %v s", n, got, step.want)
		}
	}
}

// Connections in the accept queue must be served when the listener closes: their clients may have
// sent requests that the kernel has acknowledged.
func TestStopServesQueuedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(inner, 8)
	const queued = 20 // more than the listener's limit
	responses := make(chan string, queued)
	for range queued {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, requestText("GET", "lookup", ""))
		go func() {
			conn.SetDeadline(time.Now().Add(testTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				responses <- err.Error()
				return
			}
			responses <- resp.Status
		}()
	}
	server := &http.Server{ConnState: listener.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // so that the limit is reached
	})}
	defer server.Close()
	ended := make(chan error, 1)
	go func() { // accepting begins with the stop
		listener.mu.Lock()
		listener.drainingQueue = true
		listener.mu.Unlock()
		ended <- server.Serve(listener)
	}()
	listener.drainQueue()
	wait(t, ended, "end of accepting")
	for range queued {
		if got := wait(t, responses, "response"); !strings.HasPrefix(got, "200") && !strings.HasPrefix(got, "503") {
			t.Errorf("response on a queued connection: %s", got)
		}
	}
	if conn, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// When the process must exit, a request with an incomplete header or body must get an error, and a
// response without a length must end with a reset, so that its client does not take it as complete.
func TestStopEndsWhatIsIncomplete(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGatewayWith(t, func(text string) string { return strings.ReplaceAll(text, `"deadlineS": 20`, `"deadlineS": 1`) }, backend)
	head, _ := splitHead(requestText("POST", "booking", "x"))
	inHead := gateway.send(t, head)
	inBody := gateway.send(t, strings.TrimSuffix(requestText("POST", "booking", "pickup"), "up"))
	oldClient := gateway.send(t, strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1))
	backendConn, backendReader := backend.accept(t)
	readRequest(t, backendReader)
	io.WriteString(backendConn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*maxHeldBody))
	clientReader := bufio.NewReader(oldClient)
	resp, err := http.ReadResponse(clientReader, nil)
	if err != nil {
		t.Fatal(err)
	}
	gateway.awaitMetrics(t, "app.clients.busy:2|g", "app.clients.head:1|g")
	timerDelay := measureTimerDelay(t)
	start := time.Now()
	gateway.stop()
	for name, conn := range map[string]net.Conn{"in a head": inHead, "in a body": inBody} {
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || got.StatusCode < 400 || !got.Close {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
	if count, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("a response cut off after %d more bytes ended like a complete one", count)
	}
	if err := wait(t, gateway.ended, "end"); err == nil {
		t.Error("a response was cut off, and the shutdown returned no error")
	}
	// Delays of this process on a busy machine do not count as delays of the shutdown.
	if took, late := time.Since(start), timerDelay(); took-late > 1700*time.Millisecond {
		t.Errorf("the shutdown took %v, of which timers of this process were late by %v", took, late)
	} else {
		t.Logf("the shutdown took %v, of which timers of this process were late by %v", took, late)
	}
}

// measureTimerDelay starts to add up the delays of a periodic timer in this process. The function
// that it returns stops that and returns the sum.
func measureTimerDelay(t *testing.T) func() time.Duration {
	const tick = 10 * time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		total := time.Duration(0)
		for previous := time.Now(); ; previous = time.Now() {
			select {
			case <-stop:
				result <- total
				return
			case <-time.After(tick):
			}
			if late := time.Since(previous) - tick; late > tick {
				total += late
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return wait(t, result, "sum")
	}
}
