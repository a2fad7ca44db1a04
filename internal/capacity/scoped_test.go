package capacity_test

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/registry"
	"dunlintray/internal/subset"
)

const region = "eu-1"

var (
	scopeSizes        = []int{1, 3, 9, 27, 81, 243, 1_100}
	candidateSizes    = []int{274, 823, 2_469, 7_407, 22_222}
	subscriptionSizes = []int{10, 30, 90, 270}
)

const scopesPerSubscription = 100

// scopedQuantities are the quantities with scopes and subsets.
var scopedQuantities = []quantity{
	{"scoped_feed_bytes_instance", "B by instances of one scope", 1.25, candidateSizes, 2, func(t testing.TB, n int) float64 {
		list := parsedScoped(t, n)
		defer runtime.KeepAlive(&list)
		return retained(func() any { return scopedFeed(t, list) })
	}},
	{"subset_bytes_candidate", "B by candidates of which 100 are used, without their texts", 1.25, candidateSizes, 2, func(t testing.TB, n int) float64 {
		list := parsedScoped(t, n)
		defer runtime.KeepAlive(&list)
		return retained(func() any {
			s := newSelector()
			s.Apply(0, list)
			return s
		})
	}},
	{"scoped_list_bytes_instance", "B of the list of one scope by its instances", 1.2, candidateSizes, 3, func(t testing.TB, n int) float64 {
		return float64(len(readScoped(t, scopedStore(t, n, 1, 20_000), -1, scopesOf(1))))
	}},
	{"scoped_answer_bytes_change", "B of an answer to a scope by changes in it", 1.2, []int{1, 3, 9, 27, 81, 243}, 6, func(t testing.TB, n int) float64 {
		s := scopedStore(t, 1000, 1, 20_000)
		from := s.Stats().Version
		for k := range n {
			register(t, s, scopedInstance(k, 1, 2))
		}
		return float64(len(readScoped(t, s, from, scopesOf(1))))
	}},
	{"scoped_store_bytes_instance", "B by instances in services of 18, no history", 1.25, candidateSizes, 2, func(t testing.TB, n int) float64 {
		return retained(func() any { return scopedStore(t, n, (n+17)/18, 0) })
	}},
	{"subscription_bytes", "B of the call that names the scopes, by scopes", 1.2, scopeSizes, 7, func(t testing.TB, n int) float64 {
		return float64(len(subscriptionText(0, n)))
	}},
	{"service_bytes_subscription", "B of heap by subscriptions of 100 scopes each, all others'", 1.25, subscriptionSizes, 3, subscriptionBytes},
	{"scoped_watch_wire", "B on the wire of a watch call with one change, both ways, by scopes of the reader", 1.2, scopeSizes, 2, scopedWatchWire},
	{"scoped_change_allocations", "allocations of a change that concerns one of so many watchers, each with a subscription of its own", 1.5, watcherSizes[2:], 2, func(t testing.TB, n int) float64 {
		return scopedChangeCost(t, n, 8).allocations
	}},
}

// scopedTimes are the processor times with scopes and subsets.
var scopedTimes = []quantity{
	{"scoped_change_us", "us of a change that concerns one of so many watchers, by watchers", 0, watcherSizes[2:], 0, func(t testing.TB, n int) float64 {
		return scopedChangeCost(t, n, 50).micros
	}},
	{"subset_us_change", "us of a change of a candidate, by candidates", 0, candidateSizes, 0, func(t testing.TB, n int) float64 {
		list := parsedScoped(t, n)
		s := newSelector()
		s.Apply(0, list)
		now, k := time.Duration(0), 0
		return micros(func() {
			now, k = now+time.Second, k+1
			i := list.Instances[k%n]
			i.Weight = float64(1 + k/n%2)
			s.Apply(now, registry.Listing{Generation: list.Generation + int64(k), Instances: []registry.Instance{i}})
		})
	}},
	{"decision_us_subset", "us of a decision by backends of a subset", 0, []int{10, 30, 100, 300}, 0, func(t testing.TB, n int) float64 {
		m := newModuleWith(settingsWithoutQuota(), n)
		return micros(func() { m.mustServe(t) })
	}},
}

func serviceName(n int) string { return fmt.Sprintf("service-%05d", n) }

// scopedInstance returns the n-th instance of a list that is spread over a number of services.
func scopedInstance(n, services int, started int64) registry.Instance {
	i := instance(n, started)
	i.Service, i.Region = serviceName(n%services), region
	return i
}

// scopedStore returns a store with instances of a number of services that keeps a number of changes.
func scopedStore(t testing.TB, instances, services, history int) *registry.Store {
	limits := registry.Limits{Lease: time.Hour, Instances: instances, History: history, HistoryBytes: 1 << 40}
	s := registry.NewStore(limits, "h", 1000, -limits.Lease)
	for n := range instances {
		register(t, s, scopedInstance(n, services, 1))
	}
	return s
}

// scopesOf returns the scopes of the first services in the region.
func scopesOf(services int) (scopes []registry.Scope) {
	for n := range services {
		scopes = append(scopes, registry.Scope{Service: serviceName(n), Region: region})
	}
	return scopes
}

// readScoped returns the body of the answer with the changes of scopes since a version, or of their
// whole list for -1.
func readScoped(t testing.TB, s *registry.Store, since int64, scopes []registry.Scope) []byte {
	set, err := registry.NewScopeSet(scopes)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := s.ReadScoped(0, registry.ScopedRead{Since: since, Scopes: set})
	if err != nil {
		t.Fatal(err)
	}
	return answer.Body
}

func parsedScoped(t testing.TB, n int) registry.Listing {
	list, err := registry.ParseListing(readScoped(t, scopedStore(t, n, 1, 20_000), -1, scopesOf(1)))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func scopedFeed(t testing.TB, list registry.Listing) *registry.Feed {
	feed := registry.NewFeed([]string{"127.0.0.1:1"}, random())
	feed.SetScopes(scopesOf(1))
	clone := deepCopy(list)
	for n := range clone.Instances {
		clone.Instances[n].Service, clone.Instances[n].Region = strings.Clone(clone.Instances[n].Service), strings.Clone(clone.Instances[n].Region)
	}
	if _, err := feed.Answered(clone, "h", 0); err != nil {
		t.Fatal(err)
	}
	return feed
}

func newSelector() *subset.Selector {
	return subset.New("gateway-17", subset.Settings{Size: 100, Coverage: 20, Fleet: 8700})
}

// subscriptionText returns the request body that subscribes to a number of scopes from a first one on.
func subscriptionText(first, scopes int) []byte {
	var request struct {
		Scopes []string `json:"scopes"`
	}
	for n := range scopes {
		request.Scopes = append(request.Scopes, registry.Scope{Service: serviceName(first + n), Region: region}.String())
	}
	text, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	return text
}

// subscribe makes a subscription and returns its id.
func subscribe(t testing.TB, conn net.Conn, text []byte) string {
	buffer := make([]byte, 4096)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", registry.SubscriptionsPath, len(text), text)
	n, body, err := readAnswer(conn, buffer)
	var reply struct{ Subscription string }
	if err == nil {
		err = json.Unmarshal(buffer[body:n], &reply)
	}
	if err != nil || reply.Subscription == "" {
		t.Fatalf("%v: %s", err, buffer[:n])
	}
	return reply.Subscription
}

// subscriptionBytes returns the heap bytes of subscriptions without a common scope.
func subscriptionBytes(t testing.TB, n int) float64 {
	s := newService(t, 10, 10)
	defer s.close()
	conn := dial(t, s.address)
	defer conn.Close()
	subscribe(t, conn, subscriptionText(0, scopesPerSubscription))
	before := heapInUse()
	for k := range n {
		subscribe(t, conn, subscriptionText((k+1)*scopesPerSubscription, scopesPerSubscription))
	}
	return float64(heapInUse() - before)
}

// scopedChangeCost returns the cost of a change that concerns one of a number of watchers, each of
// which has another service.
func scopedChangeCost(t testing.TB, watchers, changes int) (result cost) {
	s := newScopedService(t, watchers, 2*watchers+10)
	defer s.close()
	notified := make(chan struct{}, watchers)
	caller := dial(t, s.address)
	defer caller.Close()
	for n := range watchers {
		w := newScopedWatcher(t, s.address, subscribe(t, caller, subscriptionText(n, 1)), s.version)
		defer w.Close()
		go w.run(notified)
	}
	s.awaitWatchers(t, watchers)
	writer := dial(t, s.address)
	defer writer.Close()
	var mallocsBefore float64
	var startTime time.Duration
	for n := range warmUpChanges + changes {
		if n == warmUpChanges {
			mallocsBefore, startTime = mallocs(), processorTime()
		}
		changeScoped(t, writer, n%watchers, watchers, int64(n+2))
		<-notified
	}
	result.allocations = (mallocs() - mallocsBefore) / float64(changes)
	result.micros = float64((processorTime() - startTime).Microseconds()) / float64(changes)
	return result
}

func newScopedService(t testing.TB, services, connections int) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newServiceOf(t, l, scopedStore(t, max(services, 100), services, 20_000), connections)
}

func newScopedWatcher(t testing.TB, address, id string, version int64) *watcher {
	w := &watcher{Conn: dial(t, address), buffer: make([]byte, 4096), request: make([]byte, 0, 256), prefix: "subscription=" + id + "&history=h&"}
	if err := w.watch(version); err != nil {
		t.Fatal(err)
	}
	return w
}

// changeScoped registers an instance with another start time.
func changeScoped(t testing.TB, writer net.Conn, n, services int, started int64) {
	i := scopedInstance(n, services, started)
	body := fmt.Sprintf(`{"hostPort":%q,"zone":%q,"machineType":"std","service":%q,"region":%q,"startedAtMs":%d}`, i.HostPort, i.Zone, i.Service, i.Region, i.StartedAtMs)
	put(t, writer, i.ID, body)
}

// scopedWatchWire returns the bytes on the wire of a watch call of a client with scopes and one
// change.
func scopedWatchWire(t testing.TB, scopes int) float64 {
	counted := newCountingListener(t)
	services := max(scopes, 100)
	s := newServiceOf(t, counted, scopedStore(t, services, services, 20_000), 10)
	defer s.close()
	return bytesPerWatch(t, s, counted, scopesOf(scopes), func(writer net.Conn, started int64) { changeScoped(t, writer, 0, services, started) })
}
