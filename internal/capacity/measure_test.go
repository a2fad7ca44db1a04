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
	"dunlintray/internal/wire"
	"dunlintray/rules"
)

const (
	pagePath = "../../docs/CAPACITY.md"

	slopesCommand = "CAPACITY_FULL=1 go test -run TestSlopes -v ./internal/capacity"
	timesCommand  = "go test -run - -bench Times -benchtime 1x ./internal/capacity"
)

// full asks for all sizes of the page, not only for those that a few seconds allow;
// update writes what was measured into the page.
var full, update = os.Getenv("CAPACITY_FULL") != "", os.Getenv("CAPACITY_UPDATE") != ""

// quantity is something that grows with a size, the other sizes held.
type quantity struct {
	name, unit string
	within     float64
	sizes      []int
	often      int // so many of the sizes are measured at each run of the tests, the smallest
	measure    func(t testing.TB, size int) float64
}

var (
	backendSizes  = []int{823, 2_469, 7_407, 22_222, 66_667, 200_000}
	customerSizes = []int{823, 2_469, 7_407, 22_222}
	watcherSizes  = []int{1, 3, 10, 30, 100, 300, 1_000}
	socketSizes   = []int{100, 300, 1_000, 3_000}
	rateSizes     = []int{1, 3, 9, 27, 81}
)

// quantities are counts, bytes and allocations; none of them is a time.
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
			if _, err := f.Answered(copied(list), "h", 0); err != nil {
				t.Fatal(err)
			}
			return f
		})
	}},
	{"drops_comparisons", "comparisons for a whole list that lacks n instances and has n that changed (Feed.Answered)", 1.1, []int{274, 823, 2_469, 7_407}, 3, func(t testing.TB, n int) float64 {
		return float64(listThatDrops(n).answer(t).Compared())
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
		return watched(t, n, 8).allocations
	}},
	{"service_bytes_watcher", "B of heap by watchers, their sockets included", 1.25, socketSizes, 2, func(t testing.TB, n int) float64 {
		return watched(t, n, 1).heap
	}},
	{"service_bytes_connection", "B of heap by idle connections of backends, their sockets included", 1.25, socketSizes, 2, connectionBytes},
	{"renewal_allocations", "allocations of a renewal by instances", 1.5, []int{823, 2_469, 7_407, 22_222}, 2, func(t testing.TB, n int) float64 {
		return renewals(t, n, 400).allocations
	}},
	{"renewal_wire", "B on the wire of a renewal, both ways, by instances", 1.2, []int{823, 2_469, 7_407, 22_222}, 1, func(t testing.TB, n int) float64 {
		return renewals(t, n, 1).bytes
	}},
	{"watch_wire", "B on the wire of a watch call with one change, both ways, by instances of the list", 1.2, []int{823, 2_469, 7_407, 22_222}, 1, watchWire},
}

// times are of the processor; they are never compared, nor is what stacks take, which the
// runtime keeps for later goroutines.
var times = []quantity{
	{"service_stacks_watcher", "B of stacks by watchers, their own included", 0, socketSizes, 0, func(t testing.TB, n int) float64 {
		return watched(t, n, 1).stacks
	}},
	{"decision_us", "us of a decision by backends", 0, backendSizes, 0, func(t testing.TB, n int) float64 {
		m := newModuleWith(unlimited(), n)
		return micros(func() { m.mustServe(t) })
	}},
	{"decision_us_plans", "us of a decision among 7,407 backends by plans, three classes each", 0, []int{1, 3, 9, 27}, 0, func(t testing.TB, n int) float64 {
		set := unlimited()
		plan := set.Plans[0]
		set.Plans = nil
		for k := range n {
			plan.Price = 1 + 0.01*float64(k)
			set.Plans = append(set.Plans, plan)
		}
		m := newModuleWith(set, 7_407)
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
	{"drops_us", "us of a whole list that lacks n instances and has n that changed (Feed.Answered)", 0, []int{274, 823, 2_469, 7_407}, 0, dropped},
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
		return renewals(t, n, 5_000).micros
	}},
	{"change_us_watcher", "us of a change, service and readers' sockets, by watchers", 0, watcherSizes, 0, func(t testing.TB, n int) float64 {
		return watched(t, n, 50).micros
	}},
	{"reader_us", "us of a watch call with one change at its reader, client and the service's socket, by instances known", 0, []int{823, 2_469, 7_407, 22_222}, 0, readerTime},
}

// TestMain keeps the services' lines out of the results.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// TestSlopes measures each quantity and holds it to the page's.
func TestSlopes(t *testing.T) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range slices.Concat(quantities, scopedQuantities) {
		t.Run(q.name, func(t *testing.T) {
			m := q.run(t, full || update)
			t.Log(m.Row())
			if update {
				if err := page.Put(m); err != nil {
					t.Fatal(err)
				}
				return
			}
			slopes, err := page.Slopes()
			if err != nil {
				t.Fatal(err)
			}
			if err := slopes.Compare(m); err != nil {
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

// BenchmarkTimes measures processor times, whose table is for readers and for the figures.
func BenchmarkTimes(b *testing.B) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		b.Fatal(err)
	}
	for _, q := range slices.Concat(times, scopedTimes) {
		b.Run(q.name, func(b *testing.B) {
			m := q.run(b, true)
			b.Log(m.Row())
			for _, p := range m.Points {
				b.ReportMetric(p.Value, fmt.Sprint("us/", p.Size))
			}
			if err := page.Put(m); err != nil {
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

func (q quantity) run(t testing.TB, all bool) capacity.Measured {
	m := capacity.Measured{Name: q.name, Unit: q.unit, Within: q.within, Command: slopesCommand}
	if q.within == 0 {
		m.Command = timesCommand
	}
	for n, size := range q.sizes {
		if all || n < q.often {
			m.Points = append(m.Points, capacity.Point{Size: size, Value: q.measure(t, size)})
		}
	}
	return m
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

const (
	retainedLeast = 1 << 20 // bytes that a measurement wants to see, so that what others leave does not count
	retainedMost  = 64      // copies at most, for that
	retainedTimes = 3       // measurements, of which the middle one counts
)

// retained is how many bytes of the heap hold what f returns.
func retained(f func() any) float64 {
	before := heapInUse()
	first := f()
	size := max(heapInUse()-before, 1)
	runtime.KeepAlive(first)
	copies := int(min(max(retainedLeast/size, 1), retainedMost))
	var each []float64
	for range retainedTimes {
		kept := make([]any, copies)
		before := heapInUse()
		for n := range kept {
			kept[n] = f()
		}
		each = append(each, float64(heapInUse()-before)/float64(copies))
		runtime.KeepAlive(kept)
	}
	slices.Sort(each)
	return each[len(each)/2]
}

// heapInUse is what is in use of it.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// stacksInUse is what stacks take.
func stacksInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}

func mallocs() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs)
}

// processor is the processor time of this process so far.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	measuredFor    = 100 * time.Millisecond // of processor time, at least, and three calls
	measuredRounds = 5                      // of which the least counts: others use the machine too
)

// micros is the processor time of one call of f.
func micros(f func()) float64 {
	f()
	least := math.Inf(1)
	for range measuredRounds {
		began, calls := processor(), 0
		for calls < 3 || processor()-began < measuredFor {
			f()
			calls++
		}
		least = min(least, float64((processor()-began).Nanoseconds())/1e3/float64(calls))
	}
	return least
}

// module is a decision module whose requests are all served at once.
type module struct {
	*rules.Gateway
	now    float64
	next   rules.RequestID
	counts int
	out    []rules.Action
	totals map[uint64]float64
}

// testSettings are those of the configuration that ships, for the fleet of the target.
func testSettings() rules.Settings {
	text, err := os.ReadFile("../../docs/examples/gateway.json")
	if err != nil {
		panic(err)
	}
	var config struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &config); err != nil {
		panic(err)
	}
	d, err := wire.ParseDeployment(config.Settings)
	if err != nil {
		panic(err)
	}
	d.Fleet = 8700
	return d.Settings
}

func newModule(backends int) *module { return newModuleWith(testSettings(), backends) }

func newModuleWith(set rules.Settings, backends int) *module {
	m := &module{now: 1000, totals: map[uint64]float64{}}
	m.Gateway, _ = rules.New(set, 7, m.now, nil)
	m.list(backends)
	m.now += 100 // all backends are warm
	return m
}

func (m *module) list(backends int) {
	news := rules.Backends{Kind: rules.FullList}
	for n := range backends {
		news.Entries = append(news.Entries, rules.Backend{ID: rules.BackendID(n + 1), State: rules.Ready, Weight: 1})
	}
	m.handle(news)
}

func (m *module) handle(ev rules.Event) {
	m.out = m.Handle(m.now, ev, m.out[:0])
}

// unlimited are settings whose first plan has no quota, so that each request is a decision.
func unlimited() rules.Settings {
	set := testSettings()
	set.Plans[0].Rate = 0
	return set
}

func (m *module) mustServe(t testing.TB) {
	if !m.serve(1) {
		t.Fatal("a request was not sent to any backend")
	}
}

// serve lets a customer ask once. Its request is granted and served, unless the customer is
// over its quota.
func (m *module) serve(customer rules.CustomerID) (served bool) {
	m.next++
	id := m.next
	m.handle(rules.Request{ID: id, Customer: customer, Units: 1, GatewayCount: 16, Deadline: m.now + 1})
	for {
		again := false
		for _, action := range m.out {
			switch a := action.(type) {
			case rules.Count:
				m.counts++
				m.totals[a.Name] += a.Amount
				m.handle(rules.CounterReply{Name: a.Name, Total: m.totals[a.Name], Took: 0.001})
				again = true
			case rules.Send:
				m.now += 0.0001
				m.handle(rules.AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: rules.Served, Took: 0.0001, Done: true})
				return true
			}
			if again {
				break
			}
		}
		if !again {
			return false
		}
	}
}

// advance lets time pass to the next round of housekeeping, whose calls to the counter are
// answered.
func (m *module) advance(seconds float64) {
	m.now += seconds
	m.handle(rules.Timer{})
	var calls []rules.Count
	for _, action := range m.out {
		if c, ok := action.(rules.Count); ok {
			calls = append(calls, c)
		}
	}
	for _, c := range calls {
		m.counts++
		m.totals[c.Name] += c.Amount
		m.handle(rules.CounterReply{Name: c.Name, Total: m.totals[c.Name], Took: 0.001})
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
	m := newModuleWith(unlimited(), n)
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

// counterCalls counts the calls that so many customers' requests lead to, whose gateways
// are asked in turn and share one counter.
func counterCalls(customers, secondsApart, rounds int) float64 {
	const gateways = 16
	totals := map[uint64]float64{}
	var all []*module
	for rank := range gateways {
		set := testSettings()
		set.Rank = rank
		set.Plans[0].Rate, set.Plans[0].Burst = 10, 50
		set.Plans[0].CeilingRate = 0
		m := newModuleWith(set, 10)
		m.totals = totals
		all = append(all, m)
	}
	const step = 0.05
	due := float64(secondsApart) / gateways // until the next gateway is asked
	wait := 0.0
	for range rounds {
		for _, asked := range all {
			for c := range customers {
				asked.serve(rules.CustomerID(c + 1))
			}
			for wait += due; wait >= step; wait -= step {
				for _, m := range all {
					m.advance(step)
				}
			}
		}
	}
	counts := 0
	for _, m := range all {
		counts += m.counts
	}
	return float64(counts)
}

func instance(n int, started int64) registry.Instance {
	return registry.Instance{ID: fmt.Sprintf("checkout-%06d", n), HostPort: fmt.Sprintf("10.%d.%d.%d:8080", n>>16&255, n>>8&255, n&255),
		Zone: fmt.Sprintf("eu-1%c", 'a'+n%3), MachineType: "std", Lifecycle: registry.Ready, Weight: 1, StartedAtMs: 1764600000000 + started}
}

func register(t testing.TB, s *registry.Store, i registry.Instance) {
	if _, err := s.Register(0, i, nil); err != nil {
		t.Fatal(err)
	}
}

// filledStore is a store with so many instances, that keeps so many changes.
func filledStore(t testing.TB, instances, history int) *registry.Store {
	limits := registry.Limits{Lease: time.Hour, Instances: instances, History: history, HistoryBytes: 1 << 40}
	s := registry.NewStore(limits, "h", 1000, -limits.Lease)
	for n := range instances {
		register(t, s, instance(n, 1))
	}
	return s
}

func read(t testing.TB, s *registry.Store, since int64) []byte {
	a, err := s.Read(0, since, "")
	if err != nil {
		t.Fatal(err)
	}
	return a.Body
}

func parsedList(t testing.TB, n int) registry.Listing {
	list, err := registry.ParseListing(read(t, filledStore(t, n, 0), -1))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// copied returns a list with texts of its own, as each answer has them.
func copied(l registry.Listing) registry.Listing {
	own := registry.Listing{Generation: l.Generation, Reset: l.Reset}
	for _, i := range l.Instances {
		i.ID, i.HostPort, i.Zone, i.MachineType = string([]byte(i.ID)), string([]byte(i.HostPort)), string([]byte(i.Zone)), string([]byte(i.MachineType))
		i.Lifecycle = registry.Lifecycle([]byte(i.Lifecycle))
		own.Instances = append(own.Instances, i)
	}
	return own
}

// dropping is a list, and one behind it that lacks some of its instances and has the
// others changed.
type dropping struct{ first, second registry.Listing }

func listThatDrops(n int) (d dropping) {
	d.first, d.second = registry.Listing{Generation: 1, Reset: true}, registry.Listing{Generation: 2, Reset: true}
	for k := range 2 * n {
		d.first.Instances = append(d.first.Instances, instance(k, 1))
	}
	for k := range n {
		d.second.Instances = append(d.second.Instances, instance(k, 2))
	}
	return d
}

// feed returns a feed that has the first list.
func (d dropping) feed(t testing.TB) *registry.Feed {
	f := registry.NewFeed([]string{"127.0.0.1:1"}, random())
	if _, err := f.Answered(d.first, "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

// answer returns a feed that has taken both lists.
func (d dropping) answer(t testing.TB) *registry.Feed {
	f := d.feed(t)
	if _, err := f.Answered(d.second, "h", 0); err != nil {
		t.Fatal(err)
	}
	return f
}

// dropped is the time that the second list takes.
func dropped(t testing.TB, n int) float64 {
	d := listThatDrops(n)
	least := math.Inf(1)
	for range 10 * measuredRounds {
		f := d.feed(t)
		began := processor()
		if _, err := f.Answered(d.second, "h", 0); err != nil {
			t.Fatal(err)
		}
		least = min(least, float64((processor()-began).Nanoseconds())/1e3)
	}
	return least
}

// service is a list service on sockets of this machine.
type service struct {
	version            int64 // of the list at the start
	address, operators string
	stop               context.CancelFunc
	ended              chan error
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
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{version: store.Stats().Version, address: l.Addr().String(), operators: operators.Addr().String(), ended: make(chan error, 1)}
	limits := registry.ServerLimits{Connections: connections, Watchers: connections, ListingsPerSecond: 1000}
	server := registry.NewWriter("self", store, limits, time.Now(), random())
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.ended <- server.Serve(ctx, l, operators) }()
	return s
}

// close ends the service. Connections are to be closed before it.
func (s *service) close() {
	s.stop()
	<-s.ended
}

// awaitWatchers returns when so many watchers wait.
func (s *service) awaitWatchers(t testing.TB, watchers int) {
	for want := fmt.Sprintf("registry.watchers:%d|g\n", watchers); ; {
		resp, err := http.Get("http://" + s.operators + "/control/counters")
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

// answered reads one answer into a buffer, and returns its bytes and where its body begins.
func answered(conn net.Conn, in []byte) (n, body int, err error) {
	for {
		m, err := conn.Read(in[n:])
		if n += m; err != nil {
			return n, 0, err
		}
		head := bytes.Index(in[:n], []byte("\r\n\r\n"))
		if head < 0 {
			continue
		}
		body = head + 4
		at := bytes.Index(in[:head], []byte("Content-Length: "))
		length, _ := number(in[at+len("Content-Length: "):])
		if n >= body+length {
			return n, body, nil
		}
	}
}

// number reads the digits that a text begins with.
func number(text []byte) (value, digits int) {
	for ; digits < len(text) && text[digits] >= '0' && text[digits] <= '9'; digits++ {
		value = 10*value + int(text[digits]-'0')
	}
	return value, digits
}

type cost struct{ allocations, bytes, micros, heap, stacks float64 }

const changesFirst = 2 // which find connections that are new

// watcher asks for changes and asks again when it is told, without allocating anything.
type watcher struct {
	net.Conn
	in, request []byte
	prefix      string // of what is asked
}

func newWatcher(t testing.TB, address string, version int64) *watcher {
	w := &watcher{Conn: dial(t, address), in: make([]byte, 4096), request: make([]byte, 0, 256)}
	if err := w.ask(version); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *watcher) ask(version int64) error {
	w.request = append(w.request[:0], "GET "+registry.Path+"?"...)
	w.request = append(append(w.request, w.prefix...), "since="...)
	w.request = append(strconv.AppendInt(w.request, version, 10), "&timeout_ms=60000 HTTP/1.1\r\nHost: a\r\n\r\n"...)
	_, err := w.Write(w.request)
	return err
}

func (w *watcher) run(told chan<- struct{}) {
	for {
		n, body, err := answered(w, w.in)
		if err != nil {
			return
		}
		version, _ := number(w.in[body+len(`{"generation":`) : n])
		if w.ask(int64(version)) != nil {
			return
		}
		told <- struct{}{}
	}
}

// watched is what a change costs with so many watchers, each of which asks again when it
// has been told.
func watched(t testing.TB, watchers, changes int) (c cost) {
	s := newService(t, 200, 2*watchers+10)
	defer s.close()
	told := make(chan struct{}, watchers)
	heapBefore, stacksBefore := heapInUse(), stacksInUse()
	for range watchers {
		w := newWatcher(t, s.address, s.version)
		defer w.Close()
		go w.run(told)
	}
	s.awaitWatchers(t, watchers)
	c.heap = float64(heapInUse()-heapBefore) - float64(watchers)*(4096+256) // the watchers' own buffers
	c.stacks = float64(stacksInUse() - stacksBefore)
	writer := dial(t, s.address)
	defer writer.Close()
	var mallocsBefore float64
	var began time.Duration
	for n := range changesFirst + changes {
		if n == changesFirst {
			mallocsBefore, began = mallocs(), processor()
		}
		change(t, writer, n, 2)
		for range watchers {
			<-told
		}
	}
	c.allocations = (mallocs() - mallocsBefore) / float64(changes)
	c.micros = float64((processor() - began).Microseconds()) / float64(changes)
	return c
}

// change registers another start of an instance.
func change(t testing.TB, writer net.Conn, n int, started int64) {
	i := instance(n, started)
	body := fmt.Sprintf(`{"hostPort":%q,"zone":%q,"machineType":"std","startedAtMs":%d}`, i.HostPort, i.Zone, i.StartedAtMs)
	put(t, writer, i.ID, body)
}

// put makes a registration.
func put(t testing.TB, writer net.Conn, id, body string) {
	fmt.Fprintf(writer, "PUT %s/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", registry.Path, id, len(body), body)
	in := make([]byte, 4096)
	if k, _, err := answered(writer, in); err != nil || !bytes.HasPrefix(in, []byte("HTTP/1.1 200")) {
		t.Fatalf("%v: %s", err, in[:k])
	}
}

func connectionBytes(t testing.TB, n int) float64 {
	s := newService(t, n, 2*n)
	defer s.close()
	before := heapInUse()
	in := make([]byte, 4096)
	for k := range n {
		conn := dial(t, s.address)
		defer conn.Close()
		renew(t, conn, k, in)
	}
	return float64(heapInUse() - before)
}

// renew renews an instance's lease and returns the bytes of call and answer.
func renew(t testing.TB, conn net.Conn, k int, in []byte) int {
	request := renewal(k)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	n, _, err := answered(conn, in)
	if err != nil || !bytes.HasPrefix(in, []byte("HTTP/1.1 200")) {
		t.Fatalf("%v: %s", err, in[:n])
	}
	return len(request) + n
}

func renewal(k int) []byte {
	return fmt.Appendf(nil, "POST %s/checkout-%06d/renew HTTP/1.1\r\nHost: 10.0.0.1:8500\r\nContent-Length: 29\r\n\r\n{\"startedAtMs\":1764600000001}", registry.Path, k)
}

// renewals is what a renewal costs at a service with so many instances.
func renewals(t testing.TB, instances, rounds int) (c cost) {
	s := newService(t, instances, 10)
	defer s.close()
	conn := dial(t, s.address)
	defer conn.Close()
	in := make([]byte, 4096)
	requests := make([][]byte, rounds)
	for n := range requests {
		requests[n] = renewal(n % instances)
	}
	for k := range 100 {
		c.bytes = float64(renew(t, conn, k, in))
	}
	before, began := mallocs(), processor()
	for _, request := range requests {
		if _, err := conn.Write(request); err != nil {
			t.Fatal(err)
		}
		if _, _, err := answered(conn, in); err != nil {
			t.Fatal(err)
		}
	}
	c.allocations = (mallocs() - before) / float64(rounds)
	c.micros = float64((processor() - began).Microseconds()) / float64(rounds)
	return c
}

// countingConn counts what passes a connection, both ways.
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

// countingListener counts what passes the first connection.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
	bytes    atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.accepted.Add(1) == 1 {
		return countingConn{conn, &l.bytes}, nil
	}
	return conn, err
}

// watchWire is what a watch call of the real client comes to on its connection.
func watchWire(t testing.TB, instances int) float64 {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: inner}
	s := newServiceOn(t, counted, instances, 10)
	defer s.close()
	heard := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	client := registry.NewClient([]string{s.address}, random(), func(registry.Update) { heard <- struct{}{} })
	wg.Go(func() { client.Run(ctx, nil) })
	<-heard
	writer := dial(t, s.address)
	defer writer.Close()
	const rounds = 10
	var before int64
	for n := range rounds + 1 {
		if n == 1 {
			before = counted.bytes.Load()
		}
		change(t, writer, 0, int64(n+2))
		<-heard
	}
	return float64(counted.bytes.Load()-before) / rounds // the next call may have begun before or after
}

// readerTime is the time that a call takes at the real client, whose service is a loop
// that writes answers with one change each.
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
	heard := make(chan int, 1)
	ctx, stop := context.WithCancel(context.Background())
	n := 0
	client := registry.NewClient([]string{l.Addr().String()}, random(), func(registry.Update) {
		if n++; n == 10 || n == 10+rounds {
			heard <- n
		}
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { client.Run(ctx, nil) })
	<-heard
	began := processor()
	<-heard
	return float64((processor() - began).Microseconds()) / rounds
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
