package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is what a run came to. Rates are of the measurement alone.
type Result struct {
	Scenario *Scenario      `json:"scenario"`
	Seconds  float64        `json:"seconds"` // of the measurement
	Roles    []Role         `json:"roles"`
	Gateway  HollowGateway  `json:"gateway"`
	Backend  HollowBackend  `json:"backend"`
	Members  *Membership    `json:"membership,omitempty"`
	Requests map[int]int64  `json:"requests,omitempty"` // through real gateways, by status; 0: no answer
	Changes  int            `json:"changes"`            // of the list, that backends were answered
	Versions int64          `json:"versions"`           // by which the list went on; more than changes where leases ran out
	Told     LatencySummary `json:"told"`
	Final    *Final         `json:"final"`
	MostMB   float64        `json:"mostMB"` // of all processes at once
	Marks    []string       `json:"marks,omitempty"`

	// Unsettled says that not all backends served at the end: writes were not answered.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Role is what the processes of a role used, each, in the mean.
type Role struct {
	Name       string  `json:"name"`
	Processes  int     `json:"processes"`
	CPUMsPerS  float64 `json:"cpuMsPerS"` // of processor time in a second
	MemoryMB   float64 `json:"memoryMB"`  // resident, at the end
	InPerS     float64 `json:"inPerS"`    // bytes read
	OutPerS    float64 `json:"outPerS"`   // bytes written, to storage too
	StoredPerS float64 `json:"storedPerS"`
	AnswersPS  float64 `json:"answersPerS"` // of a list service, to calls and watches
	AnswerPerS float64 `json:"answerBytesPerS"`
}

// HollowGateway is what one hollow gateway cost, in the mean.
type HollowGateway struct {
	CPUUsPerS       float64 `json:"cpuUsPerS"`
	InPerS          float64 `json:"inPerS"` // bytes
	OutPerS         float64 `json:"outPerS"`
	ToldPerS        float64 `json:"toldPerS"`    // answers with news
	EntriesPerS     float64 `json:"entriesPerS"` // instances in them
	AllocsPerS      float64 `json:"allocsPerS"`
	AllocsPerChange float64 `json:"allocsPerChange"` // of the list, all of them that there were
	AllocBytesPerS  float64 `json:"allocBytesPerS"`
	HeldKB          float64 `json:"heldKB"` // heap and stacks
	Backends        float64 `json:"backends"`
}

// HollowBackend is what one hollow backend cost, in the mean.
type HollowBackend struct {
	CallsPerS   float64 `json:"callsPerS"`   // of all backends together
	RefusedPerS float64 `json:"refusedPerS"` // of all backends together
	CPUUsCall   float64 `json:"cpuUsPerCall"`
	InPerCall   float64 `json:"inPerCall"` // bytes
	OutPerCall  float64 `json:"outPerCall"`
	HeldKB      float64 `json:"heldKB"`
}

// Membership is what one gateway's part in it cost, in the mean.
type Membership struct {
	SentPerS      float64 `json:"sentPerS"` // datagrams
	SentBytesPerS float64 `json:"sentBytesPerS"`
	ReceivedPerS  float64 `json:"receivedPerS"`
	DroppedPerS   float64 `json:"droppedPerS"`
	Present       float64 `json:"present"` // members that one holds present, itself too
}

// LatencySummary is the time from a change's answer to each gateway's news.
type LatencySummary struct {
	Readings int64         `json:"readings"`
	P50      time.Duration `json:"p50"`
	P99      time.Duration `json:"p99"`
	Most     time.Duration `json:"most"`
	Missing  int64         `json:"missing"`
}

// result puts a run's figures together.
func (r *runner) result(before, after, held *snapshot, final *Final, latency *Latency, changes []Change) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := after.at.Sub(before.at).Seconds()
	out := &Result{Scenario: r.s, Seconds: seconds, Changes: len(changes), Versions: after.version - before.version, Final: final, MostMB: r.most, Marks: slices.Clone(r.marks), Unsettled: r.unsettled,
		Told: LatencySummary{latency.All(), latency.Quantile(0.5), latency.Quantile(0.99), latency.Most, latency.Missing}}
	if r.load != nil {
		out.Requests = r.load.stop()
	}
	if before.writer != after.writer {
		out.Marks = append(out.Marks, fmt.Sprintf("%s wrote at the beginning and %s at the end: the roles' figures are of both", before.writer, after.writer))
	}
	out.Roles = r.roles(before, after, seconds)
	var gateways, backends Sample
	for n := range after.gateways {
		addDifference(&gateways, before.gateways[n].Sample, after.gateways[n].Sample)
		gateways.Heap += held.gateways[n].Heap + held.gateways[n].Stacks - min(held.gateways[n].Empty, held.gateways[n].Heap)
	}
	for n := range after.backends {
		addDifference(&backends, before.backends[n].Sample, after.backends[n].Sample)
		backends.Heap += held.backends[n].Heap + held.backends[n].Stacks - min(held.backends[n].Empty, held.backends[n].Heap)
	}
	all, per := float64(r.s.Fleet.Gateways), float64(r.s.Fleet.Gateways)*seconds
	out.Gateway = HollowGateway{CPUUsPerS: float64(gateways.CPU.Microseconds()) / per, InPerS: float64(gateways.In) / per, OutPerS: float64(gateways.Out) / per,
		ToldPerS: float64(gateways.Told) / per, EntriesPerS: float64(gateways.Entries) / per, AllocsPerS: float64(gateways.Mallocs) / per,
		AllocBytesPerS: float64(gateways.Allocated) / per, HeldKB: float64(gateways.Heap) / all / 1024, Backends: float64(final.Least+final.Most) / 2}
	if len(changes) > 0 {
		out.Gateway.AllocsPerChange = float64(gateways.Mallocs) / all / float64(len(changes))
	}
	calls := max(float64(backends.Calls), 1)
	out.Backend = HollowBackend{CallsPerS: float64(backends.Calls) / seconds, RefusedPerS: float64(backends.Refused) / seconds, CPUUsCall: float64(backends.CPU.Microseconds()) / calls,
		InPerCall: float64(backends.In) / calls, OutPerCall: float64(backends.Out) / calls, HeldKB: float64(backends.Heap) / float64(r.s.Fleet.Backends) / 1024}
	if m := gateways.Members; r.s.Fleet.Membership {
		agents := float64(max(held.members(), 1))
		out.Members = &Membership{SentPerS: float64(m.Sent) / per, SentBytesPerS: float64(m.SentBytes) / per, ReceivedPerS: float64(m.Received) / per,
			DroppedPerS: float64(m.Dropped) / per, Present: float64(held.present()) / agents}
	}
	return out
}

func (s *snapshot) members() (n int) {
	for _, h := range s.gateways {
		n += h.Members.Agents
	}
	return n
}

func (s *snapshot) present() (n int64) {
	for _, h := range s.gateways {
		n += h.Members.Present
	}
	return n
}

// addDifference adds what was used between two samples.
func addDifference(sum, before, after *Sample) {
	sum.CPU += after.CPU - before.CPU
	sum.Mallocs += after.Mallocs - before.Mallocs
	sum.Allocated += after.Allocated - before.Allocated
	sum.In += after.In - before.In
	sum.Out += after.Out - before.Out
	sum.Told += after.Told - before.Told
	sum.Entries += after.Entries - before.Entries
	sum.Calls += after.Calls - before.Calls
	sum.Refused += after.Refused - before.Refused
	sum.Members.Sent += after.Members.Sent - before.Members.Sent
	sum.Members.SentBytes += after.Members.SentBytes - before.Members.SentBytes
	sum.Members.Received += after.Members.Received - before.Members.Received
	sum.Members.Dropped += after.Members.Dropped - before.Members.Dropped
}

// roles are the means over the processes of each role.
func (r *runner) roles(before, after *snapshot, seconds float64) []Role {
	var all []Role
	add := func(name string, from, to Use, answers, bytes int64) {
		at := slices.IndexFunc(all, func(role Role) bool { return role.Name == name })
		if at < 0 {
			at = len(all)
			all = append(all, Role{Name: name})
		}
		role := &all[at]
		role.Processes++
		role.CPUMsPerS += float64((to.CPU - from.CPU).Microseconds()) / 1000 / seconds
		role.MemoryMB += to.MemoryMB
		role.InPerS += float64(to.In-from.In) / seconds
		role.OutPerS += float64(to.Out-from.Out) / seconds
		role.StoredPerS += float64(to.Stored-from.Stored) / seconds
		role.AnswersPS += float64(answers) / seconds
		role.AnswerPerS += float64(bytes) / seconds
	}
	for n, p := range r.services {
		from, to := before.services[n], after.services[n]
		name := p.role
		if p.name == after.writer {
			name = roleWriter
		}
		add(name, from.Use, to.Use, sinceCount(from, to, "answers"), sinceCount(from, to, "answer_bytes"))
	}
	for n := range r.reals {
		add(roleReal, before.reals[n], after.reals[n], 0, 0)
	}
	for n := range after.gateways {
		add(roleGateways, before.gateways[n].Use, after.gateways[n].Use, 0, 0)
	}
	for n := range after.backends {
		add(roleBackends, before.backends[n].Use, after.backends[n].Use, 0, 0)
	}
	for n := range all {
		role, count := &all[n], float64(all[n].Processes)
		for _, figure := range []*float64{&role.CPUMsPerS, &role.MemoryMB, &role.InPerS, &role.OutPerS, &role.StoredPerS, &role.AnswersPS, &role.AnswerPerS} {
			*figure /= count
		}
	}
	return all
}

// sinceCount is by how much a counter went on; one that began anew with its process counts
// from 0.
func sinceCount(before, after serviceUse, name string) int64 {
	if after.counters[name] < before.counters[name] {
		return after.counters[name]
	}
	return after.counters[name] - before.counters[name]
}

// Role returns the figures of a role; without processes of it, ok is false.
func (r *Result) Role(name string) (role Role, ok bool) {
	for _, role := range r.Roles {
		if role.Name == name {
			return role, true
		}
	}
	return Role{}, false
}

// Report writes the table.
func (r *Result) Report(out io.Writer) {
	f := &r.Scenario.Fleet
	fmt.Fprintf(out, "\n%s: %d hollow gateways before %d hollow backends in %d services, %d regions of %d zones; %d members, %d followers in each region, %d real gateways\n",
		r.Scenario.Name, f.Gateways, f.Backends, f.Services, f.Regions, f.Zones, f.Members, f.Followers, f.RealGateways)
	fmt.Fprintf(out, "%.1f s, %d changes answered, %d versions; at most %.0f MB\n\n", r.Seconds, r.Changes, r.Versions, r.MostMB)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "of each\tprocesses\tCPU ms/s\tresident MB\tin B/s\tout B/s\tstored B/s\tanswers/s\tanswered B/s\t")
	for _, role := range r.Roles {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n", role.Name, role.Processes, role.CPUMsPerS, role.MemoryMB, role.InPerS, role.OutPerS, role.StoredPerS, role.AnswersPS, role.AnswerPerS)
	}
	w.Flush()
	g, b := &r.Gateway, &r.Backend
	fmt.Fprintf(out, "\none hollow gateway, which holds %.0f backends: %.0f us/s of processor time, %.0f B/s in, %.0f B/s out, %.2f answers/s with %.2f instances/s, %.0f allocations/s of %.0f B/s, %.1f allocations for a change, %.0f KB held\n",
		g.Backends, g.CPUUsPerS, g.InPerS, g.OutPerS, g.ToldPerS, g.EntriesPerS, g.AllocsPerS, g.AllocBytesPerS, g.AllocsPerChange, g.HeldKB)
	fmt.Fprintf(out, "hollow backends: %.1f calls/s, of which %.2f refused; a call: %.0f us, %.0f B in, %.0f B out; %.1f KB held for each\n", b.CallsPerS, b.RefusedPerS, b.CPUUsCall, b.InPerCall, b.OutPerCall, b.HeldKB)
	if m := r.Members; m != nil {
		fmt.Fprintf(out, "membership of one gateway: %.1f datagrams/s of %.0f B/s sent, %.1f/s received, %.2f/s dropped; it holds %.1f present\n", m.SentPerS, m.SentBytesPerS, m.ReceivedPerS, m.DroppedPerS, m.Present)
	}
	fmt.Fprintf(out, "from a change's answer to a gateway's news: p50 %v, p99 %v, most %v of %d; %d missing\n", r.Told.P50.Round(time.Millisecond), r.Told.P99.Round(time.Millisecond), r.Told.Most.Round(time.Millisecond), r.Told.Readings, r.Told.Missing)
	if r.Requests != nil {
		fmt.Fprintf(out, "requests through real gateways, by status: %v\n", r.Requests)
	}
	switch v := r.Final; {
	case !v.Checked:
		fmt.Fprintf(out, "%d gateways hold %d to %d of the %d backends on the writer's list\n", v.Of, v.Least, v.Most, v.Listed)
	case v.Same == v.Of:
		fmt.Fprintf(out, "all %d gateways hold what the writer's list has for them, %d to %d of %d backends\n", v.Of, v.Least, v.Most, v.Listed)
	default:
		fmt.Fprintf(out, "%d of %d gateways hold what the writer's list has for them; the first that does not: %s\n", v.Same, v.Of, v.First)
	}
	for _, mark := range r.Marks {
		fmt.Fprintln(out, mark)
	}
}

// JSON writes the result as one line.
func (r *Result) JSON(out io.Writer) error { return json.NewEncoder(out).Encode(r) }

// Failed says why the run's counts do not add up; empty: they do.
func (r *Result) Failed() string {
	switch {
	case r.Unsettled:
		return "not all backends served at the end"
	case r.Told.Missing > 0:
		return fmt.Sprintf("%d changes did not come to a gateway", r.Told.Missing)
	case r.Final.Checked && r.Final.Same < r.Final.Of:
		return fmt.Sprintf("%d gateways do not hold what the writer's list has for them", r.Final.Of-r.Final.Same)
	}
	return ""
}
