package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunlintray/internal/child"
	"dunlintray/internal/link"
	"dunlintray/internal/registry"
)

// Options are what a run needs beside its scenario.
type Options struct {
	Registry string    // path of the list service's program
	Gateway  string    // path of the gateway's
	Host     []string  // command of a process of hollow ones, which calls RunHost
	Dir      string    // for configurations, logs and data; each process has a folder in it
	Live     io.Writer // a line each second; nil: none
}

// Times of a run.
const (
	readyWait   = 90 * time.Second // for a process to be ready
	readyPace   = 50 * time.Millisecond
	startMargin = 4 * time.Minute // of a run's deadline, beside registrations, length and quiet
	settleTime  = time.Second     // between the last list and the measurement
	tailTime    = time.Second     // after the last restart has ended, for its changes to be told
	settledPace = 200 * time.Millisecond
	viewPace    = time.Second // between two looks whether all hold the writer's list
	watchPace   = time.Second // between two looks at memory, and two lines
	callTimeout = 10 * time.Second
)

// The roles of processes.
const (
	roleWriter   = "list service, writes"
	roleMember   = "list service, member"
	roleFollower = "list service, follower"
	roleGateways = "hollow gateways"
	roleBackends = "hollow backends"
	roleReal     = "real gateways"
)

// runner is a run under way.
type runner struct {
	s       *Scenario
	o       Options
	plan    *Plan
	machine Machine
	claim   net.Listener
	starter *child.Starter
	http    *http.Client
	cancel  context.CancelCauseFunc

	services []*process
	gateways []*host
	backends []*host
	reals    []*process
	links    map[int]*link.Relay // by the follower's place among the services
	load     *load

	unsettled bool // at the end, not all backends served

	mu      sync.Mutex
	started []*process // of all roles
	changes []Change
	most    float64 // MB of all processes at once
	marks   []string
	began   time.Time // the measurement
	phase   string
}

// Run makes a run and returns what it came to. No process that it has started is left
// when it returns.
func Run(ctx context.Context, s *Scenario, o Options) (result *Result, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	machine, err := ThisMachine()
	if err != nil {
		return nil, fmt.Errorf("what this machine has can't be told: %w", err)
	}
	if err := Fits(s); err != nil {
		return nil, err
	}
	deadline := s.Length.Std() + s.Quiet.Std() + startMargin + time.Duration(float64(s.Fleet.Backends)/s.Changes.Register*float64(time.Second))
	ctx, end := context.WithTimeoutCause(ctx, deadline, fmt.Errorf("the run has not ended within its deadline of %v", deadline))
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &runner{s: s, o: o, machine: machine, starter: child.NewStarter(), cancel: cancel, links: map[int]*link.Relay{},
		http: &http.Client{Timeout: callTimeout}}
	defer r.starter.Close()
	defer r.close()
	if r.plan, r.claim, err = findPlan(s); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() { r.watch(watching) })
	result, err = r.run(ctx)
	if cause := context.Cause(ctx); cause != nil {
		err = cause // what failed after it is its consequence
	}
	return result, err
}

// The loopback networks that runs are laid out in, and how many are tried.
const (
	firstNet, pastLastNet = 16, 250
	netsTried             = 20
)

// findPlan claims a network that no other run uses.
func findPlan(s *Scenario) (*Plan, net.Listener, error) {
	var last error
	for range netsTried {
		p := NewPlan(s, firstNet+rand.IntN(pastLastNet-firstNet))
		claim, err := net.Listen("tcp", p.claim())
		if err == nil {
			return p, claim, nil
		}
		if last = err; !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("the networks of %d runs in 127.0.0.0/8 are taken; the last: %w", netsTried, last)
}

// run starts everything, measures, and collects.
func (r *runner) run(ctx context.Context) (*Result, error) {
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	before, err := r.snapshot(ctx, false)
	if err != nil {
		return nil, err
	}
	r.setPhase("measuring")
	if err := r.measure(ctx); err != nil {
		return nil, err
	}
	after, err := r.snapshot(ctx, false)
	if err != nil {
		return nil, err
	}
	r.setPhase("checking")
	final, err := r.compareViews(ctx)
	if err != nil {
		return nil, err
	}
	held, err := r.snapshot(ctx, true)
	if err != nil {
		return nil, err
	}
	latency, changes, err := r.latency(before.version)
	if err != nil {
		return nil, err
	}
	return r.result(before, after, held, final, latency, changes), nil
}

// start starts the processes in the order in which they need each other: one that asks
// before it can be answered would wait for longer than the other needs.
func (r *runner) start(ctx context.Context) error {
	gateways, backends, err := r.plan.hostConfigs()
	if err != nil {
		return err
	}
	r.setPhase("starting members")
	members, followers := r.plan.Services[:r.s.Fleet.Members], r.plan.Services[r.s.Fleet.Members:]
	if err := r.startServices(members); err != nil {
		return err
	}
	r.setPhase("registering")
	if r.backends, err = r.startHosts(ctx, roleBackends, backends); err != nil {
		return err
	}
	if err := r.awaitServices(ctx); err != nil {
		return err
	}
	r.setPhase("starting followers")
	if err := r.startServices(followers); err != nil {
		return err
	}
	if err := r.awaitServices(ctx); err != nil {
		return err
	}
	r.setPhase("starting gateways")
	if r.gateways, err = r.startHosts(ctx, roleGateways, gateways); err != nil {
		return err
	}
	return r.startReal(ctx)
}

// startServices starts list services, which follow those in the plan that have started.
func (r *runner) startServices(some []Service) error {
	for _, s := range some {
		n := len(r.services)
		if s.Link != "" {
			relay, err := link.NewRelay(s.Link, r.plan.Services[s.Copies].Listen, link.Limits{MaxConnections: relayConnections, BufferBytes: relayBuffer}, r.s.Seed+uint64(n))
			if err != nil {
				return err
			}
			r.links[n] = relay
		}
		role := roleFollower
		if s.Member > 0 {
			role = roleMember
		}
		p, err := r.add(s.Name, role)
		if err != nil {
			return err
		}
		config, err := r.plan.serviceConfig(n, p.dir)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(p.dir, "config.json"), config, 0o600); err != nil {
			return err
		}
		r.services = append(r.services, p)
		if err := r.startService(p); err != nil {
			return err
		}
	}
	return nil
}

// awaitServices waits until all that have started answer reads.
func (r *runner) awaitServices(ctx context.Context) error {
	for n, p := range r.services {
		if err := r.awaitReady(ctx, p, "http://"+r.plan.Services[n].Control+"/control/ready"); err != nil {
			return err
		}
	}
	return nil
}

// Of a relay between a follower and the member that it copies.
const (
	relayConnections = 16
	relayBuffer      = 1 << 20
)

func (r *runner) startService(p *process) error {
	return p.start(exec.Command(r.o.Registry, "--config", filepath.Join(p.dir, "config.json")), nil, r.died)
}

// startHosts starts processes of hollow ones and waits until all that they have is there.
func (r *runner) startHosts(ctx context.Context, role string, configs []HostConfig) (hosts []*host, err error) {
	for _, c := range configs {
		p, err := r.add(c.Name, role)
		if err != nil {
			return hosts, err
		}
		h, err := startHost(p, r.o.Host, c, r.changed, r.died)
		if err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		select {
		case <-h.ready:
		case <-ctx.Done():
			return hosts, ctx.Err()
		}
	}
	return hosts, nil
}

// startReal starts the gateways that serve requests, and the load on them.
func (r *runner) startReal(ctx context.Context) error {
	var addresses []string
	for n := range r.s.Fleet.RealGateways {
		p, err := r.add(fmt.Sprintf("real%d", n), roleReal)
		if err != nil {
			return err
		}
		number := r.s.Fleet.Gateways + n
		config, err := r.plan.gatewayConfig(number, r.s.place(number), r.s.scopesOf(number))
		if err != nil {
			return err
		}
		path := filepath.Join(p.dir, "config.json")
		if err := os.WriteFile(path, config, 0o600); err != nil {
			return err
		}
		r.reals = append(r.reals, p)
		if err := p.start(exec.Command(r.o.Gateway, "--config", path), nil, r.died); err != nil {
			return err
		}
		addresses = append(addresses, r.plan.realGateway(n, portGateway))
	}
	for n, p := range r.reals {
		if err := r.awaitReady(ctx, p, "http://"+addresses[n]+"/health/ready"); err != nil {
			return err
		}
	}
	if len(addresses) > 0 && r.s.Changes.Requests > 0 {
		r.load = startLoad(addresses, r.s.Changes.Requests)
	}
	return nil
}

// awaitReady waits until an address answers yes.
func (r *runner) awaitReady(ctx context.Context, p *process, url string) error {
	end := time.Now().Add(readyWait + r.s.Fleet.Lease.Std())
	for time.Now().Before(end) {
		if resp, err := r.http.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx, readyPace); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s is not ready; it said:\n%s", p.name, p.lastWords())
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// died ends the run: a process has ended that nobody has ended.
func (r *runner) died(p *process, err error) {
	r.cancel(fmt.Errorf("%s has ended by itself (%v); it said:\n%s", p.name, err, p.lastWords()))
}

func (r *runner) changed(changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, changes...)
}

// add makes a process that the run's bounds hold for.
func (r *runner) add(name, role string) (*process, error) {
	p, err := newProcess(name, role, r.o.Dir, r.starter)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.started = append(r.started, p)
	}
	return p, err
}

func (r *runner) everyone() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.started)
}

// close ends all processes, by their ids.
func (r *runner) close() {
	if r.load != nil {
		r.load.stop()
	}
	for _, h := range slices.Concat(r.gateways, r.backends) {
		h.kill()
		h.in.Close()
	}
	for _, p := range slices.Concat(r.services, r.reals) {
		p.kill()
	}
	for _, relay := range r.links {
		relay.Close()
	}
	if r.claim != nil {
		r.claim.Close()
	}
	r.http.CloseIdleConnections()
}

// measure lets backends restart and faults come for the length of the run, and then
// waits until what was begun has ended.
func (r *runner) measure(ctx context.Context) error {
	r.mu.Lock()
	r.began = time.Now()
	r.mu.Unlock()
	began := time.Now()
	if err := r.restarts(r.s.Changes.PerS); err != nil {
		return err
	}
	for _, step := range r.s.steps() {
		if err := pause(ctx, time.Until(began.Add(step.at))); err != nil {
			return err
		}
		if err := r.inject(step); err != nil {
			return fmt.Errorf("%s: %w", step.fault.Kind, err)
		}
	}
	if err := pause(ctx, time.Until(began.Add(r.s.Length.Std()))); err != nil {
		return err
	}
	if err := r.restarts(0); err != nil {
		return err
	}
	if err := r.awaitSettled(ctx); err != nil {
		return err
	}
	return pause(ctx, tailTime)
}

// awaitSettled waits until every backend serves that was not stopped, or the time is over.
func (r *runner) awaitSettled(ctx context.Context) error {
	for end := time.Now().Add(r.s.Quiet.Std()); time.Now().Before(end); {
		settled := true
		for _, h := range r.backends {
			s, err := h.sample(false)
			if err != nil {
				return err
			}
			settled = settled && s.Settled
		}
		if settled {
			return nil
		}
		if err := pause(ctx, settledPace); err != nil {
			return err
		}
	}
	r.mark("not all backends serve")
	r.unsettled = true
	return nil
}

// restarts sets how many changes of the list restarts of backends make in a second.
func (r *runner) restarts(changesPerS float64) error {
	each := changesPerS / changesRestart / float64(len(r.backends))
	return tellAll(r.backends, Command{Restarts: &each})
}

func tellAll(hosts []*host, c Command) error {
	var all []error
	for _, h := range hosts {
		all = append(all, h.tell(c))
	}
	return errors.Join(all...)
}

// step is the beginning or the end of a fault.
type step struct {
	at    time.Duration
	fault *Fault
	ends  bool
}

// steps are those of all faults, in their order.
func (s *Scenario) steps() (all []step) {
	for _, f := range s.Faults {
		all = append(all, step{f.At.Std(), f, false}, step{(f.At + f.For).Std(), f, true})
	}
	slices.SortStableFunc(all, func(a, b step) int { return int(a.at - b.at) })
	return all
}

func (f *Fault) chosen() *Chosen {
	switch f.Kind {
	case FaultRack:
		return &Chosen{Gateways: f.Gateways, Backends: f.Backends}
	case FaultZone:
		return &Chosen{Zone: f.Zone}
	}
	return &Chosen{Region: f.Region, All: f.Region == ""}
}

// inject begins or ends a fault.
func (r *runner) inject(at step) error {
	f := at.fault
	word := "begins"
	if at.ends {
		word = "ends"
	}
	r.mark("%s %s", f.Kind, word)
	switch f.Kind {
	case FaultRack, FaultZone, FaultGateways:
		c := Command{Stop: f.chosen()}
		if at.ends {
			c = Command{Resume: f.chosen()}
		}
		hosts := r.gateways
		if f.Kind != FaultGateways {
			hosts = slices.Concat(r.gateways, r.backends)
		}
		return tellAll(hosts, c)
	case FaultRestarts:
		rate := f.ChangesPS
		if at.ends {
			rate = r.s.Changes.PerS
		}
		return r.restarts(rate)
	case FaultRegionCut:
		how := link.Condition{Kind: link.Dropped}
		if at.ends {
			how = link.Condition{Kind: link.Up}
		}
		for n, relay := range r.links {
			if r.plan.Services[n].Region != f.Region {
				continue
			}
			if err := errors.Join(relay.Set(link.Forward, how), relay.Set(link.Reverse, how)); err != nil {
				return err
			}
		}
		return nil
	}
	return r.injectKill(f, at.ends)
}

// injectKill kills a list service, or starts it again.
func (r *runner) injectKill(f *Fault, ends bool) error {
	for _, p := range r.services {
		p.mu.Lock()
		meant := p.meant
		p.mu.Unlock()
		switch {
		case ends && meant:
			if err := r.startService(p); err != nil {
				return err
			}
			r.mark("%s was started again", p.name)
		case !ends && (p.name == f.Who || f.Who == whoWriter && p.name == r.writer()):
			p.kill()
			r.mark("%s was killed", p.name)
			return nil
		}
	}
	return nil
}

// writer is the name of the member that answers writes.
func (r *runner) writer() string {
	s, err := r.backends[0].sample(false)
	if err != nil {
		return ""
	}
	for _, service := range r.plan.Services {
		if service.Listen == s.Writer {
			return service.Name
		}
	}
	return ""
}

func (r *runner) mark(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, fmt.Sprintf("%.1f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *runner) setPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// latency asks the gateways when they heard of the changes since a version.
func (r *runner) latency(since int64) (*Latency, []Change, error) {
	r.mu.Lock()
	changes := slices.Clone(r.changes)
	r.mu.Unlock()
	changes = slices.DeleteFunc(changes, func(c Change) bool { return c.Version <= since })
	sortChanges(changes)
	all := &Latency{}
	for _, h := range r.gateways {
		l, err := h.latencyOf(changes)
		if err != nil {
			return nil, nil, err
		}
		all.merge(l)
	}
	return all, changes, nil
}

// Final is how the gateways' lists compare to the writer's at the end.
type Final struct {
	Same    int           `json:"same"` // gateways that hold just what the writer's list has for them
	Of      int           `json:"of"`
	Checked bool          `json:"checked"` // a subset is the gateway's own choice, and is not compared
	Took    time.Duration `json:"took"`
	Least   int           `json:"least"` // backends that a gateway holds
	Most    int           `json:"most"`
	Listed  int           `json:"listed"`          // backends on the writer's list
	First   string        `json:"first,omitempty"` // of those that differ
}

// compareViews looks until all gateways hold what the writer's list has for them, or the
// time is over.
func (r *runner) compareViews(ctx context.Context) (*Final, error) {
	began := time.Now()
	for {
		f, err := r.compareOnce(ctx)
		if err != nil {
			return nil, err
		}
		f.Took = time.Since(began)
		if f.Same == f.Of || !f.Checked || f.Took > r.s.Quiet.Std() {
			return f, nil
		}
		if err := pause(ctx, viewPace); err != nil {
			return nil, err
		}
	}
}

func (r *runner) compareOnce(ctx context.Context) (*Final, error) {
	list, err := r.wholeList(ctx)
	if err != nil {
		return nil, err
	}
	shares := newShares(list)
	f := &Final{Checked: r.s.Reading.Subset == 0, Listed: len(list.Instances)}
	for _, h := range r.gateways {
		views, err := h.view()
		if err != nil {
			return nil, err
		}
		for _, v := range views {
			if f.Of == 0 || v.Count < f.Least {
				f.Least = v.Count
			}
			f.Most = max(f.Most, v.Count)
			f.Of++
			want := shares.of(r.plan.Gateways[v.Gateway])
			if v.Count == want.Count && v.Digest == want.Digest {
				f.Same++
			} else if f.First == "" {
				f.First = fmt.Sprintf("gateway %d holds %d at version %d, and the writer has %d for it at %d", v.Gateway, v.Count, v.Version, want.Count, want.Version)
			}
		}
	}
	return f, nil
}

// wholeList reads the list from the member that writes.
func (r *runner) wholeList(ctx context.Context) (registry.Listing, error) {
	address := r.plan.Services[0].Listen
	if name := r.writer(); name != "" {
		for _, s := range r.plan.Services {
			if s.Name == name {
				address = s.Listen
			}
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+registry.Path, nil)
	if err != nil {
		return registry.Listing{}, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return registry.Listing{}, err
	}
	defer resp.Body.Close()
	const most = 1 << 30
	text, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return registry.Listing{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return registry.Listing{}, fmt.Errorf("the writer's list: %s: %.200s", resp.Status, text)
	}
	return registry.ParseListing(text)
}

// watch bounds the memory of all processes together, and writes a line each second.
func (r *runner) watch(ctx context.Context) {
	began := time.Now()
	t := time.NewTicker(watchPace)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		use, err := readUse("self")
		if err != nil {
			r.cancel(err)
			return
		}
		memory, cpu := use.MemoryMB, use.CPU
		for _, p := range r.everyone() {
			u := p.use()
			memory += u.MemoryMB
			cpu += u.CPU
		}
		r.mu.Lock()
		r.most = max(r.most, memory)
		phase, changes := r.phase, len(r.changes)
		r.mu.Unlock()
		if memory > r.machine.mostMemoryMB() {
			r.cancel(fmt.Errorf("all processes hold %.0f MB, over %.0f, half of the machine's", memory, r.machine.mostMemoryMB()))
			return
		}
		if r.o.Live != nil {
			fmt.Fprintf(r.o.Live, "%4.0f s  %-22s %d changes answered, %.0f MB, %.1f s of processor time\n", time.Since(began).Seconds(), phase, changes, memory, cpu.Seconds())
		}
	}
}
