package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/testnet"
)

const (
	maxCountedDeadline = 3 * time.Second        // cap of the longest deadline
	killGrace          = 700 * time.Millisecond // from that deadline to SIGKILL
)

// platform runs the processes of one gateway as the deployment platform does: it holds the client
// socket, serves discovery's list, sends signals, and sends SIGKILL at the earliest allowed moment.
type platform struct {
	t         *testing.T
	address   string
	listener  *os.File // inherited by each process; nil: each process listens by itself
	program   string   // of the processes; empty: the test binary
	dir       string
	config    string // path
	discovery *httptest.Server

	mu       sync.Mutex
	backends []*server // does not change once processes run; a process of another test may ask before
	settings platformSettings
}

// platformSettings are the settings that a new configuration may change.
type platformSettings struct {
	Deadline     time.Duration // the longest of all classes
	Sockets      int
	MemoryMB     int  // 0: 64
	Extra        bool // with one more class
	NoCancel     bool // attempts that are not needed any more run on
	SecondCopies bool // a request may be sent to a second backend while the first attempt runs
}

// killAfter is the time from SIGTERM to the earliest SIGKILL.
func (s platformSettings) killAfter() time.Duration {
	return min(s.Deadline, maxCountedDeadline) + killGrace
}

// document returns the configuration file.
func (s platformSettings) document(listen, discovery string) string {
	class := func(name, effect string, deadline time.Duration) map[string]any {
		return map[string]any{"name": name, "effect": effect, "keyScope": "all", "windowS": 10, "points": 1,
			"objectiveS": deadline.Seconds() / 2, "deadlineS": deadline.Seconds(), "lateWorth": 0.2}
	}
	classes := []any{class("safe", "repeatable", s.Deadline*4/5), class("keyed", "by_key", s.Deadline), class("unsafe", "once", s.Deadline)}
	if s.Extra {
		classes = append(classes, class("extra", "repeatable", s.Deadline))
	}
	document := map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": cmp.Or(s.MemoryMB, 64), "sockets": s.Sockets},
		"settings": map[string]any{"fleetSize": 1, "localities": []string{"a"}, "kinds": []string{"m"}, "tickS": 0.002,
			"allowed": map[string]any{"cancel": !s.NoCancel, "mayDuplicate": s.SecondCopies, "mostTries": 3, "connectTimeoutS": 0.25, "keepaliveS": 15, "maxRetryAfterS": 0.5,
				"retryAfter": true, "maxOpen": 20000},
			"obligations": map[string]any{"answerSlackS": 0.02, "drainGraceS": 1},
			"familyInfo":  map[string]any{"mostUnits": 4},
			"classes":     classes, "packages": []any{map[string]any{"name": "p", "pays": 1}}}}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen for these types
	}
	return string(text)
}

// newPlatform starts discovery and backends. An inherited socket stays open between processes;
// without one, nobody listens for a while during a restart.
func newPlatform(t *testing.T, inherited bool, settings platformSettings, backends int, checker *requestChecker) *platform {
	t.Helper()
	platform := &platform{t: t, dir: t.TempDir(), settings: settings}
	for index := range backends {
		backend := newServer(fmt.Sprintf("s-%d", index), checker)
		t.Cleanup(backend.http.Close)
		platform.backends = append(platform.backends, backend)
	}
	if inherited {
		listener := testnet.Listener(t)
		defer listener.Close() // the file keeps the socket open
		platform.address = listener.Addr().String()
		var err error
		if platform.listener, err = listener.File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { platform.listener.Close() })
	} else {
		platform.address = testnet.TCP(t)
	}
	platform.discovery = httptest.NewServer(http.HandlerFunc(platform.serveList))
	t.Cleanup(platform.discovery.Close)
	platform.config = filepath.Join(platform.dir, "config.json")
	platform.configure(settings)
	return platform
}

// serveList answers like discovery, with a list that never changes.
func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("since") {
		<-r.Context().Done()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var instances []any
	for _, backend := range p.backends {
		instances = append(instances, map[string]any{"instanceId": backend.name, "hostPort": strings.TrimPrefix(backend.http.URL, "http://"), "zone": "a",
			"machineType": "m", "lifecycle": "Ready", "weight": 1})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": 1, "reset": true, "instances": instances})
}

// configure replaces the configuration file atomically.
func (p *platform) configure(s platformSettings) {
	p.t.Helper()
	p.mu.Lock()
	p.settings = s
	p.mu.Unlock()
	text := s.document(p.address, strings.TrimPrefix(p.discovery.URL, "http://"))
	next := p.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(next, p.config); err != nil {
		p.t.Fatal(err)
	}
}

func (p *platform) current() platformSettings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// gatewayProcess is one process of the gateway.
type gatewayProcess struct {
	t       *testing.T
	cmd     *exec.Cmd
	log     lockedBuffer
	control string
	ended   chan struct{} // closed once the process has ended
}

// start starts a process and waits until it is ready.
func (p *platform) start() *gatewayProcess {
	p.t.Helper()
	process := p.launch()
	awaitAnswer(p.t, "http://"+process.control+"/control/ready", "200 OK")
	return process
}

// launch starts a process.
func (p *platform) launch() *gatewayProcess {
	p.t.Helper()
	process := &gatewayProcess{t: p.t, control: testnet.TCP(p.t), ended: make(chan struct{})}
	process.cmd = exec.Command(cmp.Or(p.program, os.Args[0]))
	process.cmd.Env = append(os.Environ(), "GATEWAY_AS_COMMAND=1", "EDGE_CONFIG="+p.config, "EDGE_CONTROL="+process.control,
		"GORACE=atexit_sleep_ms=0") // otherwise the race detector delays the end of a process by a second
	if p.listener != nil {
		process.cmd.ExtraFiles = []*os.File{p.listener}
		process.cmd.Env = append(process.cmd.Env, "EDGE_FD=3", "TMPDIR="+p.dir)
	}
	process.cmd.Stderr = &process.log
	if err := process.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(process.ended)
		process.cmd.Wait()
	}()
	p.t.Cleanup(func() { process.cmd.Process.Kill(); <-process.ended })
	return process
}

func (g *gatewayProcess) signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

// freeze suspends the process for a while.
func (g *gatewayProcess) freeze(d time.Duration) {
	g.signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.signal(syscall.SIGCONT)
}

// kill sends SIGKILL and waits for the end of the process.
func (g *gatewayProcess) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// terminate sends SIGTERM, and SIGKILL if the process still runs after killAfter. It returns the time
// from SIGTERM to the end of the process.
func (g *gatewayProcess) terminate(killAfter time.Duration) (lived time.Duration, killed bool) {
	began := time.Now()
	g.signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(killAfter):
		g.signal(syscall.SIGKILL)
		<-g.ended
		killed = true
	}
	return time.Since(began), killed
}

// lockedBuffer is a buffer that may be read and written concurrently.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// serverBehaviour is how a server answers a request.
type serverBehaviour int

const (
	answers serverBehaviour = iota
	answersLate
	hangs
	resets
	fails
	answersWithoutLength // the body ends with the connection
	answersLong          // in chunks
	failsLate            // has not run
)

// longAnswer is the text after the start of a long answer.
var longAnswer = strings.Repeat("x", 300<<10)

// server is a backend whose behaviour is drawn anew for each request.
type server struct {
	name    string
	http    *httptest.Server
	checker *requestChecker

	mu   sync.Mutex
	draw func() (serverBehaviour, time.Duration)
}

func newServer(name string, checker *requestChecker) *server {
	s := &server{name: name, checker: checker, draw: func() (serverBehaviour, time.Duration) { return answers, 0 }}
	s.http = httptest.NewUnstartedServer(s)
	s.http.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	s.http.Start()
	return s
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// behave sets the function that draws the behaviour, and a delay for it.
func (s *server) behave(draw func() (serverBehaviour, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draw = draw
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	how, after := s.draw()
	s.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	id := r.Header.Get("X-Correlation-Id")
	left, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	arrivedAt := lastDataReceived(r.Context().Value(connectionKey{}).(net.Conn))
	s.checker.attemptReceived(id, checkedAttempt{s.name, arrivedAt, time.Duration(left) * time.Millisecond}, how != fails && how != failsLate)
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	}
	switch how {
	case answers, answersLate:
		wait(after)
		io.WriteString(w, "answer to "+id)
	case answersLong:
		io.WriteString(w, "answer to "+id)
		for at := 0; at < len(longAnswer); at += len(longAnswer) / 10 {
			io.WriteString(w, longAnswer[at:at+len(longAnswer)/10])
			w.(http.Flusher).Flush()
			wait(after / 10)
		}
	case fails, failsLate:
		if how == failsLate {
			wait(after)
		}
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case hangs:
		wait(time.Minute)
	case resets, answersWithoutLength:
		wait(after)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if how == answersWithoutLength {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer to "+id)
		} else {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
}

// mixture returns a function that draws behaviours by weights, with delays of late answers up to late.
func mixture(seed uint64, late time.Duration, weights map[serverBehaviour]float64) func() (serverBehaviour, time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	return func() (serverBehaviour, time.Duration) {
		remaining := random.Float64()
		for behaviour := answers; behaviour <= answersLong; behaviour++ {
			if remaining -= weights[behaviour]; remaining < 0 {
				if behaviour == answersLate {
					return behaviour, time.Duration(random.Float64() * float64(late))
				}
				if behaviour == answersLong {
					return behaviour, time.Duration(random.Float64() * float64(100*time.Millisecond))
				}
				return behaviour, time.Duration(random.Float64() * float64(20*time.Millisecond))
			}
		}
		return answers, 0
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
