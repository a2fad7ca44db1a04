package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is the result of a run. Rates refer to the measurement.
type Result struct {
	Scenario     *Scenario        `json:"scenario"`
	Seconds      float64          `json:"seconds"` // length of the measurement
	Roles        []Role           `json:"roles"`
	Gateway      HollowGateway    `json:"gateway"`
	Backend      HollowBackend    `json:"backend"`
	Membership   *Membership      `json:"membership,omitempty"`
	Requests     map[int]int64    `json:"requests,omitempty"` // to real gateways, by status of the answer; 0: no answer
	Changes      int              `json:"changes"`            // of the list, acknowledged to backends
	VersionDelta int64            `json:"versions"`           // increase of the list's version; above Changes if leases expired
	Propagation  LatencySummary   `json:"told"`
	Final        *FinalComparison `json:"final"`
	PeakMB       float64          `json:"mostMB"`          // maximum memory of all processes together
	Events       []string         `json:"marks,omitempty"` // faults and other notable events, with their times

	// Unsettled is true if not all backends served at the end, as their registry calls failed.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Role is the mean usage of the processes of a role.
type Role struct {
	Name            string  `json:"name"`
	Processes       int     `json:"processes"`
	CPUMsPerS       float64 `json:"cpuMsPerS"`   // milliseconds of processor time per second
	MemoryMB        float64 `json:"memoryMB"`    // resident, at the end
	InPerS          float64 `json:"inPerS"`      // bytes read
	OutPerS         float64 `json:"outPerS"`     // bytes written, including those to storage
	StoredPerS      float64 `json:"storedPerS"`  // bytes written to storage
	AnswersPerS     float64 `json:"answersPerS"` // of a registry process, to calls and watches
	AnswerBytesPerS float64 `json:"answerBytesPerS"`
}

// HollowGateway is the mean usage of a hollow gateway.
type HollowGateway struct {
	CPUUsPerS       float64 `json:"cpuUsPerS"`
	InPerS          float64 `json:"inPerS"` // bytes
	OutPerS         float64 `json:"outPerS"`
	UpdatesPerS     float64 `json:"toldPerS"`    // updates of the list received
	InstancesPerS   float64 `json:"entriesPerS"` // instances in those updates
	AllocsPerS      float64 `json:"allocsPerS"`
	AllocsPerChange float64 `json:"allocsPerChange"` // for each change of the list, whether the gateway reads it or not
	AllocBytesPerS  float64 `json:"allocBytesPerS"`
	HeldKB          float64 `json:"heldKB"` // heap and stacks
	Backends        float64 `json:"backends"`
}

// HollowBackend is the mean usage of a hollow backend.
type HollowBackend struct {
	CallsPerS    float64 `json:"callsPerS"`   // of all backends together
	RefusedPerS  float64 `json:"refusedPerS"` // of all backends together
	CPUUsPerCall float64 `json:"cpuUsPerCall"`
	InPerCall    float64 `json:"inPerCall"` // bytes
	OutPerCall   float64 `json:"outPerCall"`
	HeldKB       float64 `json:"heldKB"`
}

// Membership is the mean membership statistics of a hollow gateway.
type Membership struct {
	SentPerS      float64 `json:"sentPerS"` // datagrams
	SentBytesPerS float64 `json:"sentBytesPerS"`
	ReceivedPerS  float64 `json:"receivedPerS"`
	DroppedPerS   float64 `json:"droppedPerS"`
	Present       float64 `json:"present"` // members considered present, including itself
}

// LatencySummary summarizes the time from the registry's answer to a change until each gateway
// received it.
type LatencySummary struct {
	Count   int64         `json:"readings"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"most"`
	Missing int64         `json:"missing"`
}

// result computes the result of the run from its snapshots.
func (r *runner) result(before, after, collected *snapshot, final *FinalComparison, latency *Latency, changes []Change) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := after.at.Sub(before.at).Seconds()
	result := &Result{Scenario: r.scenario, Seconds: seconds, Changes: len(changes), VersionDelta: after.version - before.version, Final: final, PeakMB: r.peakMB, Events: slices.Clone(r.events), Unsettled: r.unsettled,
		Propagation: LatencySummary{latency.Count(), latency.Quantile(0.5), latency.Quantile(0.99), latency.Max, latency.Missing}}
	if r.load != nil {
		result.Requests = r.load.stop()
	}
	if before.writer != after.writer {
		result.Events = append(result.Events, fmt.Sprintf("%s wrote at the beginning and %s at the end: the roles' figures are of both", before.writer, after.writer))
	}
	result.Roles = r.roles(before, after, seconds)
	var gateways, backends Sample
	for n := range after.gateways {
		addDifference(&gateways, before.gateways[n].Sample, after.gateways[n].Sample)
		gateways.HeapBytes += collected.gateways[n].HeapBytes + collected.gateways[n].StackBytes - min(collected.gateways[n].BaselineBytes, collected.gateways[n].HeapBytes)
	}
	for n := range after.backends {
		addDifference(&backends, before.backends[n].Sample, after.backends[n].Sample)
		backends.HeapBytes += collected.backends[n].HeapBytes + collected.backends[n].StackBytes - min(collected.backends[n].BaselineBytes, collected.backends[n].HeapBytes)
	}
	gatewayCount, gatewaySeconds := float64(r.scenario.Fleet.Gateways), float64(r.scenario.Fleet.Gateways)*seconds
	result.Gateway = HollowGateway{CPUUsPerS: float64(gateways.CPU.Microseconds()) / gatewaySeconds, InPerS: float64(gateways.ReadBytes) / gatewaySeconds, OutPerS: float64(gateways.WrittenBytes) / gatewaySeconds,
		UpdatesPerS: float64(gateways.Updates) / gatewaySeconds, InstancesPerS: float64(gateways.UpdatedInstances) / gatewaySeconds, AllocsPerS: float64(gateways.Mallocs) / gatewaySeconds,
		AllocBytesPerS: float64(gateways.AllocatedBytes) / gatewaySeconds, HeldKB: float64(gateways.HeapBytes) / gatewayCount / 1024, Backends: float64(final.MinBackends+final.MaxBackends) / 2}
	if len(changes) > 0 {
		result.Gateway.AllocsPerChange = float64(gateways.Mallocs) / gatewayCount / float64(len(changes))
	}
	calls := max(float64(backends.Calls), 1)
	result.Backend = HollowBackend{CallsPerS: float64(backends.Calls) / seconds, RefusedPerS: float64(backends.Refused) / seconds, CPUUsPerCall: float64(backends.CPU.Microseconds()) / calls,
		InPerCall: float64(backends.ReadBytes) / calls, OutPerCall: float64(backends.WrittenBytes) / calls, HeldKB: float64(backends.HeapBytes) / float64(r.scenario.Fleet.Backends) / 1024}
	if m := gateways.Members; r.scenario.Fleet.Membership {
		agents := float64(max(collected.agentCount(), 1))
		result.Membership = &Membership{SentPerS: float64(m.Sent) / gatewaySeconds, SentBytesPerS: float64(m.SentBytes) / gatewaySeconds, ReceivedPerS: float64(m.Received) / gatewaySeconds,
			DroppedPerS: float64(m.Dropped) / gatewaySeconds, Present: float64(collected.presentCount()) / agents}
	}
	return result
}

func (s *snapshot) agentCount() (n int) {
	for _, h := range s.gateways {
		n += h.Members.Agents
	}
	return n
}

func (s *snapshot) presentCount() (n int64) {
	for _, h := range s.gateways {
		n += h.Members.Present
	}
	return n
}

// addDifference adds the usage between two samples to sum.
func addDifference(sum, before, after *Sample) {
	sum.CPU += after.CPU - before.CPU
	sum.Mallocs += after.Mallocs - before.Mallocs
	sum.AllocatedBytes += after.AllocatedBytes - before.AllocatedBytes
	sum.ReadBytes += after.ReadBytes - before.ReadBytes
	sum.WrittenBytes += after.WrittenBytes - before.WrittenBytes
	sum.Updates += after.Updates - before.Updates
	sum.UpdatedInstances += after.UpdatedInstances - before.UpdatedInstances
	sum.Calls += after.Calls - before.Calls
	sum.Refused += after.Refused - before.Refused
	sum.Members.Sent += after.Members.Sent - before.Members.Sent
	sum.Members.SentBytes += after.Members.SentBytes - before.Members.SentBytes
	sum.Members.Received += after.Members.Received - before.Members.Received
	sum.Members.Dropped += after.Members.Dropped - before.Members.Dropped
}

// roles returns the mean usage of the processes of each role.
func (r *runner) roles(before, after *snapshot, seconds float64) []Role {
	var all []Role
	add := func(name string, start, end ResourceUsage, answers, answerBytes int64) {
		index := slices.IndexFunc(all, func(role Role) bool { return role.Name == name })
		if index < 0 {
			index = len(all)
			all = append(all, Role{Name: name})
		}
		role := &all[index]
		role.Processes++
		role.CPUMsPerS += float64((end.CPU - start.CPU).Microseconds()) / 1000 / seconds
		role.MemoryMB += end.MemoryMB
		role.InPerS += float64(end.ReadBytes-start.ReadBytes) / seconds
		role.OutPerS += float64(end.WrittenBytes-start.WrittenBytes) / seconds
		role.StoredPerS += float64(end.StoredBytes-start.StoredBytes) / seconds
		role.AnswersPerS += float64(answers) / seconds
		role.AnswerBytesPerS += float64(answerBytes) / seconds
	}
	for n, p := range r.services {
		start, end := before.services[n], after.services[n]
		name := p.role
		if p.name == after.writer {
			name = roleWriter
		}
		add(name, start.ResourceUsage, end.ResourceUsage, counterDelta(start, end, "answers"), counterDelta(start, end, "answer_bytes"))
	}
	for n := range r.realGateways {
		add(roleReal, before.realGateways[n], after.realGateways[n], 0, 0)
	}
	for n := range after.gateways {
		add(roleGateways, before.gateways[n].ResourceUsage, after.gateways[n].ResourceUsage, 0, 0)
	}
	for n := range after.backends {
		add(roleBackends, before.backends[n].ResourceUsage, after.backends[n].ResourceUsage, 0, 0)
	}
	for n := range all {
		role, count := &all[n], float64(all[n].Processes)
		for _, value := range []*float64{&role.CPUMsPerS, &role.MemoryMB, &role.InPerS, &role.OutPerS, &role.StoredPerS, &role.AnswersPerS, &role.AnswerBytesPerS} {
			*value /= count
		}
	}
	return all
}

// counterDelta returns the increase of a counter. If the process restarted and its counter is
// lower than before, the increase is its current value.
func counterDelta(before, after serviceUsage, name string) int64 {
	if after.counters[name] < before.counters[name] {
		return after.counters[name]
	}
	return after.counters[name] - before.counters[name]
}

// Role returns the usage of the role with the given name; ok is false if no process has the
// role.
func (r *Result) Role(name string) (role Role, ok bool) {
	for _, role := range r.Roles {
		if role.Name == name {
			return role, true
		}
	}
	return Role{}, false
}

// Report writes the result as a table.
func (r *Result) Report(out io.Writer) {
	fleet := &r.Scenario.Fleet
	fmt.Fprintf(out, "\n%s: %d hollow gateways before %d hollow backends in %d services, %d regions of %d zones; %d members, %d followers in each region, %d real gateways\n",
		r.Scenario.Name, fleet.Gateways, fleet.Backends, fleet.Services, fleet.Regions, fleet.Zones, fleet.Members, fleet.Followers, fleet.RealGateways)
	fmt.Fprintf(out, "%.1f s, %d changes answered, %d versions; at most %.0f MB\n\n", r.Seconds, r.Changes, r.VersionDelta, r.PeakMB)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "of each\tprocesses\tCPU ms/s\tresident MB\tin B/s\tout B/s\tstored B/s\tanswers/s\tanswered B/s\t")
	for _, role := range r.Roles {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n", role.Name, role.Processes, role.CPUMsPerS, role.MemoryMB, role.InPerS, role.OutPerS, role.StoredPerS, role.AnswersPerS, role.AnswerBytesPerS)
	}
	table.Flush()
	gateway, backend := &r.Gateway, &r.Backend
	fmt.Fprintf(out, "\none hollow gateway, which holds %.0f backends: %.0f us/s of processor time, %.0f B/s in, %.0f B/s out, %.2f answers/s with %.2f instances/s, %.0f allocations/s of %.0f B/s, %.1f allocations for a change, %.0f KB held\n",
		gateway.Backends, gateway.CPUUsPerS, gateway.InPerS, gateway.OutPerS, gateway.UpdatesPerS, gateway.InstancesPerS, gateway.AllocsPerS, gateway.AllocBytesPerS, gateway.AllocsPerChange, gateway.HeldKB)
	fmt.Fprintf(out, "hollow backends: %.1f calls/s, of which %.2f refused; a call: %.0f us, %.0f B in, %.0f B out; %.1f KB held for each\n", backend.CallsPerS, backend.RefusedPerS, backend.CPUUsPerCall, backend.InPerCall, backend.OutPerCall, backend.HeldKB)
	if m := r.Membership; m != nil {
		fmt.Fprintf(out, "membership of one gateway: %.1f datagrams/s of %.0f B/s sent, %.1f/s received, %.2f/s dropped; it holds %.1f present\n", m.SentPerS, m.SentBytesPerS, m.ReceivedPerS, m.DroppedPerS, m.Present)
	}
	fmt.Fprintf(out, "from a change's answer to a gateway's news: p50 %v, p99 %v, most %v of %d; %d missing\n", r.Propagation.P50.Round(time.Millisecond), r.Propagation.P99.Round(time.Millisecond), r.Propagation.Max.Round(time.Millisecond), r.Propagation.Count, r.Propagation.Missing)
	if r.Requests != nil {
		fmt.Fprintf(out, "requests through real gateways, by status: %v\n", r.Requests)
	}
	switch final := r.Final; {
	case !final.Checked:
		fmt.Fprintf(out, "%d gateways hold %d to %d of the %d backends on the writer's list\n", final.Total, final.MinBackends, final.MaxBackends, final.ListedBackends)
	case final.Matching == final.Total:
		fmt.Fprintf(out, "all %d gateways hold what the writer's list has for them, %d to %d of %d backends\n", final.Total, final.MinBackends, final.MaxBackends, final.ListedBackends)
	default:
		fmt.Fprintf(out, "%d of %d gateways hold what the writer's list has for them; the first that does not: %s\n", final.Matching, final.Total, final.FirstMismatch)
	}
	for _, event := range r.Events {
		fmt.Fprintln(out, event)
	}
}

// JSON writes the result as a line of JSON.
func (r *Result) JSON(out io.Writer) error { return json.NewEncoder(out).Encode(r) }

// Failure describes why the run failed its checks; empty: it passed.
func (r *Result) Failure() string {
	switch {
	case r.Unsettled:
		return "not all backends served at the end"
	case r.Propagation.Missing > 0:
		return fmt.Sprintf("%d changes did not reach a gateway", r.Propagation.Missing)
	case r.Final.Checked && r.Final.Matching < r.Final.Total:
		return fmt.Sprintf("%d gateways do not hold what the writer's list has for them", r.Final.Total-r.Final.Matching)
	}
	return ""
}
