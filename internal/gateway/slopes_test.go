package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/capacity"
	"dunlintray/internal/registry"
	"dunlintray/rules"
)

const capacityPage = "../../docs/CAPACITY.md"

var (
	slopeSizes     = []int{823, 2_469, 7_407, 22_222, 66_667, 200_000}
	measureAll     = os.Getenv("CAPACITY_FULL") != "" || os.Getenv("CAPACITY_UPDATE") != ""
	updateCapacity = os.Getenv("CAPACITY_UPDATE") != ""
)

const fewSizes = 4 // that each run of the tests measures

// largeList is a whole list of so many backends.
func largeList(backends int) Listing {
	l := Listing{Generation: 1, Reset: true}
	for n := range backends {
		l.Instances = append(l.Instances, Instance{ID: fmt.Sprintf("checkout-%06d", n), HostPort: fmt.Sprintf("10.%d.%d.%d:8080", n>>16&255, n>>8&255, n&255),
			Zone: "a", MachineType: "m", Lifecycle: registry.Ready, Weight: 1, StartedAtMs: 1764600000001})
	}
	return l
}

// largeLoop has the backends of a list, whose texts it shares with the list's reader.
func largeLoop(t testing.TB, list Listing) *Loop {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f := newMetrics(&c)
	l := newLoop(&c, f.newService(c.Deployment, 0), f, newPools(time.Second, time.Minute, 8, f), nil, func() {})
	l.applyList(list, rules.FullList)
	return l
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestSlopes holds what a gateway keeps for each backend, and tells operators of it, to
// docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	const command = "CAPACITY_FULL=1 go test -run TestSlopes -v ./internal/gateway"
	held := capacity.Measured{Name: "gateway_bytes_backend", Unit: "B by backends: module, list without its texts, and pools", Within: 1.25, Command: command}
	view := capacity.Measured{Name: "view_bytes_backend", Unit: "B of /control/backends by backends", Within: 1.2, Command: command}
	for n, size := range slopeSizes {
		if n >= fewSizes && !measureAll {
			break
		}
		list := largeList(size)
		before := heapInUse()
		l := largeLoop(t, list)
		held.Points = append(held.Points, capacity.Point{Size: size, Value: float64(heapInUse() - before)})
		runtime.KeepAlive(list)
		text, err := json.Marshal(l.backendsView(backendsQuery{all: true}))
		if err != nil {
			t.Fatal(err)
		}
		view.Points = append(view.Points, capacity.Point{Size: size, Value: float64(len(text))})
	}
	for _, m := range []capacity.Measured{held, view} {
		t.Log(m.Row())
		if err := m.Hold(capacityPage, updateCapacity); err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkRound is the processor time of a round of housekeeping in the whole loop.
func BenchmarkRound(b *testing.B) {
	round := capacity.Measured{Name: "round_us_backend", Unit: "us of a round of housekeeping, module and loop, by backends",
		Command: "go test -run - -bench Round -benchtime 1x ./internal/gateway"}
	for _, size := range slopeSizes {
		l := largeLoop(b, largeList(size))
		l.fire(timerEntry{})
		took := math.Inf(1)
		for range 5 { // the least counts: others use the machine too
			began, rounds := processorTime(b), 0
			for rounds < 3 || processorTime(b)-began < 100*time.Millisecond {
				l.fire(timerEntry{})
				rounds++
			}
			took = min(took, float64((processorTime(b)-began).Nanoseconds())/1e3/float64(rounds))
		}
		b.ReportMetric(took, fmt.Sprint("us/", size))
		round.Points = append(round.Points, capacity.Point{Size: size, Value: took})
	}
	b.Log(round.Row())
	if updateCapacity {
		if err := round.Hold(capacityPage, true); err != nil {
			b.Fatal(err)
		}
	}
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
