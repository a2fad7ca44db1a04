package main

import (
	"bytes"
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
	countedDeadline = 3 * time.Second        // a longest deadline above it counts as this
	killGrace       = 700 * time.Millisecond // from that deadline to SIGKILL
)

// platform runs the processes of one gateway as the deployment page says: it holds the
// clients' socket, tells discovery's list, sends signals, and kills at the earliest moment
// that the page allows.
type platform struct {
	t         *testing.T
	address   string
	listener  *os.File // inherited by each process; nil: each opens the address by itself
	dir       string
	config    string // path
	discovery *httptest.Server
	backends  []*server

	mu       sync.Mutex
	settings platformSettings
}

// platformSettings are what a new configuration may change.
type platformSettings struct {
	Deadline time.Duration // the longest of a class
	Sockets  int
	Extra    bool // a class more
}

// killAfter is the time from SIGTERM to the earliest SIGKILL.
func (s platformSettings) killAfter() time.Duration {
	return min(s.Deadline, countedDeadline) + killGrace
}

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
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": s.Sockets},
		"settings": map[string]any{"fleetSize": 1, "localities": []string{"a"}, "kinds": []string{"m"}, "tickS": 0.002,
			"allowed": map[string]any{"cancel": true, "mostTries": 3, "connectTimeoutS": 0.25, "keepaliveS": 15, "maxRetryAfterS": 0.5,
				"retryAfter": true, "maxOpen": 20000},
			"obligations": map[string]any{"answerSlackS": 0.02, "drainGraceS": 1},
			"familyInfo":  map[string]any{"mostUnits": 4},
			"classes":     classes, "packages": []any{map[string]any{"name": "p", "pays": 1}}}}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // of constants
	}
	return string(text)
}

// newPlatform starts discovery and so many backends. An inherited socket outlives the
// processes; without one, a restart leaves a gap in which nobody listens.
func newPlatform(t *testing.T, inherited bool, s platformSettings, backends int, j *judge) *platform {
	t.Helper()
	p := &platform{t: t, address: testnet.TCP(t), dir: t.TempDir(), settings: s}
	for n := range backends {
		b := newServer(fmt.Sprintf("s-%d", n), j)
		t.Cleanup(b.http.Close)
		p.backends = append(p.backends, b)
	}
	if inherited {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // the file keeps the socket
		if p.listener, err = l.(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.listener.Close() })
	}
	p.discovery = httptest.NewServer(http.HandlerFunc(p.list))
	t.Cleanup(p.discovery.Close)
	p.config = filepath.Join(p.dir, "config.json")
	p.configure(s)
	return p
}

// list answers as discovery does. Nothing ever changes.
func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("since") {
		<-r.Context().Done()
		return
	}
	var all []any
	for _, b := range p.backends {
		all = append(all, map[string]any{"instanceId": b.name, "hostPort": strings.TrimPrefix(b.http.URL, "http://"), "zone": "a",
			"machineType": "m", "lifecycle": "Ready", "weight": 1})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": 1, "reset": true, "instances": all})
}

// configure replaces the configuration file in one step.
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

// instance is one process of the gateway.
type instance struct {
	t       *testing.T
	cmd     *exec.Cmd
	log     lockedBuffer
	control string
	ended   chan struct{} // closed once the process has
}

// start starts a process and waits until it takes clients.
func (p *platform) start() *instance {
	p.t.Helper()
	in := p.launch()
	until(p.t, "http://"+in.control+"/control/ready", "200 OK")
	return in
}

// launch starts a process.
func (p *platform) launch() *instance {
	p.t.Helper()
	in := &instance{t: p.t, control: testnet.TCP(p.t), ended: make(chan struct{})}
	in.cmd = exec.Command(os.Args[0])
	in.cmd.Env = append(os.Environ(), "GATEWAY_AS_COMMAND=1", "EDGE_CONFIG="+p.config, "EDGE_CONTROL="+in.control,
		"GORACE=atexit_sleep_ms=0") // else the race detector keeps a process that has ended for a second
	if p.listener != nil {
		in.cmd.ExtraFiles = []*os.File{p.listener}
		in.cmd.Env = append(in.cmd.Env, "EDGE_FD=3", "TMPDIR="+p.dir)
	}
	in.cmd.Stderr = &in.log
	if err := in.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(in.ended)
		in.cmd.Wait()
	}()
	p.t.Cleanup(func() { in.cmd.Process.Kill(); <-in.ended })
	return in
}

func (in *instance) signal(s syscall.Signal) { in.cmd.Process.Signal(s) }

// freeze holds the process up.
func (in *instance) freeze(d time.Duration) {
	in.signal(syscall.SIGSTOP)
	time.Sleep(d)
	in.signal(syscall.SIGCONT)
}

// kill ends the process with no word.
func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	<-in.ended
}

// terminate sends SIGTERM and, if the process is still there at the given time after it,
// SIGKILL. It returns how long the process lived on.
func (in *instance) terminate(killAfter time.Duration) (lived time.Duration, killed bool) {
	began := time.Now()
	in.signal(syscall.SIGTERM)
	select {
	case <-in.ended:
	case <-time.After(killAfter):
		in.signal(syscall.SIGKILL)
		<-in.ended
		killed = true
	}
	return time.Since(began), killed
}

// lockedBuffer is a log that is read while it is written.
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

// behaviour is what a server does with a request.
type behaviour int

const (
	answers behaviour = iota
	answersLate
	hangs
	resets
	fails
	answersWithoutLength // which ends with its connection
	answersLong          // in pieces
)

// longAnswer is what stands behind the start of a long answer.
var longAnswer = strings.Repeat("x", 300<<10)

// server is a backend whose behaviour is drawn for each request.
type server struct {
	name  string
	http  *httptest.Server
	judge *judge

	mu   sync.Mutex
	draw func() (behaviour, time.Duration)
}

func newServer(name string, j *judge) *server {
	s := &server{name: name, judge: j, draw: func() (behaviour, time.Duration) { return answers, 0 }}
	s.http = httptest.NewServer(s)
	return s
}

// behave sets what is drawn from now on.
func (s *server) behave(draw func() (behaviour, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draw = draw
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	how, after := s.draw()
	s.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it never came whole
	}
	id := r.Header.Get("X-Correlation-Id")
	left, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	s.judge.attempt(id, s.name, time.Duration(left)*time.Millisecond, how != fails)
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
	case fails:
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

// mixture draws behaviours by weights, with times up to the given one for late answers.
func mixture(seed uint64, late time.Duration, weights map[behaviour]float64) func() (behaviour, time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	return func() (behaviour, time.Duration) {
		at := random.Float64()
		for how := answers; how <= answersLong; how++ {
			if at -= weights[how]; at < 0 {
				if how == answersLate {
					return how, time.Duration(random.Float64() * float64(late))
				}
				if how == answersLong {
					return how, time.Duration(random.Float64() * float64(100*time.Millisecond))
				}
				return how, time.Duration(random.Float64() * float64(20*time.Millisecond))
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
