package gateway

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against processes whose heaps together pass the memory of the gateway.
func TestHeapLimitsFitIntoMemory(t *testing.T) {
	const minDeployedMB, maxDeployedMB = 32, 192
	for memoryMB := minDeployedMB; memoryMB <= maxDeployedMB; memoryMB++ {
		for processes := 1; processes <= 2; processes++ {
			plan := newResourcePlan(memoryMB, 512, processes)
			total := sharedProgramBytes + processes*(processBytes+int(plan.heap))
			if plan.heap <= 0 || plan.bodies <= 0 || total > memoryMB<<20 {
				t.Errorf("%d processes of a gateway of %d MB take %d bytes: %+v", processes, memoryMB, total, plan)
			}
		}
	}
}

// newHeapRecorder returns a function that passes each heap limit on.
func newHeapRecorder() (limits chan int64, limitHeap func(int64)) {
	limits = make(chan int64, 16)
	return limits, func(bytes int64) { limits <- bytes }
}

// Guards against a heap limit that stays as it was at the start of the process, while another process
// starts or ends, or a reload changes the memory.
func TestHeapLimitFollowsProcessesAndReloads(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	oldLimits, limitOld := newHeapRecorder()
	nextLimits, limitNext := newHeapRecorder()
	expect := func(limits <-chan int64, what string, memoryMB, processes int) {
		t.Helper()
		if got, want := wait(t, limits, what), heapLimit(memoryMB, processes); got != want {
			t.Errorf("%s: heap limit of %d bytes, want %d", what, got, want)
		}
	}
	old := newTestGatewayWithHeap(t, listener, dir, limitOld, backend)
	expect(oldLimits, "alone", 192, 1)
	awaitHandoverSocket(t, dir)
	next := newTestGatewayWithHeap(t, listener, dir, limitNext, backend)
	expect(oldLimits, "beside a successor", 192, 2)
	expect(nextLimits, "before it knows its predecessor", 192, 1)
	expect(nextLimits, "beside its predecessor", 192, 2)
	config, err := parseConfig([]byte(strings.Replace(configText(next.discovery.address(), testSettings), `"memory_mb": 192`, `"memory_mb": 64`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	next.reloads <- Reload{Config: config}
	expect(nextLimits, "after a reload", 64, 2)
	old.stop()
	if err := wait(t, old.ended, "end"); err != nil {
		t.Error(err)
	}
	previous := heapLimit(64, 2) // what the predecessor gives up before its end comes first
	for final := heapLimit(64, 1); previous != final; {
		limit := wait(t, nextLimits, "after the end of its predecessor")
		if limit < previous || limit > final {
			t.Fatalf("heap limit of %d bytes after %d, want at least that and at most %d", limit, previous, final)
		}
		previous = limit
	}
}

// A successor must have the places and the memory that its predecessor gives up in its stop, before that has
// ended, and both together no more than the gateway.
func TestSuccessorTakesWhatIsGivenUp(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	old, next, kept := newSiblings(t, backend)
	defer kept.Close()
	half := newResourcePlan(192, 1024, 2).bodies
	for deadline := time.Now().Add(testTimeout); old.metrics.bodies.Total() != half || next.metrics.bodies.Total() != half; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the processes do not have half of the memory each")
		}
	}
	old.stop()
	for {
		successor := next.metrics.bodies.Total() // first: what the other one has only falls
		if both := successor + old.metrics.bodies.Total(); both > 2*half {
			t.Fatalf("both processes have %d bytes, the gateway %d", both, 2*half)
		}
		if successor > half {
			return
		}
		select {
		case <-old.ended:
			t.Fatal("the successor had got nothing when its predecessor ended")
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a successor that learns of its part before the old process has given it up, and against
// requests that wait meanwhile.
func TestSuccessorStartsAfterHeapIsReleased(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	listener, dir := newSharedListener(t)
	lowered, released := make(chan struct{}), make(chan struct{})
	old := newTestGatewayWithHeap(t, listener, dir, func(bytes int64) {
		if bytes == heapLimit(192, 2) {
			close(lowered)
			<-released
		}
	}, backend)
	successor := dialHandover(t, dir)
	if err := successor.send(handoverMessage{Join: true}); err != nil {
		t.Fatal(err)
	}
	wait(t, lowered, "lower limit")
	_, responses := old.request(t, requestText("POST", "payment", "x")) // its id is claimed
	serveOne(t, backend, "ok")
	wait(t, responses, "response")
	successor.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := successor.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the successor got the state before the memory was released")
	}
	close(released)
	successor.conn.SetReadDeadline(time.Now().Add(testTimeout))
	var message handoverMessage
	if err := successor.decoder.Decode(&message); err != nil || message.Snapshot == nil {
		t.Errorf("no state: %v", err)
	}
}

// Guards against a process that takes the resources of a whole gateway since its predecessor, which still
// runs, did not answer.
func TestSilentPredecessorCountsAgainstTheLimits(t *testing.T) {
	t.Parallel()
	listener, dir := newSharedListener(t)
	socket, err := net.Listen("unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	limits, limitHeap := newHeapRecorder()
	gateway := newTestGatewayWithHeap(t, listener, dir, limitHeap, newTestServer(t))
	if first, second := wait(t, limits, "limit"), wait(t, limits, "limit"); first != heapLimit(192, 1) || second != heapLimit(192, 2) {
		t.Errorf("heap limits of %d and %d bytes, want %d and %d", first, second, heapLimit(192, 1), heapLimit(192, 2))
	}
	predecessor, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	predecessor.Close()
	if limit := wait(t, limits, "limit"); limit != heapLimit(192, 1) {
		t.Errorf("heap limit of %d bytes once the predecessor has ended, want %d", limit, heapLimit(192, 1))
	}
	gateway.stop()
	if err := wait(t, gateway.ended, "end"); err != nil {
		t.Error(err)
	}
}

// Guards against two processes that each accept as many requests as the settings allow the gateway.
func TestRequestsInProgressAreSharedByProcesses(t *testing.T) {
	loop := &Loop{service: &serviceConfig{}, plan: newResourcePlan(192, 1024, 1)}
	if got := loop.maxInProgress(); got != loop.plan.requests {
		t.Errorf("without a limit %d requests, want %d", got, loop.plan.requests)
	}
	for processes, want := range map[int]int{1: 21, 2: 10} {
		loop.service.MaxInProgress, loop.plan = 21, newResourcePlan(192, 1024, processes)
		if got := loop.maxInProgress(); got != want {
			t.Errorf("one of %d processes accepts %d requests of 21, want %d", processes, got, want)
		}
	}
}
