package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	leastMemoryMB   = 32 // that a gateway may be given
	soakServers     = 8
	hangingServers  = 2 // at once, in turn
	hangTime        = 1500 * time.Millisecond
	troubleTime     = 6 * time.Second
	recoveryTime    = 6 * time.Second // after the trouble, until each kind of request is served
	usualTimeout    = 2 * time.Second
	hurriedTimeout  = 600 * time.Millisecond
	soakClients     = 24
	slowCrowd       = 250 // clients that send bodies slowly
	wholeCrowd      = 100 // clients that send bodies at once, without a pause
	slowPieceLength = 2 << 10
)

// bodySender writes the body of a request in its way, with its framing.
type bodySender func(s *copiesSoak, random *rand.Rand, conn net.Conn, head string, content []byte) error

// bodySenders are the kinds of clients of the soak.
var bodySenders = map[string]bodySender{
	"whole":   sendWhole,
	"chunked": sendChunked,
	"slow":    sendSlowly,
	"none":    sendNone,
	"hurried": sendWhole,
}

func sendNone(_ *copiesSoak, _ *rand.Rand, conn net.Conn, head string, _ []byte) error {
	_, err := io.WriteString(conn, head+"\r\n")
	return err
}

func sendWhole(_ *copiesSoak, _ *rand.Rand, conn net.Conn, head string, content []byte) error {
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
	return err
}

func sendChunked(_ *copiesSoak, _ *rand.Rand, conn net.Conn, head string, content []byte) error {
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	for piece := range slices.Chunk(content, slowPieceLength) {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(conn, text+"0\r\n\r\n")
	return err
}

// sendSlowly sends chunks, with pauses between them, faster than the least rate of a client.
func sendSlowly(s *copiesSoak, random *rand.Rand, conn net.Conn, head string, content []byte) error {
	if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for piece := range slices.Chunk(content, slowPieceLength) {
		sleep(s.t.Context(), time.Duration(10+random.IntN(30))*time.Millisecond)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// copiesSoak is a run of one seed: clients with bodies of all kinds, servers that hang in turn and answer in
// several ways, second copies of requests, and an upgrade in the midst.
type copiesSoak struct {
	*platform
	seed      uint64
	random    *rand.Rand
	kinds     []string
	crowd     int    // clients beside the others
	crowdKind string // empty: there are none

	state      sync.Mutex        // guards the fields below
	requests   map[string]string // hash of the body, by id
	violations []string
	answers    map[int]int // by status
	troubleAt  time.Time   // zero: no trouble yet
	calmAt     time.Time   // zero: still in trouble
}

func newCopiesSoak(t *testing.T, seed uint64, program string) *copiesSoak {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 60))
	s := &copiesSoak{seed: seed, random: random, kinds: soakKinds(t), requests: map[string]string{}, answers: map[int]int{}}
	settings := platformSettings{Deadline: 3 * time.Second, Sockets: 256 << random.IntN(2), MemoryMB: leastMemoryMB << random.IntN(2), SecondCopies: true, NoCancel: seed%2 == 1}
	switch seed % 4 {
	case 0:
		s.crowd, s.crowdKind, settings.Sockets, settings.MemoryMB = wholeCrowd, "whole", 512, leastMemoryMB
	case 2:
		s.crowd, s.crowdKind, settings.Sockets, settings.MemoryMB = slowCrowd, "slow", 1024, leastMemoryMB
	}
	settings.MemoryMB = soakNumber(t, "SOAK_MEMORY_MB", settings.MemoryMB)
	if settings.MemoryMB < leastMemoryMB {
		t.Fatalf("SOAK_MEMORY_MB: %d, a gateway needs %d", settings.MemoryMB, leastMemoryMB)
	}
	s.platform = newPlatform(t, true, settings, 0, nil)
	s.program = program
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	for index := range soakServers {
		listening := httptest.NewServer(s.newServer(index))
		t.Cleanup(listening.CloseClientConnections)
		s.backends = append(s.backends, &server{name: fmt.Sprintf("s-%d", index), http: listening})
	}
	return s
}

// soakKinds returns the kinds of clients in SOAK_CLIENTS, or all.
func soakKinds(t *testing.T) (kinds []string) {
	t.Helper()
	for kind := range bodySenders {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	named := os.Getenv("SOAK_CLIENTS")
	if named == "" {
		return kinds
	}
	for kind := range strings.SplitSeq(named, ",") {
		if !slices.Contains(kinds, kind) {
			t.Fatalf("SOAK_CLIENTS: unknown kind %q, there are %s", kind, strings.Join(kinds, ", "))
		}
	}
	return strings.Split(named, ",")
}

func (s *copiesSoak) addViolation(format string, args ...any) {
	s.state.Lock()
	defer s.state.Unlock()
	s.violations = append(s.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// hangs reports whether the server with the index hangs now.
func (s *copiesSoak) hangs(index int) bool {
	s.state.Lock()
	defer s.state.Unlock()
	inTrouble := !s.troubleAt.IsZero() && s.calmAt.IsZero()
	return inTrouble && index/hangingServers == int(time.Since(s.troubleAt)/hangTime)%(soakServers/hangingServers)
}

func answerText(id, hash string) string {
	return fmt.Sprintf("%s %s %s", id, hash, strings.Repeat("x", 20<<10))
}

func hashOf(content []byte) string { return fmt.Sprintf("%x", sha256.Sum256(content)) }

// newServer returns a server that checks each body, and answers with the hash of what it has read.
func (s *copiesSoak) newServer(index int) http.HandlerFunc {
	random := rand.New(rand.NewPCG(s.seed, uint64(index)))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is incomplete
		}
		id, hash := r.Header.Get("X-Correlation-Id"), hashOf(content)
		s.state.Lock()
		want, known := s.requests[id]
		s.state.Unlock()
		if !known || hash != want {
			s.addViolation("server %d received %s with a body of %d bytes that its client did not send", index, id, len(content))
		}
		if s.hangs(index) {
			<-r.Context().Done()
			return
		}
		text, half := answerText(id, hash), 10<<10
		sleep(r.Context(), time.Duration(50+draw(3)*100)*time.Millisecond)
		s.state.Lock()
		calm := s.troubleAt.IsZero() || !s.calmAt.IsZero()
		s.state.Unlock()
		switch how := draw(12); {
		case calm || how > 6:
			io.WriteString(w, text)
		case how < 3: // late, in two pieces
			sleep(r.Context(), time.Duration(draw(800))*time.Millisecond)
			io.WriteString(w, text[:half])
			w.(http.Flusher).Flush()
			sleep(r.Context(), time.Duration(50+draw(600))*time.Millisecond)
			io.WriteString(w, text[half:])
		case how < 5: // has not run it
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default: // breaks off
			panic(http.ErrAbortHandler)
		}
	}
}

// runClient sends one request of its kind after the other until ctx ends.
func (s *copiesSoak) runClient(ctx context.Context, kind string, number int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(1000+number)))
	for count := 0; ctx.Err() == nil; {
		conn, err := (&net.Dialer{LocalAddr: sourceAddress(number), Timeout: time.Second}).DialContext(ctx, "tcp", s.address)
		if err != nil {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil; {
			if number < soakClients {
				sleep(ctx, time.Duration(random.IntN(100))*time.Millisecond)
			}
			count++
			_, open = s.request(random, conn, reader, kind, fmt.Sprintf("%d-%s-%d-%d", s.seed, kind, number, count))
		}
		conn.Close()
	}
}

// request sends a request and judges its answer. It reports the status, and whether the connection may be
// used again.
func (s *copiesSoak) request(random *rand.Rand, conn net.Conn, reader *bufio.Reader, kind, id string) (status int, open bool) {
	method, class, timeout, content := "POST", "keyed", usualTimeout, make([]byte, 8<<10+random.IntN(40<<10))
	switch kind {
	case "none":
		method, class, content = "GET", "safe", nil
	case "hurried":
		timeout, content = hurriedTimeout, content[:8<<10]
	}
	for index := range content {
		content[index] = byte('a' + random.IntN(26))
	}
	s.state.Lock()
	s.requests[id] = hashOf(content)
	s.state.Unlock()
	head := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nX-Service-Class: %s\r\nX-Tier: p\r\n"+
		"X-Api-Key: 0000000000000007\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n", method, class, id, id, class, timeout.Milliseconds())
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	writeErr := bodySenders[kind](s, random, conn, head, content)
	due := time.Now().Add(timeout)
	response, err := http.ReadResponse(reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		if writeErr == nil && reader.Buffered()+len(body) > 0 {
			s.addViolation("%s: incomplete answer of %d bytes: %v", id, len(body), err)
		}
		return 0, false
	}
	if late := lastDataReceived(conn).Sub(due); late > lateAnswerTolerance+transferTolerance {
		s.addViolation("%s: answered %d %v after its deadline", id, response.StatusCode, late)
	}
	if want := answerText(id, hashOf(content)); response.StatusCode == http.StatusOK && string(body) != want {
		s.addViolation("%s: got the answer %.100q, want %.100q", id, body, want)
	}
	s.state.Lock()
	s.answers[response.StatusCode]++
	s.state.Unlock()
	return response.StatusCode, writeErr == nil && !response.Close
}

// run plays the seed and returns the violations.
func (s *copiesSoak) run() []string {
	ctx, stop := context.WithCancel(s.t.Context())
	defer stop()
	running := s.start()
	watch := &memoryWatch{processes: []*gatewayProcess{running}}
	var clients sync.WaitGroup
	clients.Go(func() { watch.run(ctx) })
	for number := range soakClients {
		clients.Go(func() { s.runClient(ctx, s.kinds[number%len(s.kinds)], number) })
	}
	sleep(ctx, 2*time.Second) // the gateway learns how long answers take
	for number := range s.crowd {
		clients.Go(func() { s.runClient(ctx, s.crowdKind, soakClients+number) })
	}
	s.state.Lock()
	s.troubleAt = time.Now()
	s.state.Unlock()
	upgradeAt := time.Duration(s.random.Int64N(int64(troubleTime / 2)))
	sleep(ctx, upgradeAt)
	next := s.launch()
	watch.add(next)
	awaitAnswer(s.t, "http://"+next.control+"/control/ready", "200 OK")
	lived, killed := running.terminate(s.current().killAfter())
	if killed {
		s.addViolation("the old process had to be killed after %v", lived)
	}
	s.state.Lock()
	remaining := time.Until(s.troubleAt.Add(troubleTime))
	s.state.Unlock()
	sleep(ctx, remaining)
	s.state.Lock()
	s.calmAt = time.Now()
	s.state.Unlock()
	stop()
	clients.Wait()
	sleep(s.t.Context(), time.Until(s.calmAt.Add(recoveryTime)))
	s.checkServed()
	s.checkNothingHeld(next)
	if peak, limit := watch.result(), s.current().MemoryMB<<20; peak > limit {
		s.addViolation("the processes held %.1f MB of %.1f", float64(peak)/(1<<20), float64(limit)/(1<<20))
	}
	s.t.Logf("seed %d: %+v, %d clients beside (%s), upgrade after %v: answers %v, peak %.1f MB", s.seed, s.current(), s.crowd, s.crowdKind, upgradeAt, s.answers, float64(watch.result())/(1<<20))
	if len(s.violations) > 0 {
		s.t.Logf("the old process:\n%s\nthe new process:\n%s", running.log.String(), next.log.String())
	}
	return s.violations
}

// checkServed checks that a request of each kind is served.
func (s *copiesSoak) checkServed() {
	for _, kind := range s.kinds {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			s.addViolation("no connection after the trouble: %v", err)
			return
		}
		if status, _ := s.request(s.random, conn, bufio.NewReader(conn), kind, fmt.Sprintf("%d-%s-last", s.seed, kind)); status != http.StatusOK {
			s.addViolation("%v after the trouble a request of kind %s was answered %d", recoveryTime, kind, status)
		}
		conn.Close()
	}
}

// checkNothingHeld checks that the figures of what requests hold become zero when all is quiet.
func (s *copiesSoak) checkNothingHeld(process *gatewayProcess) {
	held := []string{"app.transfers.memory:", "app.in_progress:", "app.open_attempts:", "app.transfers.up.open:", "app.transfers.down.open:"}
	var left []string
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline); sleep(s.t.Context(), 50*time.Millisecond) {
		response, err := http.Get("http://" + process.control + "/control/counters")
		if err != nil {
			left = []string{err.Error()}
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		left = nil
		for _, name := range held {
			if !strings.Contains(string(text), name+"0|g") {
				left = append(left, name)
			}
		}
		if len(left) == 0 {
			return
		}
	}
	s.addViolation("still held when all is quiet: %v", left)
}

// Guards a request's body, its answers and what it holds while two attempts of it run and the process is
// replaced. SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds, SOAK_CLIENTS the kinds of clients
// and SOAK_MEMORY_MB the memory of the gateway.
func TestSecondCopiesSoak(t *testing.T) {
	t.Parallel()
	program, err := buildGateway()
	if err != nil {
		t.Fatal(err)
	}
	first, seeds := soakNumber(t, "SOAK_FIRST", 1), soakNumber(t, "SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			for _, violation := range newCopiesSoak(t, uint64(seed), program).run() {
				t.Errorf("SOAK_FIRST=%d SOAK_SEEDS=1 go test ./cmd/gateway -run TestSecondCopiesSoak: %s", seed, violation)
			}
		})
	}
}
