package membership

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/capacity"
)

const (
	capacityPage  = "../../docs/CAPACITY.md"
	slopesCommand = "CAPACITY_FULL=1 go test -run TestSlopes -v ./internal/membership"
	datagramDelay = time.Millisecond
	measuredNodes = 100              // nodes in one measurement of memory
	warmUp        = 5 * time.Second  // simulated time
	measuredSpan  = 10 * time.Second // simulated time
)

// slopeSizes are the measured sizes of a fleet.
var slopeSizes = []int{107, 322, 967, 2_900, 8_700}

// defaultSizes is how many of slopeSizes TestSlopes measures unless CAPACITY_FULL is set.
const defaultSizes = 2

// slopeEvent is the arrival of a datagram, or a tick of a node.
type slopeEvent struct {
	at       time.Duration
	tick     bool
	from, to int
	data     []byte
	order    int // of pushing; breaks ties in time
}

type slopeQueue []slopeEvent

func (q slopeQueue) Len() int { return len(q) }
func (q slopeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q slopeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *slopeQueue) Push(x any)   { *q = append(*q, x.(slopeEvent)) }
func (q *slopeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slopeFleet simulates members that know each other from the start, on a network without loss.
type slopeFleet struct {
	nodes []*Node
	queue slopeQueue
	turn  int
}

func newSlopeFleet(members int) *slopeFleet {
	f := &slopeFleet{}
	for n := range members {
		f.nodes = append(f.nodes, convergedNode(n, members))
		f.push(slopeEvent{at: f.nodes[n].Next(), tick: true, to: n})
	}
	return f
}

// convergedNode returns a node that considers all members alive and has no pending update.
func convergedNode(self, members int) *Node {
	n := New(Config{Self: self, Start: 1, Members: members, MaxReceiveRate: 100}, 0, rand.New(rand.NewPCG(uint64(self), 1)))
	for i := range n.members {
		if m := &n.members[i]; i != self {
			m.State, m.Start = Alive, 1
			n.digest ^= n.memberHash(m.Member)
		}
	}
	n.updates = nil
	return n
}

func (f *slopeFleet) push(e slopeEvent) {
	f.turn++
	e.order = f.turn
	heap.Push(&f.queue, e)
}

func (f *slopeFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(slopeEvent)
		node := f.nodes[e.to]
		var out Actions
		if e.tick {
			out = node.Tick(e.at)
			f.push(slopeEvent{at: max(node.Next(), e.at+time.Millisecond), tick: true, to: e.to})
		} else {
			out = node.Receive(e.at, e.from, e.data)
		}
		for _, d := range out.Send {
			f.push(slopeEvent{at: e.at + datagramDelay, from: e.to, to: d.To, data: d.Data})
		}
	}
}

func (f *slopeFleet) sent() (bytes, datagrams int64) {
	for _, n := range f.nodes {
		bytes, datagrams = bytes+n.stats.SentBytes, datagrams+n.stats.Sent
	}
	return bytes, datagrams
}

// TestSlopes compares the memory and traffic of a member in steady state with docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	update := os.Getenv("CAPACITY_UPDATE") != ""
	sizes := slopeSizes
	if !update && os.Getenv("CAPACITY_FULL") == "" {
		sizes = sizes[:defaultSizes]
	}
	memory := capacity.Measurement{Name: "member_bytes", Unit: "B of memory by members", Tolerance: 1.25, Command: slopesCommand}
	bytes := capacity.Measurement{Name: "member_bytes_sent", Unit: "B of datagrams that a member sends in a second, by members", Tolerance: 1.3, Command: slopesCommand}
	datagrams := capacity.Measurement{Name: "member_datagrams_sent", Unit: "datagrams that a member sends in a second, by members", Tolerance: 1.3, Command: slopesCommand}
	processorUse := capacity.Measurement{Name: "member_us", Unit: "us of a second of a member without its socket, by members", Command: slopesCommand}
	for _, size := range sizes {
		nodes := make([]*Node, measuredNodes)
		before := heapInUse()
		for n := range nodes {
			nodes[n] = convergedNode(1, size)
		}
		memory.Points = append(memory.Points, capacity.Point{Size: size, Value: float64(heapInUse()-before) / measuredNodes})
		runtime.KeepAlive(nodes)

		fleet := newSlopeFleet(size)
		fleet.run(warmUp)
		bytesBefore, sentBefore := fleet.sent()
		processorBefore := processorTime(t)
		fleet.run(warmUp + measuredSpan)
		spent := processorTime(t) - processorBefore
		bytesAfter, sentAfter := fleet.sent()
		memberSeconds := measuredSpan.Seconds() * float64(size)
		bytes.Points = append(bytes.Points, capacity.Point{Size: size, Value: float64(bytesAfter-bytesBefore) / memberSeconds})
		datagrams.Points = append(datagrams.Points, capacity.Point{Size: size, Value: float64(sentAfter-sentBefore) / memberSeconds})
		processorUse.Points = append(processorUse.Points, capacity.Point{Size: size, Value: float64(spent.Nanoseconds()) / 1e3 / memberSeconds})
	}
	t.Log(processorUse.Row())
	if update {
		if err := processorUse.CompareOrUpdate(capacityPage, true); err != nil {
			t.Error(err)
		}
	}
	for _, m := range []capacity.Measurement{memory, bytes, datagrams} {
		t.Log(m.Row())
		if err := m.CompareOrUpdate(capacityPage, update); err != nil {
			t.Error(err)
		}
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
