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
	listSizes      = []int{823, 2_469, 7_407, 22_222, 66_667, 200_000}
	measureAll     = os.Getenv("CAPACITY_FULL") != "" || os.Getenv("CAPACITY_UPDATE") != ""
	updateCapacity = os.Getenv("CAPACITY_UPDATE") != ""
)

const shortRunSizes = 4 // sizes that are measured unless measureAll is set

// largeList returns a full list with the given number of backends.
func largeList(backends int) Listing {
	listing := Listing{Generation: 1, Reset: true}
	for i := range backends {
		listing.Instances = append(listing.Instances, Instance{ID: fmt.Sprintf("checkout-%06d", i), HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Zone: "a", MachineType: "m", Lifecycle: registry.Ready, Weight: 1, StartedAtMs: 1764600000001})
	}
	return listing
}

// largeLoop returns a loop with the backends of a list. It shares the strings of the list.
func largeLoop(t testing.TB, list Listing) *Loop {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	metrics := newMetrics(&config)
	loop := newLoop(&config, metrics.newService(config.Deployment, 0), metrics, newPools(time.Second, time.Minute, 8, metrics), nil, func() {})
	loop.applyList(list, rules.FullList)
	return loop
}

// heapInUse returns the bytes on the heap after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestSlopes checks the memory of a gateway per backend, and the size of its backends view, by
// the values in docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	const command = "CAPACITY_FULL=1 go test -run TestSlopes -v ./internal/gateway"
	memory := capacity.Measurement{Name: "gateway_bytes_backend", Unit: "B by backends: module, list without its texts, and pools", Tolerance: 1.25, Command: command}
	view := capacity.Measurement{Name: "view_bytes_backend", Unit: "B of /control/backends by backends", Tolerance: 1.2, Command: command}
	for i, size := range listSizes {
		if i >= shortRunSizes && !measureAll {
			break
		}
		list := largeList(size)
		before := heapInUse()
		loop := largeLoop(t, list)
		memory.Points = append(memory.Points, capacity.Point{Size: size, Value: float64(heapInUse() - before)})
		runtime.KeepAlive(list)
		text, err := json.Marshal(loop.backendsView(backendsQuery{all: true}))
		if err != nil {
			t.Fatal(err)
		}
		view.Points = append(view.Points, capacity.Point{Size: size, Value: float64(len(text))})
	}
	for _, measured := range []capacity.Measurement{memory, view} {
		t.Log(measured.Row())
		if err := measured.CompareOrUpdate(capacityPage, updateCapacity); err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkRound measures the processor time of a round of housekeeping in the loop.
func BenchmarkRound(b *testing.B) {
	round := capacity.Measurement{Name: "round_us_backend", Unit: "us of a round of housekeeping, module and loop, by backends",
		Command: "go test -run - -bench Round -benchtime 1x ./internal/gateway"}
	for _, size := range listSizes {
		loop := largeLoop(b, largeList(size))
		loop.fire(&timer{})
		took := math.Inf(1)
		for range 5 { // the minimum counts, since other processes share the machine
			start, rounds := processorTime(b), 0
			for rounds < 3 || processorTime(b)-start < 100*time.Millisecond {
				loop.fire(&timer{})
				rounds++
			}
			took = min(took, float64((processorTime(b)-start).Nanoseconds())/1e3/float64(rounds))
		}
		b.ReportMetric(took, fmt.Sprint("us/", size))
		round.Points = append(round.Points, capacity.Point{Size: size, Value: took})
	}
	b.Log(round.Row())
	if updateCapacity {
		if err := round.CompareOrUpdate(capacityPage, true); err != nil {
			b.Fatal(err)
		}
	}
}

// processorTime returns the processor time of this process.
func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
