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
	keptNodes     = 100 // whose memory is measured together
	settleFor     = 5 * time.Second
	countFor      = 10 * time.Second // of the clock that the members are told
)

// slopeSizes are fleets; each run of the tests measures the first fewSizes.
var slopeSizes = []int{107, 322, 967, 2_900, 8_700}

const fewSizes = 2

// slopeEvent is a datagram that comes, or a node that wants to be called.
type slopeEvent struct {
	at       time.Duration
	tick     bool
	from, to int
	data     []byte
	turn     int // events of one moment keep their order
}

type slopeQueue []slopeEvent

func (q slopeQueue) Len() int { return len(q) }
func (q slopeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q slopeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *slopeQueue) Push(x any)   { *q = append(*q, x.(slopeEvent)) }
func (q *slopeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slopeFleet is members that know each other from the start, and whose datagrams all come.
type slopeFleet struct {
	nodes []*Node
	queue slopeQueue
	turn  int
}

func newSlopeFleet(members int) *slopeFleet {
	f := &slopeFleet{}
	for n := range members {
		f.nodes = append(f.nodes, acquainted(n, members))
		f.push(slopeEvent{at: f.nodes[n].Next(), tick: true, to: n})
	}
	return f
}

// acquainted is a node that holds all members for alive and has nothing to pass on.
func acquainted(self, members int) *Node {
	n := New(Config{Self: self, Start: 1, Members: members, MaxReceiveRate: 100}, 0, rand.New(rand.NewPCG(uint64(self), 1)))
	for i := range n.members {
		if m := &n.members[i]; i != self {
			m.State, m.Start = Alive, 1
			n.digest ^= n.hash(m.Member)
		}
	}
	n.updates = nil
	return n
}

func (f *slopeFleet) push(e slopeEvent) {
	f.turn++
	e.turn = f.turn
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

// TestSlopes holds what a member keeps and sends in steady state to docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	update := os.Getenv("CAPACITY_UPDATE") != ""
	sizes := slopeSizes
	if !update && os.Getenv("CAPACITY_FULL") == "" {
		sizes = sizes[:fewSizes]
	}
	kept := capacity.Measured{Name: "member_bytes", Unit: "B of memory by members", Within: 1.25, Command: slopesCommand}
	bytes := capacity.Measured{Name: "member_bytes_sent", Unit: "B of datagrams that a member sends in a second, by members", Within: 1.3, Command: slopesCommand}
	datagrams := capacity.Measured{Name: "member_datagrams_sent", Unit: "datagrams that a member sends in a second, by members", Within: 1.3, Command: slopesCommand}
	took := capacity.Measured{Name: "member_us", Unit: "us of a second of a member without its socket, by members", Command: slopesCommand}
	for _, size := range sizes {
		nodes := make([]*Node, keptNodes)
		before := heapInUse()
		for n := range nodes {
			nodes[n] = acquainted(1, size)
		}
		kept.Points = append(kept.Points, capacity.Point{Size: size, Value: float64(heapInUse()-before) / keptNodes})
		runtime.KeepAlive(nodes)

		f := newSlopeFleet(size)
		f.run(settleFor)
		bytesBefore, sentBefore := f.sent()
		began := processorTime(t)
		f.run(settleFor + countFor)
		spent := processorTime(t) - began
		bytesAfter, sentAfter := f.sent()
		each := countFor.Seconds() * float64(size)
		bytes.Points = append(bytes.Points, capacity.Point{Size: size, Value: float64(bytesAfter-bytesBefore) / each})
		datagrams.Points = append(datagrams.Points, capacity.Point{Size: size, Value: float64(sentAfter-sentBefore) / each})
		took.Points = append(took.Points, capacity.Point{Size: size, Value: float64(spent.Nanoseconds()) / 1e3 / each})
	}
	t.Log(took.Row())
	if update {
		if err := took.Hold(capacityPage, true); err != nil {
			t.Error(err)
		}
	}
	for _, m := range []capacity.Measured{kept, bytes, datagrams} {
		t.Log(m.Row())
		if err := m.Hold(capacityPage, update); err != nil {
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
