// Package results tallies the results of a play: outcomes and worth served by class, plan and
// time window, latencies from the intended send time, and costs.
package results

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunlintray/internal/scenario"
)

// WindowLength is the length of the time windows that are reported separately.
const WindowLength = 5 * time.Second

// Outcome is the final outcome of a client's operation, after all its requests.
type Outcome int

// Values of Outcome.
const (
	Served  Outcome = iota // within the aim
	Late                   // served after the aim, within the deadline
	Refused                // final answer with no effect
	Failed
	Abandoned // the client cancelled
	Lost      // no answer within the deadline and a grace period
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "left", "lost"}

func (o Outcome) String() string { return outcomeNames[o] }

// Line is the result of a class, a plan, a window or the whole play.
type Line struct {
	Kind       string            `json:"kind"` // total, class, plan or window
	Name       string            `json:"name"`
	Offered    float64           `json:"offered"` // worth that a single gateway with full knowledge would admit
	Earned     float64           `json:"earned"`
	Operations int               `json:"asked"`
	Counts     [outcomeCount]int `json:"-"`
	Ended      map[string]int    `json:"ended"`
	P50Ms      float64           `json:"p50_ms,omitempty"` // of served operations
	P99Ms      float64           `json:"p99_ms,omitempty"`
	MaxMs      float64           `json:"max_ms,omitempty"`

	latency *hdrhistogram.Histogram
}

// ServedFraction returns the fraction of the offered worth that was served, from 0 to 1.
func (l *Line) ServedFraction() float64 {
	if l.Offered == 0 {
		return 0
	}
	return min(1, l.Earned/l.Offered) // quota exhausted when the request was offered may have been refilled when it was forwarded
}

// Costs are counts over the whole play, except for BeyondQuota.
type Costs struct {
	Requests             int     `json:"tries"` // of clients, including client retries
	Attempts             int     `json:"attempts"`
	RejectedAttempts     int     `json:"turned_away"` // by backends
	Handshakes           int     `json:"handshakes"`
	CrossZone            int     `json:"cross_zone"` // attempts
	CounterCalls         int     `json:"counter_calls"`
	RejectedCounterCalls int     `json:"counter_calls_turned_away"`
	Probes               int     `json:"probes"`
	Datagrams            int     `json:"datagrams"`
	BeyondQuota          float64 `json:"beyond_quota"` // penalty for requests forwarded beyond quotas, in worth
	FallenBackends       int     `json:"fallen_backends"`
}

// Gateway is the resource usage of a gateway process.
type Gateway struct {
	Kind         string  `json:"kind"` // always "gateway"
	Name         string  `json:"name"`
	Starts       int     `json:"starts"`
	CPUSeconds   float64 `json:"cpu_s"`
	PeakMemoryMB float64 `json:"memory_mb"` // maximum resident set size
}

// Tally accumulates the results of one play. It is not safe for concurrent use.
type Tally struct {
	Costs      Costs
	Gateways   []Gateway
	total      Line
	classes    []Line
	plans      []Line
	windows    []Line
	lateness   *hdrhistogram.Histogram
	listDelays *hdrhistogram.Histogram
	recent     [outcomeCount]int
}

// newHistogram returns a histogram of microseconds, up to two minutes, with two significant
// digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 2) }

// New returns an empty tally for the classes and plans of a scenario.
func New(source *scenario.Scenario) *Tally {
	tally := &Tally{total: Line{Kind: "total", Name: source.Name, latency: newHistogram()}, lateness: newHistogram(), listDelays: newHistogram()}
	for _, class := range source.Classes {
		tally.classes = append(tally.classes, Line{Kind: "class", Name: class.Name, latency: newHistogram()})
	}
	for _, plan := range source.Plans {
		tally.plans = append(tally.plans, Line{Kind: "plan", Name: plan.Name, latency: newHistogram()})
	}
	return tally
}

// maxDetailedWindows is the number of recent windows that keep a latency histogram. Operations
// of older windows have ended; those keep only their percentiles.
const maxDetailedWindows = 24

// window returns the line of the window that contains a time since the start of the play.
func (t *Tally) window(at time.Duration) *Line {
	index := int(at / WindowLength)
	for len(t.windows) <= index {
		t.windows = append(t.windows, Line{Kind: "window", Name: (time.Duration(len(t.windows)) * WindowLength).String(), latency: newHistogram()})
		if old := len(t.windows) - 1 - maxDetailedWindows; old >= 0 {
			t.windows[old].summarize()
		}
	}
	return &t.windows[index]
}

// summarize computes the percentiles of the line and releases its histogram.
func (l *Line) summarize() {
	if l.latency == nil {
		return
	}
	ms := func(us int64) float64 { return float64(us) / 1e3 }
	l.P50Ms, l.P99Ms, l.MaxMs = ms(l.latency.ValueAtQuantile(50)), ms(l.latency.ValueAtQuantile(99)), ms(l.latency.Max())
	l.latency = nil
}

func (t *Tally) forEachLine(at time.Duration, class, plan int, apply func(*Line)) {
	apply(&t.total)
	apply(&t.classes[class])
	apply(&t.plans[plan])
	apply(t.window(at))
}

// RecordOperation records that a client began an operation at a time since the start of the
// play.
func (t *Tally) RecordOperation(at time.Duration, class, plan int, worth float64) {
	t.forEachLine(at, class, plan, func(line *Line) { line.Offered += worth; line.Operations++ })
}

// RecordOutcome records the outcome of the operation that began at the given time, the worth
// earned and the latency since its intended send time.
func (t *Tally) RecordOutcome(at time.Duration, class, plan int, outcome Outcome, worth float64, latency time.Duration) {
	t.recent[outcome]++
	t.forEachLine(at, class, plan, func(line *Line) {
		line.Counts[outcome]++
		line.Earned += worth
		if (outcome == Served || outcome == Late) && line.latency != nil {
			line.latency.RecordValue(max(1, latency.Microseconds())) // at most two minutes, the limit of the histogram
		}
	})
}

// RecordLateness records the delay between the due time of an emulator event and its
// execution.
func (t *Tally) RecordLateness(late time.Duration) {
	t.lateness.RecordValue(min(max(1, late.Microseconds()), 120_000_000))
}

// RecordListDelay records the time from a change of the list until a gateway received it.
func (t *Tally) RecordListDelay(delay time.Duration) {
	t.listDelays.RecordValue(min(max(1, delay.Microseconds()), 120_000_000))
}

// Lateness returns a percentile, from 0 to 100, of the recorded lateness of the emulator.
func (t *Tally) Lateness(percentile float64) time.Duration {
	return time.Duration(t.lateness.ValueAtQuantile(percentile)) * time.Microsecond
}

// ServedFraction returns the fraction of all offered worth that was served, from 0 to 1.
func (t *Tally) ServedFraction() float64 { return t.total.ServedFraction() }

// TakeRecent returns the number of operations by outcome since the last call, and resets it.
func (t *Tally) TakeRecent() map[string]int {
	counts := map[string]int{}
	for o, n := range t.recent {
		counts[Outcome(o).String()] = n
	}
	t.recent = [outcomeCount]int{}
	return counts
}

// Lines returns all lines: the total, then classes, plans and windows.
func (t *Tally) Lines() []Line {
	all := append([]Line{t.total}, t.classes...)
	all = append(all, t.plans...)
	all = append(all, t.windows...)
	for i := range all {
		line := &all[i]
		line.Ended = map[string]int{}
		for o, n := range line.Counts {
			line.Ended[Outcome(o).String()] = n
		}
		line.summarize()
	}
	return all
}

// JSON writes a line of JSON for each class, plan, window and gateway, and one for the costs.
func (t *Tally) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, l := range t.Lines() {
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	for _, g := range t.Gateways {
		if err := encoder.Encode(g); err != nil {
			return err
		}
	}
	return encoder.Encode(struct {
		Kind string `json:"kind"`
		Costs
		ListP50Ms float64 `json:"list_heard_p50_ms"`
		ListMaxMs float64 `json:"list_heard_max_ms"`
		LateP99Ms float64 `json:"tool_late_p99_ms"`
		LateMaxMs float64 `json:"tool_late_max_ms"`
	}{"costs", t.Costs, float64(t.listDelays.ValueAtQuantile(50)) / 1e3, float64(t.listDelays.Max()) / 1e3, t.Lateness(99).Seconds() * 1e3, t.Lateness(100).Seconds() * 1e3})
}

// Table writes the results as a table for people, with the most recent windows only.
func (t *Tally) Table(out io.Writer) {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\tworth\tasked\tserved\tlate\trefused\tfailed\tleft\tlost\tp50\tp99\tmax")
	lines := t.Lines()
	if hidden := len(t.windows) - maxDetailedWindows; hidden > 0 {
		lines = append(lines[:len(lines)-len(t.windows)], lines[len(lines)-maxDetailedWindows:]...)
	}
	for _, line := range lines {
		fmt.Fprintf(tab, "%s %s\t%.3f\t%d", line.Kind, line.Name, line.ServedFraction(), line.Operations)
		for _, n := range line.Counts {
			fmt.Fprintf(tab, "\t%d", n)
		}
		fmt.Fprintf(tab, "\t%.0f ms\t%.0f ms\t%.0f ms\n", line.P50Ms, line.P99Ms, line.MaxMs)
	}
	tab.Flush()
	costs := t.Costs
	fmt.Fprintf(out, "%d tries; %d attempts, %d turned away, %d between zones; %d handshakes, %d probes; %d counter calls, %d turned away; beyond quotas -%.3f\n",
		costs.Requests, costs.Attempts, costs.RejectedAttempts, costs.CrossZone, costs.Handshakes, costs.Probes, costs.CounterCalls, costs.RejectedCounterCalls, costs.BeyondQuota/max(1, t.total.Offered))
	if n := t.listDelays.TotalCount(); n > 0 {
		fmt.Fprintf(out, "changes of the list were heard after %d ms at p50, %d ms at most (%d times)\n", t.listDelays.ValueAtQuantile(50)/1000, t.listDelays.Max()/1000, n)
	}
	var cpuSeconds, peakMB float64
	for _, g := range t.Gateways {
		cpuSeconds += g.CPUSeconds
		peakMB = max(peakMB, g.PeakMemoryMB)
	}
	if len(t.Gateways) > 0 {
		fmt.Fprintf(out, "%d gateways: %.2f s of CPU (%.2f ms a try), %.0f MB at most\n", len(t.Gateways), cpuSeconds, cpuSeconds*1e3/float64(max(1, costs.Requests)), peakMB)
	}
	fmt.Fprintf(out, "the emulation was late by %v at p99, %v at most\n", t.Lateness(99).Round(10*time.Microsecond), t.Lateness(100).Round(10*time.Microsecond))
}
