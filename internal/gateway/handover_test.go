package gateway

import (
	"bufio"
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newSharedListener holds the clients' socket and a folder for all processes of a
// gateway.
func newSharedListener(t *testing.T) (l net.Listener, dir string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, t.TempDir()
}

// newSiblings starts two gateways on one listening socket, the second beside the
// first, which has an idle connection of a client.
func newSiblings(t *testing.T, backend *peer) (old, next *testGateway, kept net.Conn) {
	t.Helper()
	l, dir := newSharedListener(t)
	// What a process left that was killed does no harm.
	if err := os.WriteFile(filepath.Join(dir, handoverSocketName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	old = newTestGatewayOn(t, l, dir, backend)
	kept, answers := old.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, answers, "answer") // an error, which leaves the connection open
	return old, newTestGatewayOn(t, l, dir, backend), kept
}

// newTestGatewayOn starts a gateway as one process of several with the given socket.
func newTestGatewayOn(t *testing.T, shared net.Listener, dir string, backends ...*peer) *testGateway {
	t.Helper()
	r := &testGateway{registry: newFakeDiscovery(t), ended: make(chan error, 1)}
	c, err := parseConfig([]byte(configText(r.registry.address(), testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	c.HandoverDir = dir
	f, err := shared.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	r.serve(t, &c, l)
	wait(t, r.registry.calls, "list")
	r.registry.answers <- newListing(true, "Ready", backends...)
	wait(t, r.registry.calls, "watch")
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if status, _ := r.callControl(t, "GET", "/control/ready"); status == http.StatusOK {
			return r
		}
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// An operator's word to either process holds in both, and a ban from before the
// second process as well.
func TestOverrideReachesBothProcesses(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	l, dir := newSharedListener(t)
	old := newTestGatewayOn(t, l, dir, backend)
	path := "/control/backends/" + backend.address()
	say := func(r *testGateway, word string) {
		t.Helper()
		if status, _ := r.callControl(t, "POST", path+word); status != http.StatusOK {
			t.Errorf("%s: status %d", word, status)
		}
	}
	say(old, "/offline")
	next := newTestGatewayOn(t, l, dir, backend)
	next.awaitMetrics(t, "app.skipped_backends:1|g")
	say(next, "/online")
	old.awaitMetrics(t, "app.skipped_backends:0|g")
	say(old, "/offline")
	next.awaitMetrics(t, "app.skipped_backends:1|g")
	next.stop() // a new process that ends leaves the old one its gateway
	if err := wait(t, next.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	say(old, "/online")
	old.awaitMetrics(t, "app.skipped_backends:0|g")
	third := newTestGatewayOn(t, l, dir, backend)
	say(third, "/offline")
	old.awaitMetrics(t, "app.skipped_backends:1|g")
}

// The old process answers what comes on the connections it has, and the new one
// what comes on new ones. Nothing is closed on a client that may be writing.
func TestOldProcessServesOpenConnections(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	old, next, conn := newSiblings(t, backend)
	memory := func(r *testGateway) int {
		r.figures.bodyBudget.mu.Lock()
		defer r.figures.bodyBudget.mu.Unlock()
		return r.figures.bodyBudget.total
	}
	for _, r := range []*testGateway{old, next} {
		for end := time.Now().Add(testTimeout); memory(r) != bodyMemory(192)/2; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes for the bodies of one of two processes", memory(r))
			}
		}
	}
	old.stop()
	old.awaitNotReady(t)
	for range 8 { // none meets a closed door
		_, answers := next.request(t, requestText("POST", "booking", "x"))
		to, br := backend.accept(t)
		readRequest(t, br)
		to.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if _, err := conn.Write([]byte(requestText("GET", "lookup", ""))); err != nil {
		t.Fatal(err)
	}
	serveOne(t, backend, "kept")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("on a connection from before: %v, %v", resp, err)
	}
	if err := wait(t, old.ended, "end"); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if status, _ := next.callControl(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("the new process: status %d", status)
	}
	for end := time.Now().Add(testTimeout); memory(next) != bodyMemory(192); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes for the bodies of a process that is alone", memory(next))
		}
	}
}

// A process that has the state and stalls holds up neither calls by hand nor the
// end of the old one.
// A gateway that can have no Unix socket serves without one and says so once.
func TestServesWithoutHandoverSocket(t *testing.T) {
	var text bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, nil)))
	t.Cleanup(func() { slog.SetDefault(was) })
	l, dir := newSharedListener(t)
	r := newTestGatewayOn(t, l, filepath.Join(dir, strings.Repeat("x", 120)), newPeer(t)) // longer than its path may be
	r.stop()
	if err := wait(t, r.ended, "end"); err != nil {
		t.Error(err)
	}
	if n := strings.Count(text.String(), "no later process can take over"); n != 1 || strings.Contains(text.String(), "without state") {
		t.Errorf("logged:\n%s", text.String())
	}
}

func TestStalledSuccessorBlocksNothing(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	l, dir := newSharedListener(t)
	old := newTestGatewayOn(t, l, dir, backend)
	conn, err := net.Dial("unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	stalled := newPeerConn(conn)
	var n handoverMessage
	if err := stalled.send(handoverMessage{Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := stalled.decoder.Decode(&n); err != nil || n.Snapshot == nil || len(n.Snapshot.Listing.Instances) != 1 {
		t.Fatalf("state %+v, %v", n.Snapshot, err)
	}
	if status, _ := old.callControl(t, "POST", "/control/backends/"+backend.address()+"/offline"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if err := stalled.decoder.Decode(&n); err != nil || n.Override == nil || !n.Override.Offline {
		t.Errorf("the word was not passed on: %+v, %v", n, err)
	}
	old.stop()
	old.awaitReadiness(t, http.StatusServiceUnavailable) // it still answers on new connections
	if err := wait(t, old.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The word that a new process serves may come after the order to end. Connections
// that stand are kept for their next request all the same.
func TestLateServingMessageKeepsIdleConnections(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	l, dir := newSharedListener(t)
	old := newTestGatewayOn(t, l, dir, backend)
	kept, answers := old.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, answers, "answer")
	conn, err := net.Dial("unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	next := newPeerConn(conn)
	var n handoverMessage
	if err := next.send(handoverMessage{Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := next.decoder.Decode(&n); err != nil || n.Snapshot == nil {
		t.Fatalf("state %+v, %v", n.Snapshot, err)
	}
	old.stop()
	old.awaitNotReady(t)
	if err := next.send(handoverMessage{Serving: true}); err != nil {
		t.Fatal(err)
	}
	if err := next.decoder.Decode(&n); err != nil || !n.Leaving {
		t.Fatalf("%+v, %v", n, err)
	}
	if _, err := kept.Write([]byte(requestText("GET", "lookup", ""))); err != nil {
		t.Fatal(err)
	}
	serveOne(t, backend, "kept")
	if resp, err := http.ReadResponse(bufio.NewReader(kept), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", resp, err)
	}
}

// awaitNotReady waits until the gateway knows that it is to end.
func (g *testGateway) awaitNotReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if status, _ := g.callControl(t, "GET", "/control/ready"); status == http.StatusServiceUnavailable {
			return
		}
		if time.Now().After(end) {
			t.Fatal("it is still ready")
		}
	}
}
