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

// All times of a stop are in order and before the earliest kill, whatever the longest
// deadline of a class is.
func TestStopScheduleEndsBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, 7500 * time.Millisecond, time.Hour} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		s := newStopSchedule(longest)
		if s.closeIdle >= s.answersDue || s.closeListener > s.answersDue || s.answersDue >= s.finish || s.finish >= s.exit || s.exit >= kill {
			t.Errorf("longest deadline %v: %+v, kill at %v", longest, s, kill)
		}
		if s.closeIdle <= 0 || s.closeListener < 300*time.Millisecond {
			t.Errorf("longest deadline %v: %+v leaves no time for what still comes", longest, s)
		}
	}
}

// Of all settings that a process has had, those with the nearest end count for a stop.
func TestStopFollowsShortestActiveDeadline(t *testing.T) {
	f := &frontend{}
	for n, c := range []struct{ deadline, want float64 }{{2, 2}, {7, 2}, {1, 1}, {3, 1}} {
		s := &serviceConfig{}
		s.Classes = []rules.Class{{Deadline: c.deadline}, {Deadline: c.deadline / 2}}
		f.applyService(s)
		if got := time.Duration(f.longestDeadline.Load()); got != seconds(c.want) {
			t.Errorf("settings %d: %v, want %v s", n, got, c.want)
		}
	}
}

// Connections that stand in the queue of a listener when it closes are taken: their clients
// may have written requests that this machine has acknowledged.
func TestStopServesQueuedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClientListener(inner, 8)
	const queued = 20 // more than there are places
	answers := make(chan string, queued)
	for range queued {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, requestText("GET", "lookup", ""))
		go func() {
			c.SetDeadline(time.Now().Add(testTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				answers <- err.Error()
				return
			}
			answers <- resp.Status
		}()
	}
	server := &http.Server{ConnState: l.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // so that places are wanted
	})}
	defer server.Close()
	ended := make(chan error, 1)
	go func() { // accepting begins with the stop
		l.mu.Lock()
		l.drainingQueue = true
		l.mu.Unlock()
		ended <- server.Serve(l)
	}()
	l.drainQueue()
	wait(t, ended, "end of accepting")
	for range queued {
		if got := wait(t, answers, "answer"); !strings.HasPrefix(got, "200") && !strings.HasPrefix(got, "503") {
			t.Errorf("a connection of the queue: %s", got)
		}
	}
	if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// A request whose head or body is not whole when the process has to end gets an error, and
// an answer whose client could take a part for the whole ends with a reset.
func TestStopEndsWhatIsIncomplete(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newTestGatewayWith(t, func(text string) string { return strings.ReplaceAll(text, `"deadlineS": 20`, `"deadlineS": 1`) }, backend)
	head, _ := splitHead(requestText("POST", "booking", "x"))
	inHead := r.send(t, head)
	inBody := r.send(t, strings.TrimSuffix(requestText("POST", "booking", "pickup"), "up"))
	old := r.send(t, strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1))
	to, br := backend.accept(t)
	readRequest(t, br)
	io.WriteString(to, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*maxHeldBody))
	from := bufio.NewReader(old)
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.awaitMetrics(t, "app.clients.busy:2|g", "app.clients.head:1|g")
	late := measureTimerDelay(t)
	began := time.Now()
	r.stop()
	for what, c := range map[string]net.Conn{"in a head": inHead, "in a body": inBody} {
		got, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || got.StatusCode < 400 || !got.Close {
			t.Errorf("%s: %v, %v", what, got, err)
		}
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("%d more bytes passed for the whole", n)
	}
	if err := wait(t, r.ended, "end"); err == nil {
		t.Error("an answer was cut, and the stop told of no error")
	}
	// What this process stood still for, as beside other tests on a busy machine, is no delay of
	// the stop's own.
	if took, stood := time.Since(began), late(); took-stood > 1700*time.Millisecond {
		t.Errorf("it took %v, of which this process stood still for %v", took, stood)
	} else {
		t.Logf("it took %v, of which this process stood still for %v", took, stood)
	}
}

// measureTimerDelay begins to measure by how much timers of this process come late, all together. The
// function that it returns ends that.
func measureTimerDelay(t *testing.T) func() time.Duration {
	const tick = 10 * time.Millisecond
	end, total := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		sum := time.Duration(0)
		for before := time.Now(); ; before = time.Now() {
			select {
			case <-end:
				total <- sum
				return
			case <-time.After(tick):
			}
			if late := time.Since(before) - tick; late > tick {
				sum += late
			}
		}
	}()
	return func() time.Duration {
		close(end)
		return wait(t, total, "sum")
	}
}
