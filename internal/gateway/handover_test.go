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

// newSharedListener returns the client listener and the hand-over directory that all processes of a
// gateway share.
func newSharedListener(t *testing.T) (listener net.Listener, dir string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, t.TempDir()
}

// newSiblings starts two processes of a gateway on one listening socket. The older one has an idle
// client connection, kept.
func newSiblings(t *testing.T, backend *testServer) (old, next *testGateway, kept net.Conn) {
	t.Helper()
	listener, dir := newSharedListener(t)
	// The socket file of a killed process must do no harm.
	if err := os.WriteFile(filepath.Join(dir, handoverSocketName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	old = newTestGatewayOn(t, listener, dir, backend)
	kept, responses := old.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, responses, "response") // an error response, which leaves the connection open
	awaitHandoverSocket(t, dir)
	return old, newTestGatewayOn(t, listener, dir, backend), kept
}

// awaitHandoverSocket waits until a process serves its successors in dir. A process is ready before that.
func awaitHandoverSocket(t *testing.T, dir string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if info, err := os.Stat(filepath.Join(dir, handoverSocketName)); err == nil && info.Mode()&os.ModeSocket != 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no hand-over socket within %v", testTimeout)
		}
	}
}

// dialHandover connects to the process that serves its successors in dir.
func dialHandover(t *testing.T, dir string) *siblingConn {
	t.Helper()
	awaitHandoverSocket(t, dir)
	conn, err := net.Dial("unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return newSiblingConn(conn)
}

// newTestGatewayOn starts one process of a gateway on a shared listening socket.
func newTestGatewayOn(t *testing.T, shared net.Listener, dir string, backends ...*testServer) *testGateway {
	t.Helper()
	return newTestGatewayWithHeap(t, shared, dir, nil, backends...)
}

// newTestGatewayWithHeap starts one process of a gateway whose heap limit is set by a function; nil: none.
func newTestGatewayWithHeap(t *testing.T, shared net.Listener, dir string, limitHeap func(int64), backends ...*testServer) *testGateway {
	t.Helper()
	gateway := &testGateway{discovery: newFakeDiscovery(t), ended: make(chan error, 1)}
	config, err := parseConfig([]byte(configText(gateway.discovery.address(), testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	config.HandoverDir, config.LimitHeap = dir, limitHeap
	file, err := shared.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	gateway.serve(t, &config, listener)
	wait(t, gateway.discovery.calls, "list")
	gateway.discovery.answers <- newListing(true, "Ready", backends...)
	wait(t, gateway.discovery.calls, "watch")
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if status, _ := gateway.callControl(t, "GET", "/control/ready"); status == http.StatusOK {
			return gateway
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateway did not get ready within %v", testTimeout)
		}
	}
}

// An operator override at either process must apply in both, also one from before the second
// process was started.
func TestOverrideReachesBothProcesses(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	old := newTestGatewayOn(t, listener, dir, backend)
	path := "/control/backends/" + backend.address()
	override := func(process *testGateway, action string) {
		t.Helper()
		if status, _ := process.callControl(t, "POST", path+action); status != http.StatusOK {
			t.Errorf("%s: status %d", action, status)
		}
	}
	override(old, "/offline")
	awaitHandoverSocket(t, dir)
	next := newTestGatewayOn(t, listener, dir, backend)
	next.awaitMetrics(t, "app.skipped_backends:1|g")
	override(next, "/online")
	old.awaitMetrics(t, "app.skipped_backends:0|g")
	override(old, "/offline")
	next.awaitMetrics(t, "app.skipped_backends:1|g")
	next.stop() // a successor that ends leaves the gateway to the old process
	if err := wait(t, next.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	override(old, "/online")
	old.awaitMetrics(t, "app.skipped_backends:0|g")
	third := newTestGatewayOn(t, listener, dir, backend)
	override(third, "/offline")
	old.awaitMetrics(t, "app.skipped_backends:1|g")
}

// After SIGTERM, the old process must answer requests on its open connections, and the successor
// those on new ones. No connection may be closed while its client may be sending a request.
func TestOldProcessServesOpenConnections(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	old, next, kept := newSiblings(t, backend)
	memory := func(process *testGateway) int { return process.metrics.bodies.Total() }
	for _, process := range []*testGateway{old, next} {
		for deadline := time.Now().Add(testTimeout); memory(process) != newResourcePlan(192, 1024, 2).bodies; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes of body memory for one of two processes", memory(process))
			}
		}
	}
	old.stop()
	old.awaitNotReady(t)
	for range 8 { // no connection is refused
		_, responses := next.request(t, requestText("POST", "booking", "x"))
		backendConn, backendReader := backend.accept(t)
		readRequest(t, backendReader)
		backendConn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		if resp := wait(t, responses, "response"); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if _, err := kept.Write([]byte(requestText("GET", "lookup", ""))); err != nil {
		t.Fatal(err)
	}
	serveOne(t, backend, "kept")
	resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("on the connection of the old process: %v, %v", resp, err)
	}
	if err := wait(t, old.ended, "end"); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if status, _ := next.callControl(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("the new process: status %d", status)
	}
	for deadline := time.Now().Add(testTimeout); memory(next) != newResourcePlan(192, 1024, 1).bodies; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes of body memory for a single process", memory(next))
		}
	}
}

// A gateway that cannot open its hand-over socket must serve without it and log that once.
func TestServesWithoutHandoverSocket(t *testing.T) {
	var logged bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	listener, dir := newSharedListener(t)
	gateway := newTestGatewayOn(t, listener, filepath.Join(dir, strings.Repeat("x", 120)), newTestServer(t)) // a folder that is not there
	gateway.stop()
	if err := wait(t, gateway.ended, "end"); err != nil {
		t.Error(err)
	}
	if count := strings.Count(logged.String(), "no later process can take over"); count != 1 || strings.Contains(logged.String(), "without state") {
		t.Errorf("logged:\n%s", logged.String())
	}
}

// Guards against an upgrade without state where the path of the hand-over socket is longer than the path of a
// socket may be.
func TestHandoverUnderLongPath(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	dir = filepath.Join(dir, strings.Repeat("x", 120))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old := newTestGatewayOn(t, listener, dir, backend)
	path := "/control/backends/" + backend.address() + "/offline"
	if status, _ := old.callControl(t, "POST", path); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitHandoverSocket(t, dir)
	next := newTestGatewayOn(t, listener, dir, backend)
	next.awaitMetrics(t, "app.skipped_backends:1|g") // told with the state
}

// A successor that got the state and then stalls must delay neither operator overrides nor the
// shutdown of the old process.
func TestStalledSuccessorBlocksNothing(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	old := newTestGatewayOn(t, listener, dir, backend)
	stalled := dialHandover(t, dir)
	stalled.conn.SetDeadline(time.Now().Add(testTimeout))
	var message handoverMessage
	if err := stalled.send(handoverMessage{Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := stalled.decoder.Decode(&message); err != nil || message.Snapshot == nil || len(message.Snapshot.Listing.Instances) != 1 {
		t.Fatalf("state %+v, %v", message.Snapshot, err)
	}
	if status, _ := old.callControl(t, "POST", "/control/backends/"+backend.address()+"/offline"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if err := stalled.decoder.Decode(&message); err != nil || message.Override == nil || !message.Override.Offline {
		t.Errorf("the override was not sent to the successor: %+v, %v", message, err)
	}
	old.stop()
	old.awaitReadiness(t, http.StatusServiceUnavailable) // it still answers on new connections
	if err := wait(t, old.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The Serving message of a successor may arrive after SIGTERM. Idle connections must then still be
// kept for their next request.
func TestLateServingMessageKeepsIdleConnections(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	old := newTestGatewayOn(t, listener, dir, backend)
	kept, responses := old.request(t, requestText("GET", "lookup", "", idHeader, ""))
	wait(t, responses, "response")
	next := dialHandover(t, dir)
	next.conn.SetDeadline(time.Now().Add(testTimeout))
	var message handoverMessage
	if err := next.send(handoverMessage{Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := next.decoder.Decode(&message); err != nil || message.Snapshot == nil {
		t.Fatalf("state %+v, %v", message.Snapshot, err)
	}
	old.stop()
	old.awaitNotReady(t)
	if err := next.send(handoverMessage{Serving: true}); err != nil {
		t.Fatal(err)
	}
	if err := next.decoder.Decode(&message); err != nil || !message.Leaving {
		t.Fatalf("%+v, %v", message, err)
	}
	if _, err := kept.Write([]byte(requestText("GET", "lookup", ""))); err != nil {
		t.Fatal(err)
	}
	serveOne(t, backend, "kept")
	if resp, err := http.ReadResponse(bufio.NewReader(kept), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", resp, err)
	}
}

// awaitNotReady waits until the gateway reports that it is not ready, as it does once it shuts down.
func (g *testGateway) awaitNotReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if status, _ := g.callControl(t, "GET", "/control/ready"); status == http.StatusServiceUnavailable {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateway is still ready after %v", testTimeout)
		}
	}
}
