package capacity_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/capacity"
	"dunlintray/internal/ledger"
	"dunlintray/internal/registry"
	"dunlintray/internal/testnet"
	"dunlintray/internal/wire"
	"dunlintray/rules"
)

const (
	pagePath = "../../docs/CAPACITY.md"

	slopesCommand = "CAPACITY_FULL=1 go test -run TestSlopes -v ./internal/capacity"
	timesCommand  = "go test -run - -bench Times -benchtime 1x ./internal/capacity"
)

// full measures all sizes of the page and not only the small ones; update writes the measurements
// to the page.
var full, update = os.Getenv("CAPACITY_FULL") != "", os.Getenv("CAPACITY_UPDATE") != ""

// quantity is a cost that is measured as a function of one size, with all other sizes constant.
type quantity struct {
	name, unit   string
	tolerance    float64 // factor; 0: not compared
	sizes        []int
	defaultSizes int // number of sizes, from the smallest, that each test run measures
	measure      func(t testing.TB, size int) float64
}

var (
	backendSizes  = []int{823, 2_469, 7_407, 22_222, 66_667, 200_000}
	customerSizes = []int{823, 2_469, 7_407, 22_222}
	watcherSizes  = []int{1, 3, 10, 30, 100, 300, 1_000}
	socketSizes   = []int{100, 300, 1_000, 3_000}
	rateSizes     = []int{1, 3, 9, 27, 81}
)

// quantities are counts, bytes and allocations, which are reproducible and compared with the page.
var quantities = []quantity{
	{"module_bytes_backend", "B by backends", 1.25, backendSizes, 4, func(t testing.TB, n int) float64 {
		return retained(func() any { return newModule(n) })
	}},
	{"module_bytes_customer", "B by customers", 1.25, customerSizes, 4, moduleCustomers},
	{"decision_allocations", "allocations by backends", 1.5, backendSizes, 2, decisionAllocations},
	{"housekeeping_allocations", "allocations by backends", 1.5, backendSizes, 2, housekeepingAllocations},
	{"counter_calls_interval", "counter calls for 320 requests of a customer of 16 gateways, by the seconds between two at one gateway", 1.5, rateSizes, 3, func(t testing.TB, n int) float64 {
		return counterCalls(1, n, 20)
	}},
	{"counter_calls_customers", "counter calls for 64 requests of each customer of 16 gateways, by customers", 1.5, rateSizes, 3, func(t testing.TB, n int) float64 {
		return counterCalls(n, 9, 4)
	}},
	{"feed_bytes_instance", "B by instances", 1.25, backendSizes, 2, func(t testing.TB, n int) float64 {
		list := parsedList(t, n)
		defer runtime.KeepAlive(&list)
		return retained(func() any {
			f := registry.NewFeed([]string{"127.0.0.1:1"}, random())
			if _, err := f.Answered(deepCopy(list), "h", 0); err != nil {
				t.Fatal(err)
			}
			return f
		})
	}},
	{"drops_comparisons", "comparisons for a whole list that lacks n instances and has n that changed (Feed.Answered)", 1.1, []int{274, 823, 2_469, 7_407}, 3, func(t testing.TB, n int) float64 {
		return float64(newShrinkingList(n).updatedFeed(t).Compared())
	}},
	{"list_bytes_instance", "B of a whole list by instances", 1.2, backendSizes, 2, func(t testing.TB, n int) float64 {
		return float64(len(read(t, filledStore(t, n, n), -1)))
	}},
	{"answer_bytes_change", "B of an answer by changes in it", 1.2, []int{1, 3, 9, 27, 81, 243}, 6, func(t testing.TB, n int) float64 {
		s := filledStore(t, 1000, 2000)
		from := s.Stats().Version
		for k := range n {
			register(t, s, instance(k, 2))
		}
		return float64(len(read(t, s, from)))
	}},
	{"store_bytes_instance", "B by instances, no history", 1.25, backendSizes, 2, func(t testing.TB, n int) float64 {
		return retained(func() any { return filledStore(t, n, 0) })
	}},
	{"store_bytes_change", "B by changes of the history, 1,000 instances", 1.25, []int{1_000, 3_000, 9_000, 27_000}, 2, func(t testing.TB, n int) float64 {
		return retained(func() any {
			s := filledStore(t, 1000, n)
			for k := range n {
				register(t, s, instance(k%1000, int64(2+k/1000)))
			}
			return s
		})
	}},
	{"ledger_bytes_record", "B by records of 20 B", 1.25, []int{300, 900, 2_700, 8_100}, 4, func(t testing.TB, n int) float64 {
		return retained(func() any { return filledLedger(n, 0) })
	}},
	{"ledger_bytes_session", "B by sessions", 1.25, []int{300, 900, 2_700, 8_000}, 4, func(t testing.TB, n int) float64 {
		return retained(func() any { return filledLedger(0, n) })
	}},
	{"change_allocations_watcher", "allocations of a change by watchers", 1.5, watcherSizes, 4, func(t testing.TB, n int) float64 {
		return changeCost(t, n, 8).allocations
	}},
	{"service_bytes_watcher", "B of heap by watchers, their sockets included", 1.25, socketSizes, 2, func(t testing.TB, n int) float64 {
		return changeCost(t, n, 1).heap
	}},
	{"service_bytes_connection", "B of heap by idle connections of backends, their sockets included", 1.25, socketSizes, 2, connectionBytes},
	{"renewal_allocations", "allocations of a renewal by instances", 1.5, []int{823, 2_469, 7_407, 22_222}, 2, func(t testing.TB, n int) float64 {
		return renewalCost(t, n, 400).allocations
	}},
	{"renewal_wire", "B on the wire of a renewal, both ways, by instances", 1.2, []int{823, 2_469, 7_407, 22_222}, 1, func(t testing.TB, n int) float64 {
		return renewalCost(t, n, 1).bytes
	}},
	{"watch_wire", "B on the wire of a watch call with one change, both ways, by instances of the list", 1.2, []int{823, 2_469, 7_407, 22_222}, 1, watchWire},
}

// times are processor times and the memory of stacks. They vary between runs and are not compared.
var times = []quantity{
	{"service_stacks_watcher", "B of stacks by watchers, their own included", 0, socketSizes, 0, func(t testing.TB, n int) float64 {
		return changeCost(t, n, 1).stacks
	}},
	{"decision_us", "us of a decision by backends", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		m := newModuleWith(settingsWithoutQuota(), n)
		return micros(func() { m.mustServe(t) })
	}},
	{"decision_us_plans", "us of a decision among 7,407 backends by plans, three classes each", 0, []int{1, 3, 9, 27}, 0, func(t testing.TB, n int) float64 {
		settings := settingsWithoutQuota()
		plan := settings.Plans[0]
		settings.Plans = nil
		for k := range n {
			plan.Price = 1 + 0.01*float64(k)
			settings.Plans = append(settings.Plans, plan)
		}
		m := newModuleWith(settings, 7_407)
		return micros(func() { m.mustServe(t) })
	}},
	{"housekeeping_us_backend", "us of a round of housekeeping by backends", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		m := newModule(n)
		return micros(func() { m.advance(0.05) })
	}},
	{"housekeeping_us_customer", "us of a round of housekeeping by customers", 0, customerSizes, 0, func(t testing.TB, n int) float64 {
		m := newModule(10)
		for k := range n {
			m.serve(rules.CustomerID(k + 1))
		}
		return micros(func() { m.advance(0.001) })
	}},
	{"list_read_us", "us of parsing a whole list and taking it in, by instances", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		body := read(t, filledStore(t, n, n), -1)
		return micros(func() {
			list, err := registry.ParseListing(body)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := registry.NewFeed([]string{"127.0.0.1:1"}, random()).Answered(list, "h", 0); err != nil {
				t.Fatal(err)
			}
		})
	}},
	{"drops_us", "us of a whole list that lacks n instances and has n that changed (Feed.Answered)", 0, []int{274, 823, 2_469, 7_407}, 0, shrinkMicros},
	{"tick_us", "us of a look at all leases by instances", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		s, now := filledStore(t, n, 0), time.Duration(0)
		return micros(func() {
			now += time.Millisecond
			if err := s.Tick(now); err != nil {
				t.Fatal(err)
			}
		})
	}},
	{"list_write_us", "us of joining a whole list by instances", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		s, k := filledStore(t, n, 10), int64(1)
		return micros(func() {
			k++
			register(t, s, instance(0, k))
			read(t, s, -1)
		})
	}},
	{"renewal_us", "us of a renewal, service and caller's socket, by instances", 0, []int{823, 2_469, 7_407, 22_222}, 0, func(t testing.TB, n int) float64 {
		return renewalCost(t, n, 5_000).micros
	}},
	{"change_us_watcher", "us of a change, service and readers' sockets, by watchers", 0, watcherSizes, 0, func(t testing.TB, n int) float64 {
		return changeCost(t, n, 50).micros
	}},
	{"reader_us", "us of a watch call with one change at its reader, client and the service's socket, by instances known", 0, []int{823, 2_469, 7_407, 22_222}, 0, readerTime},
}

// TestMain discards the log lines of the services.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// Each measured quantity is within its tolerance of the page.
func TestSlopes(t *testing.T) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range slices.Concat(quantities, scopedQuantities) {
		t.Run(q.name, func(t *testing.T) {
			measurement := q.run(t, full || update)
			t.Log(measurement.Row())
			if update {
				if err := page.SetRow(measurement); err != nil {
					t.Fatal(err)
				}
				return
			}
			slopes, err := page.Slopes()
			if err != nil {
				t.Fatal(err)
			}
			if err := slopes.Compare(measurement); err != nil {
				t.Error(err)
			}
		})
	}
	if update {
		if err := page.Write(); err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkTimes measures processor times and, with CAPACITY_UPDATE, writes them to the page.
func BenchmarkTimes(b *testing.B) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		b.Fatal(err)
	}
	for _, q := range slices.Concat(times, scopedTimes) {
		b.Run(q.name, func(b *testing.B) {
			measurement := q.run(b, true)
			b.Log(measurement.Row())
			for _, point := range measurement.Points {
				b.ReportMetric(point.Value, fmt.Sprint("us/", point.Size))
			}
			if err := page.SetRow(measurement); err != nil {
				b.Fatal(err)
			}
		})
	}
	if update {
		if err := page.Write(); err != nil {
			b.Fatal(err)
		}
	}
}

// run measures the quantity at all its sizes, or at the default ones.
func (q quantity) run(t testing.TB, all bool) capacity.Measurement {
	m := capacity.Measurement{Name: q.name, Unit: q.unit, Tolerance: q.tolerance, Command: slopesCommand}
	if q.tolerance == 0 {
		m.Command = timesCommand
	}
	for n, size := range q.sizes {
		if all || n < q.defaultSizes {
			m.Points = append(m.Points, capacity.Point{Size: size, Value: q.measure(t, size)})
		}
	}
	return m
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

const (
	minRetainedBytes  = 1 << 20 // of all copies, so that garbage of other code has little weight
	maxRetainedCopies = 64
	retainedRounds    = 3 // of which the median counts
)

// retained returns the heap bytes that one result of f retains.
func retained(f func() any) float64 {
	before := heapInUse()
	first := f()
	firstSize := max(heapInUse()-before, 1)
	runtime.KeepAlive(first)
	copies := int(min(max(minRetainedBytes/firstSize, 1), maxRetainedCopies))
	var sizes []float64
	for range retainedRounds {
		kept := make([]any, copies)
		before := heapInUse()
		for n := range kept {
			kept[n] = f()
		}
		sizes = append(sizes, float64(heapInUse()-before)/float64(copies))
		runtime.KeepAlive(kept)
	}
	slices.Sort(sizes)
	return sizes[len(sizes)/2]
}

// heapInUse returns the allocated heap bytes after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// stacksInUse returns the bytes of stacks after a garbage collection.
func stacksInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.StackInuse)
}

// mallocs returns the number of allocations of this process so far.
func mallocs() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.Mallocs)
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	minMeasuredTime  = 100 * time.Millisecond // processor time of a round
	minMeasuredCalls = 3                      // of a round
	measuredRounds   = 5                      // of which the fastest counts
)

// micros returns the processor time of one call of f in microseconds.
func micros(f func()) float64 {
	f()
	fastest := math.Inf(1)
	for range measuredRounds {
		startTime, calls := processorTime(), 0
		for calls < minMeasuredCalls || processorTime()-startTime < minMeasuredTime {
			f()
			calls++
		}
		fastest = min(fastest, float64((processorTime()-startTime).Nanoseconds())/1e3/float64(calls))
	}
	return fastest
}

// module is a decision module with a simulated counter and backends that serve each request at once.
type module struct {
	*rules.Gateway
	now          float64 // seconds
	lastRequest  rules.RequestID
	counterCalls int
	actions      []rules.Action     // of the latest event
	totals       map[uint64]float64 // of the counter, by name
}

// testSettings returns the settings of the example configuration, for the fleet of the target.
func testSettings() rules.Settings {
	text, err := os.ReadFile("../../docs/examples/gateway.json")
	if err != nil {
		panic(err)
	}
	var config struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &config); err != nil {
		panic(err)
	}
	deployment, err := wire.ParseDeployment(config.Settings)
	if err != nil {
		panic(err)
	}
	deployment.Fleet = 8700
	return deployment.Settings
}

func newModule(backends int) *module { return newModuleWith(testSettings(), backends) }

// newModuleWith returns a module whose backends are all warm.
func newModuleWith(settings rules.Settings, backends int) *module {
	m := &module{now: 1000, totals: map[uint64]float64{}}
	m.Gateway, _ = rules.New(settings, 7, m.now, nil)
	m.setBackends(backends)
	m.now += 100 // the backends become warm
	return m
}

func (m *module) setBackends(backends int) {
	update := rules.Backends{Kind: rules.FullList}
	for n := range backends {
		update.Entries = append(update.Entries, rules.Backend{ID: rules.BackendID(n + 1), State: rules.Ready, Weight: 1})
	}
	m.handle(update)
}

// handle passes an event to the module and keeps its actions.
func (m *module) handle(event rules.Event) {
	m.actions = m.Handle(m.now, event, m.actions[:0])
}

// settingsWithoutQuota returns settings whose first plan has no quota, so that each request needs a decision.
func settingsWithoutQuota() rules.Settings {
	settings := testSettings()
	settings.Plans[0].Rate = 0
	return settings
}

func (m *module) mustServe(t testing.TB) {
	if !m.serve(1) {
		t.Fatal("a request without quota was not sent to a backend")
	}
}

// serve sends a request of a customer. It reports whether the request was served; one that is over
// the quota is not.
func (m *module) serve(customer rules.CustomerID) (served bool) {
	m.lastRequest++
	id := m.lastRequest
	m.handle(rules.Request{ID: id, Customer: customer, Units: 1, GatewayCount: 16, Deadline: m.now + 1})
	for {
		restart := false // since the actions of a counter reply replace those that are ranged over
		for _, action := range m.actions {
			switch a := action.(type) {
			case rules.Count:
				m.counterCalls++
				m.totals[a.Name] += a.Amount
				m.handle(rules.CounterReply{Name: a.Name, Total: m.totals[a.Name], Took: 0.001})
				restart = true
			case rules.Send:
				m.now += 0.0001
				m.handle(rules.AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: rules.Served, Took: 0.0001, Done: true})
				return true
			}
			if restart {
				break
			}
		}
		if !restart {
			return false
		}
	}
}

// advance moves the time, runs a round of housekeeping and answers its calls to the counter.
func (m *module) advance(seconds float64) {
	m.now += seconds
	m.handle(rules.Timer{})
	var calls []rules.Count
	for _, action := range m.actions {
		if call, ok := action.(rules.Count); ok {
			calls = append(calls, call)
		}
	}
	for _, call := range calls {
		m.counterCalls++
		m.totals[call.Name] += call.Amount
		m.handle(rules.CounterReply{Name: call.Name, Total: m.totals[call.Name], Took: 0.001})
	}
}

func moduleCustomers(t testing.TB, n int) float64 {
	m := newModule(10)
	m.serve(1)
	before := heapInUse()
	for k := range n {
		m.serve(rules.CustomerID(k + 2))
	}
	clear(m.totals)
	m.totals = nil
	after := heapInUse()
	runtime.KeepAlive(m)
	return float64(after - before)
}

func decisionAllocations(t testing.TB, n int) float64 {
	m := newModuleWith(settingsWithoutQuota(), n)
	m.mustServe(t)
	const rounds = 200
	before := mallocs()
	for range rounds {
		m.mustServe(t)
	}
	return (mallocs() - before) / rounds
}

func housekeepingAllocations(t testing.TB, n int) float64 {
	m := newModule(n)
	m.advance(0.05)
	const rounds = 200
	before := mallocs()
	for range rounds {
		m.advance(0.05)
	}
	return (mallocs() - before) / rounds
}

// counterCalls returns the number of counter calls for the requests of customers, which they send to
// 16 gateways with one counter in turn.
func counterCalls(customers, secondsApart, rounds int) float64 {
	const gateways = 16
	totals := map[uint64]float64{}
	var modules []*module
	for rank := range gateways {
		settings := testSettings()
		settings.Rank = rank
		settings.Plans[0].Rate, settings.Plans[0].Burst = 10, 50
		settings.Plans[0].CeilingRate = 0
		m := newModuleWith(settings, 10)
		m.totals = totals
		modules = append(modules, m)
	}
	const step = 0.05
	interval := float64(secondsApart) / gateways // between requests at two gateways
	elapsed := 0.0
	for range rounds {
		for _, receiver := range modules {
			for customer := range customers {
				receiver.serve(rules.CustomerID(customer + 1))
			}
			for elapsed += interval; elapsed >= step; elapsed -= step {
				for _, m := range modules {
					m.advance(step)
				}
			}
		}
	}
	calls := 0
	for _, m := range modules {
		calls += m.counterCalls
	}
	return float64(calls)
}

// instance returns the n-th instance of the test list, with a start time in milliseconds after a
// fixed base.
func instance(n int, started int64) registry.Instance {
	return registry.Instance{ID: fmt.Sprintf("checkout-%06d", n), HostPort: fmt.Sprintf("10.%d.%d.%d:8080", n>>16&255, n>>8&255, n&255),
		Zone: fmt.Sprintf("eu-1%c", 'a'+n%3), MachineType: "std", Lifecycle: registry.Ready, Weight: 1, StartedAtMs: 1764600000000 + started}
}

func register(t testing.TB, s *registry.Store, i registry.Instance) {
	if _, err := s.Register(0, i, nil); err != nil {
		t.Fatal(err)
	}
}

// filledStore returns a store with a number of instances that keeps a number of changes.
func filledStore(t testing.TB, instances, history int) *registry.Store {
	limits := registry.Limits{Lease: time.Hour, Instances: instances, History: history, HistoryBytes: 1 << 40}
	s := registry.NewStore(limits, "h", 1000, -limits.Lease)
	for n := range instances {
		register(t, s, instance(n, 1))
	}
	return s
}

// read returns the body of the answer with the changes since a version, or of the whole list for -1.
func read(t testing.TB, s *registry.Store, since int64) []byte {
	answer, err := s.Read(0, since, "")
	if err != nil {
		t.Fatal(err)
	}
	return answer.Body
}

func parsedList(t testing.TB, n int) registry.Listing {
	list, err := registry.ParseListing(read(t, filledStore(t, n, 0), -1))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// deepCopy returns a list that shares no strings with the original, like a parsed answer.
func deepCopy(list registry.Listing) registry.Listing {
	clone := registry.Listing{Generation: list.Generation, Reset: list.Reset}
	for _, i := range list.Instances {
		i.ID, i.HostPort, i.Zone, i.MachineType = string([]byte(i.ID)), string([]byte(i.HostPort)), string([]byte(i.Zone)), string([]byte(i.MachineType))
		i.Lifecycle = registry.Lifecycle([]byte(i.Lifecycle))
		clone.Instances = append(clone.Instances, i)
	}
	return clone
}

// shrinkingList is a list and a later one that lacks half of its instances and changes the others.
type shrinkingList struct{ first, second registry.Listing }

// newShrinkingList returns a list of 2n instances and a later one of n.
func newShrinkingList(n int) (d shrinkingList) {
	d.first, d.second = registry.Listing{Generation: 1, Reset: true}, registry.Listing{Generation: 2, Reset: true}
	for k := range 2 * n {
		d.first.Instances = append(d.first.Instances, instance(k, 1))
	}
	for k := range n {
		d.second.Instances = append(d.second.Instances, instance(k, 2))
	}
	return d
}

// feed returns a feed with the first list.
func (d shrinkingList) feed(t testing.TB) *registry.Feed {
	f := registry.NewFeed([]string{"127.0.0.1:1"}, random())
	if _, err := f.Answered(d.first, "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

// updatedFeed returns a feed that received both lists.
func (d shrinkingList) updatedFeed(t testing.TB) *registry.Feed {
	f := d.feed(t)
	if _, err := f.Answered(d.second, "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

// shrinkMicros returns the processor time of taking in the second list in microseconds.
func shrinkMicros(t testing.TB, n int) float64 {
	d := newShrinkingList(n)
	fastest := math.Inf(1)
	for range 10 * measuredRounds {
		f := d.feed(t)
		startTime := processorTime()
		if _, err := f.Answered(d.second, "h", 0); err != nil {
			t.Fatal(err)
		}
		fastest = min(fastest, float64((processorTime()-startTime).Nanoseconds())/1e3)
	}
	return fastest
}

// service is a service registry on local sockets.
type service struct {
	version         int64 // of the list at the start
	address         string
	operatorAddress string
	stop            context.CancelFunc
	result          chan error // of Serve
}

func newService(t testing.TB, instances, connections int) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newServiceOn(t, l, instances, connections)
}

func newServiceOn(t testing.TB, l net.Listener, instances, connections int) *service {
	return newServiceOf(t, l, filledStore(t, instances, 20_000), connections)
}

func newServiceOf(t testing.TB, l net.Listener, store *registry.Store, connections int) *service {
	operatorListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{version: store.Stats().Version, address: l.Addr().String(), operatorAddress: operatorListener.Addr().String(), result: make(chan error, 1)}
	limits := registry.ServerLimits{Connections: connections, Watchers: connections, ListingsPerSecond: 1000}
	server := registry.NewWriter("self", store, limits, time.Now(), random())
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.result <- server.Serve(ctx, l, operatorListener) }()
	return s
}

// close stops the service. The caller closes its connections first.
func (s *service) close() {
	s.stop()
	<-s.result
}

// awaitWatchers returns once the service has a number of waiting watchers.
func (s *service) awaitWatchers(t testing.TB, watchers int) {
	for want := fmt.Sprintf("registry.watchers:%d|g\n", watchers); ; {
		resp, err := http.Get("http://" + s.operatorAddress + "/control/counters")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(text, []byte(want)) {
			http.DefaultClient.CloseIdleConnections()
			return
		}
	}
}

func dial(t testing.TB, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// readAnswer reads one HTTP response into buffer, and returns its length and the offset of its body.
func readAnswer(conn net.Conn, buffer []byte) (n, body int, err error) {
	for {
		received, err := conn.Read(buffer[n:])
		if n += received; err != nil {
			return n, 0, err
		}
		head := bytes.Index(buffer[:n], []byte("\r\n\r\n"))
		if head < 0 {
			continue
		}
		body = head + 4
		at := bytes.Index(buffer[:head], []byte("Content-Length: "))
		length, _ := parseDigits(buffer[at+len("Content-Length: "):])
		if n >= body+length {
			return n, body, nil
		}
	}
}

// parseDigits parses the digits at the start of a text, and returns their value and their number.
func parseDigits(text []byte) (value, digits int) {
	for ; digits < len(text) && text[digits] >= '0' && text[digits] <= '9'; digits++ {
		value = 10*value + int(text[digits]-'0')
	}
	return value, digits
}

// cost is what one operation of a service costs.
type cost struct{ allocations, bytes, micros, heap, stacks float64 }

const warmUpChanges = 2 // not measured, since connections are new

// watcher waits for changes of the list in a loop, without allocations.
type watcher struct {
	net.Conn
	buffer, request []byte
	prefix          string // of the query
}

func newWatcher(t testing.TB, address string, version int64) *watcher {
	w := &watcher{Conn: dial(t, address), buffer: make([]byte, 4096), request: make([]byte, 0, 256)}
	if err := w.watch(version); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *watcher) watch(version int64) error {
	w.request = append(w.request[:0], "GET "+registry.Path+"?"...)
	w.request = append(append(w.request, w.prefix...), "since="...)
	w.request = append(strconv.AppendInt(w.request, version, 10), "&timeout_ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n"...)
	_, err := w.Write(w.request)
	return err
}

// run reports each change and waits for the next one, until its connection is closed.
func (w *watcher) run(notified chan<- struct{}) {
	for {
		n, body, err := readAnswer(w, w.buffer)
		if err != nil {
			return
		}
		version, _ := parseDigits(w.buffer[body+len(`{"generation":`) : n])
		if w.watch(int64(version)) != nil {
			return
		}
		notified <- struct{}{}
	}
}

// changeCost returns the cost of a change with a number of watchers, each of which waits again after
// it.
func changeCost(t testing.TB, watchers, changes int) (result cost) {
	s := newService(t, 200, 2*watchers+10)
	defer s.close()
	notified := make(chan struct{}, watchers)
	heapBefore, stacksBefore := heapInUse(), stacksInUse()
	for range watchers {
		w := newWatcher(t, s.address, s.version)
		defer w.Close()
		go w.run(notified)
	}
	s.awaitWatchers(t, watchers)
	result.heap = float64(heapInUse()-heapBefore) - float64(watchers)*(4096+256) // less the buffers of the watchers
	result.stacks = float64(stacksInUse() - stacksBefore)
	writer := dial(t, s.address)
	defer writer.Close()
	var mallocsBefore float64
	var startTime time.Duration
	for n := range warmUpChanges + changes {
		if n == warmUpChanges {
			mallocsBefore, startTime = mallocs(), processorTime()
		}
		change(t, writer, n, 2)
		for range watchers {
			<-notified
		}
	}
	result.allocations = (mallocs() - mallocsBefore) / float64(changes)
	result.micros = float64((processorTime() - startTime).Microseconds()) / float64(changes)
	return result
}

// change registers an instance with another start time.
func change(t testing.TB, writer net.Conn, n int, started int64) {
	i := instance(n, started)
	body := fmt.Sprintf(`{"hostPort":%q,"zone":%q,"machineType":"std","startedAtMs":%d}`, i.HostPort, i.Zone, i.StartedAtMs)
	put(t, writer, i.ID, body)
}

// put sends a registration and reads the response.
func put(t testing.TB, writer net.Conn, id, body string) {
	fmt.Fprintf(writer, "PUT %s/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", registry.Path, id, len(body), body)
	buffer := make([]byte, 4096)
	if k, _, err := readAnswer(writer, buffer); err != nil || !bytes.HasPrefix(buffer, []byte("HTTP/1.1 200")) {
		t.Fatalf("%v: %s", err, buffer[:k])
	}
}

// connectionBytes returns the heap bytes of idle connections that have renewed a lease.
func connectionBytes(t testing.TB, n int) float64 {
	s := newService(t, n, 2*n)
	defer s.close()
	before := heapInUse()
	buffer := make([]byte, 4096)
	for k := range n {
		conn := dial(t, s.address)
		defer conn.Close()
		renew(t, conn, k, buffer)
	}
	return float64(heapInUse() - before)
}

// renew renews the lease of an instance and returns the bytes of request and response.
func renew(t testing.TB, conn net.Conn, k int, buffer []byte) int {
	request := renewal(k)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	n, _, err := readAnswer(conn, buffer)
	if err != nil || !bytes.HasPrefix(buffer, []byte("HTTP/1.1 200")) {
		t.Fatalf("%v: %s", err, buffer[:n])
	}
	return len(request) + n
}

func renewal(k int) []byte {
	return fmt.Appendf(nil, "POST %s/checkout-%06d/renew HTTP/1.1\r\nHost: 10.0.0.1:8500\r\nContent-Length: 29\r\n\r\n{\"startedAtMs\":1764600000001}", registry.Path, k)
}

// renewalCost returns the cost of a renewal at a service with a number of instances.
func renewalCost(t testing.TB, instances, rounds int) (result cost) {
	s := newService(t, instances, 10)
	defer s.close()
	conn := dial(t, s.address)
	defer conn.Close()
	buffer := make([]byte, 4096)
	requests := make([][]byte, rounds)
	for n := range requests {
		requests[n] = renewal(n % instances)
	}
	for k := range 100 {
		result.bytes = float64(renew(t, conn, k, buffer))
	}
	before, startTime := mallocs(), processorTime()
	for _, request := range requests {
		if _, err := conn.Write(request); err != nil {
			t.Fatal(err)
		}
		if _, _, err := readAnswer(conn, buffer); err != nil {
			t.Fatal(err)
		}
	}
	result.allocations = (mallocs() - before) / float64(rounds)
	result.micros = float64((processorTime() - startTime).Microseconds()) / float64(rounds)
	return result
}

// countingConn counts the bytes that pass a connection, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes that pass each connection, by the address of its client.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

func newCountingListener(t testing.TB) *countingListener {
	return &countingListener{Listener: testnet.Listener(t), bytes: map[string]*atomic.Int64{}}
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	count := &atomic.Int64{}
	l.mu.Lock()
	l.bytes[conn.RemoteAddr().String()] = count
	l.mu.Unlock()
	return countingConn{conn, count}, nil
}

// bytesWithout returns the bytes of all connections but one.
func (l *countingListener) bytesWithout(excluded net.Addr) (total int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, count := range l.bytes {
		if address != excluded.String() {
			total += count.Load()
		}
	}
	return total
}

// watchWire returns the bytes on the wire of a watch call of the client with one change.
func watchWire(t testing.TB, instances int) float64 {
	counted := newCountingListener(t)
	s := newServiceOn(t, counted, instances, 10)
	defer s.close()
	return bytesPerWatch(t, s, counted, nil, func(writer net.Conn, started int64) { change(t, writer, 0, started) })
}

// bytesPerWatch returns the bytes on the wire, both ways, of a watch call of a client with the given
// scopes, for each change of the list.
func bytesPerWatch(t testing.TB, s *service, counted *countingListener, scopes []registry.Scope, change func(writer net.Conn, started int64)) float64 {
	updated := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	client := registry.NewClient([]string{s.address}, random(), func(registry.Update) { updated <- struct{}{} })
	if scopes != nil {
		client.SetScopes(scopes)
	}
	wg.Go(func() { client.Run(ctx, nil) })
	<-updated
	writer := dial(t, s.address)
	defer writer.Close()
	const rounds = 10
	var before int64
	for n := range rounds + 1 {
		if n == 1 {
			before = counted.bytesWithout(writer.LocalAddr())
		}
		change(writer, int64(n+2))
		<-updated
	}
	// The next request of the client may already be counted.
	return float64(counted.bytesWithout(writer.LocalAddr())-before) / rounds
}

// readerTime returns the processor time of a watch call at the client, whose service is a loop that
// writes answers with one change each.
func readerTime(t testing.TB, instances int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	whole := read(t, filledStore(t, instances, 0), -1)
	version := 1000 + instances
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for n := 0; ; n++ {
			for {
				line, err := r.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) == 2 {
					break
				}
			}
			body := whole
			if n > 0 {
				text, _ := json.Marshal(instance(0, int64(n+1)))
				body = fmt.Appendf(nil, `{"generation":%d,"reset":false,"instances":[%s]}`, version+n, text)
			}
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: h\r\nContent-Length: %d\r\n\r\n%s", registry.HistoryHeader, len(body), body); err != nil {
				return
			}
		}
	}()
	const rounds = 2000
	updated := make(chan int, 1)
	ctx, stop := context.WithCancel(context.Background())
	n := 0
	client := registry.NewClient([]string{l.Addr().String()}, random(), func(registry.Update) {
		if n++; n == 10 || n == 10+rounds {
			updated <- n
		}
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { client.Run(ctx, nil) })
	<-updated
	startTime := processorTime()
	<-updated
	return float64((processorTime() - startTime).Microseconds()) / rounds
}

func filledLedger(records, sessions int) *ledger.State {
	s := ledger.New(ledger.DefaultLimits)
	index := uint64(0)
	for n := range records {
		index++
		s.Apply(index, ledger.Command{Op: ledger.Put, Name: fmt.Sprintf("record-%05d", n), Value: []byte(`"01234567890123456789"`)})
	}
	for n := range sessions {
		index++
		s.Apply(index, ledger.Command{Op: ledger.Open, Caller: fmt.Sprintf("gateway-%05d", n), Request: 1, TTLMs: 10_000})
	}
	return s
}
