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

// Options configure a run, in addition to its scenario.
type Options struct {
	RegistryPath string    // program of the registry
	GatewayPath  string    // program of the gateway; unused without real gateways
	HostCommand  []string  // command and arguments of a host process, which calls RunHost
	Dir          string    // for configurations, logs and data; each process has a subdirectory
	Progress     io.Writer // receives a line per second; may be nil
}

// Timeouts and intervals of a run.
const (
	readyTimeout        = 90 * time.Second // until a process is ready
	readyPollInterval   = 50 * time.Millisecond
	startMargin         = 4 * time.Minute // part of the run's deadline, besides registrations, Length and Quiet
	settleTime          = time.Second     // between the start of the last process and the measurement
	tailTime            = time.Second     // after the last restart, for its changes to reach the gateways
	settledPollInterval = 200 * time.Millisecond
	viewPollInterval    = time.Second // between comparisons of the gateways' lists to the writer's
	watchInterval       = time.Second // between memory checks, and progress lines
	httpTimeout         = 10 * time.Second
)

// Names of the roles of processes.
const (
	roleWriter   = "list service, writes"
	roleMember   = "list service, member"
	roleFollower = "list service, follower"
	roleGateways = "hollow gateways"
	roleBackends = "hollow backends"
	roleReal     = "real gateways"
)

// runner is a run in progress.
type runner struct {
	scenario *Scenario
	options  Options
	plan     *Plan
	machine  Machine
	claim    net.Listener
	starter  *child.Starter
	http     *http.Client
	cancel   context.CancelCauseFunc

	services     []*process
	gateways     []*host
	backends     []*host
	realGateways []*process
	relays       map[int]*link.Relay // by index in services
	load         *load

	unsettled bool // not all backends served when Quiet was over

	mu             sync.Mutex
	processes      []*process // of all roles
	changes        []Change
	peakMB         float64 // memory of all processes together
	events         []string
	measuringSince time.Time // start of the measurement
	phase          string
}

// Run runs a scenario and returns its result. All processes that it started have ended when it
// returns. It returns an error if the scenario is invalid, exceeds the machine's resources, or
// if a process ends unexpectedly.
func Run(ctx context.Context, scenario *Scenario, options Options) (result *Result, err error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	machine, err := ThisMachine()
	if err != nil {
		return nil, fmt.Errorf("determine the machine's resources: %w", err)
	}
	if err := CheckResources(scenario); err != nil {
		return nil, err
	}
	deadline := scenario.Length.Std() + scenario.Quiet.Std() + startMargin + time.Duration(float64(scenario.Fleet.Backends)/scenario.Changes.Register*float64(time.Second))
	ctx, cancelDeadline := context.WithTimeoutCause(ctx, deadline, fmt.Errorf("run did not end within its deadline of %v", deadline))
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	active := &runner{scenario: scenario, options: options, machine: machine, starter: child.NewStarter(), cancel: cancel, relays: map[int]*link.Relay{},
		http: &http.Client{Timeout: httpTimeout}}
	defer active.starter.Close()
	defer active.close()
	if active.plan, active.claim, err = findPlan(scenario); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	wg.Go(func() { active.watch(watchCtx) })
	result, err = active.run(ctx)
	if cause := context.Cause(ctx); cause != nil {
		err = cause // the first failure; err is a consequence
	}
	return result, err
}

// Range of loopback networks for runs.
const (
	firstNetwork, endNetwork = 16, 250
	maxNetworkAttempts       = 20
)

// findPlan claims a loopback network that no other run uses. The returned listener holds the
// claim until it is closed.
func findPlan(scenario *Scenario) (*Plan, net.Listener, error) {
	var lastErr error
	for range maxNetworkAttempts {
		plan := NewPlan(scenario, firstNetwork+rand.IntN(endNetwork-firstNetwork))
		claim, err := net.Listen("tcp", plan.claimAddress())
		if err == nil {
			return plan, claim, nil
		}
		if lastErr = err; !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("no free network in 127.0.0.0/8 after %d attempts: %w", maxNetworkAttempts, lastErr)
}

// run starts all processes, measures, and collects the result.
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
	collected, err := r.snapshot(ctx, true)
	if err != nil {
		return nil, err
	}
	latency, changes, err := r.latency(before.version)
	if err != nil {
		return nil, err
	}
	return r.result(before, after, collected, final, latency, changes), nil
}

// start starts the processes in the order of their dependencies, as a client that starts
// before its server delays its retries.
func (r *runner) start(ctx context.Context) error {
	gateways, backends, err := r.plan.hostConfigs()
	if err != nil {
		return err
	}
	r.setPhase("starting members")
	members, followers := r.plan.Services[:r.scenario.Fleet.Members], r.plan.Services[r.scenario.Fleet.Members:]
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

// startServices starts registry processes, which must be the next ones in the plan.
func (r *runner) startServices(services []Service) error {
	for _, service := range services {
		index := len(r.services)
		if service.RelayListen != "" {
			relay, err := link.NewRelay(service.RelayListen, r.plan.Services[service.SourceIndex].Listen, link.Limits{MaxConnections: relayConnections, BufferBytes: relayBuffer}, r.scenario.Seed+uint64(index))
			if err != nil {
				return err
			}
			r.relays[index] = relay
		}
		role := roleFollower
		if service.MemberNumber > 0 {
			role = roleMember
		}
		proc, err := r.newProcess(service.Name, role)
		if err != nil {
			return err
		}
		config, err := r.plan.serviceConfig(index, proc.dir)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(proc.dir, "config.json"), config, 0o600); err != nil {
			return err
		}
		r.services = append(r.services, proc)
		if err := r.startService(proc); err != nil {
			return err
		}
	}
	return nil
}

// awaitServices waits until all started registry processes answer reads.
func (r *runner) awaitServices(ctx context.Context) error {
	for n, p := range r.services {
		if err := r.awaitReady(ctx, p, "http://"+r.plan.Services[n].Control+"/control/ready"); err != nil {
			return err
		}
	}
	return nil
}

// Limits of the relay between a follower and its member.
const (
	relayConnections = 16
	relayBuffer      = 1 << 20
)

func (r *runner) startService(p *process) error {
	return p.start(exec.Command(r.options.RegistryPath, "--config", filepath.Join(p.dir, "config.json")), nil, r.processDied)
}

// startHosts starts host processes and waits until their gateways have a list or their
// backends are registered.
func (r *runner) startHosts(ctx context.Context, role string, configs []HostConfig) (hosts []*host, err error) {
	for _, config := range configs {
		proc, err := r.newProcess(config.Name, role)
		if err != nil {
			return hosts, err
		}
		started, err := startHost(proc, r.options.HostCommand, config, r.recordChanges, r.processDied)
		if err != nil {
			return hosts, err
		}
		hosts = append(hosts, started)
	}
	for _, starting := range hosts {
		select {
		case <-starting.ready:
		case <-ctx.Done():
			return hosts, ctx.Err()
		}
	}
	return hosts, nil
}

// startReal starts the real gateways and the load on them.
func (r *runner) startReal(ctx context.Context) error {
	var addresses []string
	for index := range r.scenario.Fleet.RealGateways {
		proc, err := r.newProcess(fmt.Sprintf("real%d", index), roleReal)
		if err != nil {
			return err
		}
		number := r.scenario.Fleet.Gateways + index
		config, err := r.plan.gatewayConfig(number, r.scenario.place(number), r.scenario.scopesOf(number))
		if err != nil {
			return err
		}
		path := filepath.Join(proc.dir, "config.json")
		if err := os.WriteFile(path, config, 0o600); err != nil {
			return err
		}
		r.realGateways = append(r.realGateways, proc)
		if err := proc.start(exec.Command(r.options.GatewayPath, "--config", path), nil, r.processDied); err != nil {
			return err
		}
		addresses = append(addresses, r.plan.realGatewayAddress(index, portGateway))
	}
	for n, p := range r.realGateways {
		if err := r.awaitReady(ctx, p, "http://"+addresses[n]+"/health/ready"); err != nil {
			return err
		}
	}
	if len(addresses) > 0 && r.scenario.Changes.Requests > 0 {
		r.load = startLoad(addresses, r.scenario.Changes.Requests)
	}
	return nil
}

// awaitReady polls a URL until it answers with status 200.
func (r *runner) awaitReady(ctx context.Context, proc *process, url string) error {
	deadline := time.Now().Add(readyTimeout + r.scenario.Fleet.Lease.Std())
	for time.Now().Before(deadline) {
		if resp, err := r.http.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx, readyPollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not become ready within %v; end of its log:\n%s", proc.name, readyTimeout+r.scenario.Fleet.Lease.Std(), proc.logTail())
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// processDied ends the run after a process has ended unexpectedly.
func (r *runner) processDied(p *process, err error) {
	r.cancel(fmt.Errorf("%s ended unexpectedly (%v); end of its log:\n%s", p.name, err, p.logTail()))
}

func (r *runner) recordChanges(changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, changes...)
}

// newProcess creates a process that counts toward the run's memory limit.
func (r *runner) newProcess(name, role string) (*process, error) {
	proc, err := newProcess(name, role, r.options.Dir, r.starter)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.processes = append(r.processes, proc)
	}
	return proc, err
}

func (r *runner) allProcesses() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.processes)
}

// close ends all processes of the run.
func (r *runner) close() {
	if r.load != nil {
		r.load.stop()
	}
	for _, h := range slices.Concat(r.gateways, r.backends) {
		h.kill()
		h.in.Close()
	}
	for _, p := range slices.Concat(r.services, r.realGateways) {
		p.kill()
	}
	for _, relay := range r.relays {
		relay.Close()
	}
	if r.claim != nil {
		r.claim.Close()
	}
	r.http.CloseIdleConnections()
}

// measure runs restarts and faults for the length of the run, then waits until the backends
// have settled.
func (r *runner) measure(ctx context.Context) error {
	r.mu.Lock()
	r.measuringSince = time.Now()
	r.mu.Unlock()
	startedAt := time.Now()
	if err := r.setChangeRate(r.scenario.Changes.PerS); err != nil {
		return err
	}
	for _, step := range r.scenario.faultSteps() {
		if err := pause(ctx, time.Until(startedAt.Add(step.at))); err != nil {
			return err
		}
		if err := r.applyStep(step); err != nil {
			return fmt.Errorf("%s: %w", step.fault.Kind, err)
		}
	}
	if err := pause(ctx, time.Until(startedAt.Add(r.scenario.Length.Std()))); err != nil {
		return err
	}
	if err := r.setChangeRate(0); err != nil {
		return err
	}
	if err := r.awaitSettled(ctx); err != nil {
		return err
	}
	return pause(ctx, tailTime)
}

// awaitSettled waits until all backends that are not stopped serve, for at most Quiet.
func (r *runner) awaitSettled(ctx context.Context) error {
	for deadline := time.Now().Add(r.scenario.Quiet.Std()); time.Now().Before(deadline); {
		settled := true
		for _, backendHost := range r.backends {
			sample, err := backendHost.readSample(false)
			if err != nil {
				return err
			}
			settled = settled && sample.Settled
		}
		if settled {
			return nil
		}
		if err := pause(ctx, settledPollInterval); err != nil {
			return err
		}
	}
	r.logEvent("not all backends serve")
	r.unsettled = true
	return nil
}

// setChangeRate sets the number of changes of the list per second that restarts of backends
// make.
func (r *runner) setChangeRate(changesPerS float64) error {
	perHost := changesPerS / changesPerRestart / float64(len(r.backends))
	return sendAll(r.backends, Command{RestartsPerS: &perHost})
}

func sendAll(hosts []*host, command Command) error {
	var failures []error
	for _, target := range hosts {
		failures = append(failures, target.send(command))
	}
	return errors.Join(failures...)
}

// faultStep is the beginning or the end of a fault.
type faultStep struct {
	at    time.Duration
	fault *Fault
	ends  bool
}

// faultSteps returns the beginnings and ends of all faults, sorted by time.
func (s *Scenario) faultSteps() (steps []faultStep) {
	for _, f := range s.Faults {
		steps = append(steps, faultStep{f.At.Std(), f, false}, faultStep{(f.At + f.For).Std(), f, true})
	}
	slices.SortStableFunc(steps, func(a, b faultStep) int { return int(a.at - b.at) })
	return steps
}

func (f *Fault) selection() *Selection {
	switch f.Kind {
	case FaultRack:
		return &Selection{Gateways: f.Gateways, Backends: f.Backends}
	case FaultZone:
		return &Selection{Zone: f.Zone}
	}
	return &Selection{Region: f.Region, AllGateways: f.Region == ""}
}

// applyStep begins or ends a fault.
func (r *runner) applyStep(step faultStep) error {
	fault := step.fault
	verb := "begins"
	if step.ends {
		verb = "ends"
	}
	r.logEvent("%s %s", fault.Kind, verb)
	switch fault.Kind {
	case FaultRack, FaultZone, FaultGateways:
		command := Command{Stop: fault.selection()}
		if step.ends {
			command = Command{Resume: fault.selection()}
		}
		hosts := r.gateways
		if fault.Kind != FaultGateways {
			hosts = slices.Concat(r.gateways, r.backends)
		}
		return sendAll(hosts, command)
	case FaultRestarts:
		rate := fault.ChangesPerS
		if step.ends {
			rate = r.scenario.Changes.PerS
		}
		return r.setChangeRate(rate)
	case FaultRegionCut:
		condition := link.Condition{Kind: link.Dropped}
		if step.ends {
			condition = link.Condition{Kind: link.Up}
		}
		for index, relay := range r.relays {
			if r.plan.Services[index].Region != fault.Region {
				continue
			}
			if err := errors.Join(relay.Set(link.Forward, condition), relay.Set(link.Reverse, condition)); err != nil {
				return err
			}
		}
		return nil
	}
	return r.applyKill(fault, step.ends)
}

// applyKill kills a registry process, or starts it again.
func (r *runner) applyKill(fault *Fault, ends bool) error {
	for _, proc := range r.services {
		proc.mu.Lock()
		killed := proc.killed
		proc.mu.Unlock()
		switch {
		case ends && killed:
			if err := r.startService(proc); err != nil {
				return err
			}
			r.logEvent("%s was started again", proc.name)
		case !ends && (proc.name == fault.Process || fault.Process == processWriter && proc.name == r.writerName()):
			proc.kill()
			r.logEvent("%s was killed", proc.name)
			return nil
		}
	}
	return nil
}

// writerName returns the name of the member that accepts writes; empty: unknown.
func (r *runner) writerName() string {
	sample, err := r.backends[0].readSample(false)
	if err != nil {
		return ""
	}
	for _, service := range r.plan.Services {
		if service.Listen == sample.Writer {
			return service.Name
		}
	}
	return ""
}

func (r *runner) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%.1f s: ", time.Since(r.measuringSince).Seconds())+fmt.Sprintf(format, args...))
}

func (r *runner) setPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// latency returns when the gateways received the changes after version since, and these
// changes.
func (r *runner) latency(since int64) (*Latency, []Change, error) {
	r.mu.Lock()
	changes := slices.Clone(r.changes)
	r.mu.Unlock()
	changes = slices.DeleteFunc(changes, func(c Change) bool { return c.Version <= since })
	sortChanges(changes)
	total := &Latency{}
	for _, gatewayHost := range r.gateways {
		partial, err := gatewayHost.readLatency(changes)
		if err != nil {
			return nil, nil, err
		}
		total.merge(partial)
	}
	return total, changes, nil
}

// FinalComparison compares the gateways' lists to the writer's at the end of a run.
type FinalComparison struct {
	Matching       int           `json:"same"`    // gateways that hold exactly what they read of the writer's list
	Total          int           `json:"of"`      // gateways compared
	Checked        bool          `json:"checked"` // false with subsets, which a gateway selects itself
	Elapsed        time.Duration `json:"took"`    // until all matched, or until the comparison ended
	MinBackends    int           `json:"least"`   // held by a gateway
	MaxBackends    int           `json:"most"`
	ListedBackends int           `json:"listed"`          // on the writer's list
	FirstMismatch  string        `json:"first,omitempty"` // empty: none
}

// compareViews compares the gateways' lists to the writer's until all match, for at most
// Quiet.
func (r *runner) compareViews(ctx context.Context) (*FinalComparison, error) {
	startedAt := time.Now()
	for {
		comparison, err := r.compareOnce(ctx)
		if err != nil {
			return nil, err
		}
		comparison.Elapsed = time.Since(startedAt)
		if comparison.Matching == comparison.Total || !comparison.Checked || comparison.Elapsed > r.scenario.Quiet.Std() {
			return comparison, nil
		}
		if err := pause(ctx, viewPollInterval); err != nil {
			return nil, err
		}
	}
}

func (r *runner) compareOnce(ctx context.Context) (*FinalComparison, error) {
	list, err := r.readWriterList(ctx)
	if err != nil {
		return nil, err
	}
	parts := newListParts(list)
	comparison := &FinalComparison{Checked: r.scenario.Reading.Subset == 0, ListedBackends: len(list.Instances)}
	for _, gatewayHost := range r.gateways {
		views, err := gatewayHost.readViews()
		if err != nil {
			return nil, err
		}
		for _, view := range views {
			if comparison.Total == 0 || view.Count < comparison.MinBackends {
				comparison.MinBackends = view.Count
			}
			comparison.MaxBackends = max(comparison.MaxBackends, view.Count)
			comparison.Total++
			expected := parts.expectedView(r.plan.Gateways[view.Gateway])
			if view.Count == expected.Count && view.Digest == expected.Digest {
				comparison.Matching++
			} else if comparison.FirstMismatch == "" {
				comparison.FirstMismatch = fmt.Sprintf("gateway %d holds %d at version %d, and the writer has %d for it at %d", view.Gateway, view.Count, view.Version, expected.Count, expected.Version)
			}
		}
	}
	return comparison, nil
}

// readWriterList reads the whole list from the writer.
func (r *runner) readWriterList(ctx context.Context) (registry.Listing, error) {
	address := r.plan.Services[0].Listen
	if name := r.writerName(); name != "" {
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
	const maxBytes = 1 << 30
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return registry.Listing{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return registry.Listing{}, fmt.Errorf("read the writer's list: %s: %.200s", resp.Status, text)
	}
	return registry.ParseListing(text)
}

// watch cancels the run when its processes exceed the memory limit or usage cannot be read,
// and writes a progress line per second.
func (r *runner) watch(ctx context.Context) {
	startedAt := time.Now()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own, err := readUsage("self")
		if err != nil {
			r.cancel(err)
			return
		}
		memory, cpu := own.MemoryMB, own.CPU
		for _, p := range r.allProcesses() {
			childUsage := p.usage()
			memory += childUsage.MemoryMB
			cpu += childUsage.CPU
		}
		r.mu.Lock()
		r.peakMB = max(r.peakMB, memory)
		phase, changes := r.phase, len(r.changes)
		r.mu.Unlock()
		if memory > r.machine.memoryLimitMB() {
			r.cancel(fmt.Errorf("all processes hold %.0f MB, over the limit of %.0f MB, half of the machine's", memory, r.machine.memoryLimitMB()))
			return
		}
		if r.options.Progress != nil {
			fmt.Fprintf(r.options.Progress, "%4.0f s  %-22s %d changes answered, %.0f MB, %.1f s of processor time\n", time.Since(startedAt).Seconds(), phase, changes, memory, cpu.Seconds())
		}
	}
}
