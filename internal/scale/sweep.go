package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// quantities maps the name of each quantity that a sweep can vary to a function that sets it
// in a scenario.
var quantities = map[string]func(s *Scenario, size float64){
	"gateways": func(s *Scenario, n float64) { s.Fleet.Gateways = int(n) },
	"backends": func(s *Scenario, n float64) { s.Fleet.Backends = int(n) },
	"services": func(s *Scenario, n float64) { s.Fleet.Services = int(n) },
	"changes":  func(s *Scenario, n float64) { s.Changes.PerS = n },
	"scopes":   func(s *Scenario, n float64) { s.Reading.Services = int(n) },
	"subset":   func(s *Scenario, n float64) { s.Reading.Subset = int(n) },
}

// Quantities returns the names of the quantities that a sweep can vary, sorted.
func Quantities() []string { return slices.Sorted(maps.Keys(quantities)) }

// Sweep is a series of runs that differ in one or two quantities.
type Sweep struct {
	Quantity     string
	Sizes        []float64
	Against      string // second quantity; empty: none
	AgainstSizes []float64
}

const minSizes = 2

// Check returns an error if the sweep is invalid, or if any of its scenarios is invalid or
// does not fit this machine.
func (w *Sweep) Check(scenario *Scenario) error {
	if quantities[w.Quantity] == nil {
		return fmt.Errorf("there is no quantity %q; there are %s", w.Quantity, strings.Join(Quantities(), ", "))
	}
	if len(w.Sizes) < minSizes {
		return fmt.Errorf("%d sizes of %s are too few: at least %d are required", len(w.Sizes), w.Quantity, minSizes)
	}
	if (w.Against == "") != (len(w.AgainstSizes) == 0) || w.Against != "" && (quantities[w.Against] == nil || w.Against == w.Quantity || len(w.AgainstSizes) < minSizes) {
		return fmt.Errorf("against %q with %d sizes: another quantity with at least %d sizes is required", w.Against, len(w.AgainstSizes), minSizes)
	}
	var problems []error
	for _, point := range w.points() {
		variant := w.scenarioAt(scenario, point)
		err := variant.Check()
		if err == nil {
			err = CheckResources(variant)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", w.label(point), err))
		}
	}
	return errors.Join(problems...)
}

// points returns the sizes of all runs; Y is not set.
func (w *Sweep) points() (all []Point) {
	otherSizes := w.AgainstSizes
	if w.Against == "" {
		otherSizes = []float64{0}
	}
	for _, z := range otherSizes {
		for _, x := range w.Sizes {
			all = append(all, Point{X: x, Z: z})
		}
	}
	return all
}

// scenarioAt returns the scenario of one run.
func (w *Sweep) scenarioAt(scenario *Scenario, point Point) *Scenario {
	variant := *scenario
	quantities[w.Quantity](&variant, point.X)
	if w.Against != "" {
		quantities[w.Against](&variant, point.Z)
	}
	return &variant
}

func (w *Sweep) label(p Point) string {
	if w.Against == "" {
		return fmt.Sprintf("%s %g", w.Quantity, p.X)
	}
	return fmt.Sprintf("%s %g, %s %g", w.Quantity, p.X, w.Against, p.Z)
}

// sweepMetric is a metric of a result that a sweep reports and fits.
type sweepMetric struct {
	name  string
	value func(*Result) float64
}

// sweepMetrics are the rows of a sweep's table.
var sweepMetrics = []sweepMetric{
	{"gateway: CPU us/s", func(r *Result) float64 { return r.Gateway.CPUUsPerS }},
	{"gateway: in B/s", func(r *Result) float64 { return r.Gateway.InPerS }},
	{"gateway: out B/s", func(r *Result) float64 { return r.Gateway.OutPerS }},
	{"gateway: instances/s", func(r *Result) float64 { return r.Gateway.InstancesPerS }},
	{"gateway: allocations/s", func(r *Result) float64 { return r.Gateway.AllocsPerS }},
	{"gateway: allocated B/s", func(r *Result) float64 { return r.Gateway.AllocBytesPerS }},
	{"gateway: held KB", func(r *Result) float64 { return r.Gateway.HeldKB }},
	{"gateway: backends", func(r *Result) float64 { return r.Gateway.Backends }},
	{"writer: CPU ms/s", ofRole(roleWriter, func(r Role) float64 { return r.CPUMsPerS })},
	{"writer: in B/s", ofRole(roleWriter, func(r Role) float64 { return r.InPerS })},
	{"writer: out B/s", ofRole(roleWriter, func(r Role) float64 { return r.OutPerS })},
	{"writer: answers/s", ofRole(roleWriter, func(r Role) float64 { return r.AnswersPerS })},
	{"writer: resident MB", ofRole(roleWriter, func(r Role) float64 { return r.MemoryMB })},
	{"member: CPU ms/s", ofRole(roleMember, func(r Role) float64 { return r.CPUMsPerS })},
	{"member: in B/s", ofRole(roleMember, func(r Role) float64 { return r.InPerS })},
	{"member: resident MB", ofRole(roleMember, func(r Role) float64 { return r.MemoryMB })},
	{"follower: CPU ms/s", ofRole(roleFollower, func(r Role) float64 { return r.CPUMsPerS })},
	{"follower: in B/s", ofRole(roleFollower, func(r Role) float64 { return r.InPerS })},
	{"follower: out B/s", ofRole(roleFollower, func(r Role) float64 { return r.OutPerS })},
	{"follower: answers/s", ofRole(roleFollower, func(r Role) float64 { return r.AnswersPerS })},
	{"follower: resident MB", ofRole(roleFollower, func(r Role) float64 { return r.MemoryMB })},
	{"backends: calls/s", func(r *Result) float64 { return r.Backend.CallsPerS }},
	{"backend: CPU us/call", func(r *Result) float64 { return r.Backend.CPUUsPerCall }},
	{"membership: sent B/s", ofMembers(func(m *Membership) float64 { return m.SentBytesPerS })},
	{"membership: sent/s", ofMembers(func(m *Membership) float64 { return m.SentPerS })},
	{"told: p50 ms", func(r *Result) float64 { return r.Propagation.P50.Seconds() * 1000 }},
	{"told: p99 ms", func(r *Result) float64 { return r.Propagation.P99.Seconds() * 1000 }},
	{"told: most ms", func(r *Result) float64 { return r.Propagation.Max.Seconds() * 1000 }},
}

func ofRole(name string, f func(Role) float64) func(*Result) float64 {
	return func(r *Result) float64 {
		role, _ := r.Role(name)
		return f(role)
	}
}

func ofMembers(f func(*Membership) float64) func(*Result) float64 {
	return func(r *Result) float64 {
		if r.Membership == nil {
			return 0
		}
		return f(r.Membership)
	}
}

// Table is the result of a sweep.
type Table struct {
	Sweep    *Sweep
	Points   []Point
	Results  []*Result
	Fits     map[string]Fit // by name of the metric
	Failures []string       // of runs that failed their checks
}

// Run makes the runs in sequence and fits their metrics. It writes each result to results as a
// line of JSON. After an error, the returned table contains the runs before it.
func (w *Sweep) Run(ctx context.Context, scenario *Scenario, options Options, results io.Writer) (*Table, error) {
	table := &Table{Sweep: w, Fits: map[string]Fit{}}
	dir := options.Dir
	var runErr error
	for index, point := range w.points() {
		if options.Progress != nil {
			fmt.Fprintf(options.Progress, "%s:\n", w.label(point))
		}
		options.Dir = filepath.Join(dir, fmt.Sprint(index))
		result, err := Run(ctx, w.scenarioAt(scenario, point), options)
		if err != nil {
			runErr = fmt.Errorf("%s: %w", w.label(point), err)
			break
		}
		table.Points, table.Results = append(table.Points, point), append(table.Results, result)
		if reason := result.Failure(); reason != "" {
			table.Failures = append(table.Failures, w.label(point)+": "+reason)
		}
		if err := result.JSON(results); err != nil {
			return table, err
		}
	}
	table.fit()
	return table, runErr
}

func (t *Table) fit() {
	if len(t.Points) < minSizes {
		return
	}
	for _, metric := range sweepMetrics {
		points := slices.Clone(t.Points)
		for n, r := range t.Results {
			points[n].Y = metric.value(r)
		}
		if t.Sweep.Against != "" {
			t.Fits[metric.name] = FitTwo(points)
		} else {
			t.Fits[metric.name] = FitOne(points)
		}
	}
}

// Report writes the metrics by size, and the fit of each. It omits metrics that are 0 in all
// runs.
func (t *Table) Report(out io.Writer) {
	if len(t.Results) == 0 {
		return
	}
	fmt.Fprintln(out)
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(columns, "figure")
	for _, p := range t.Points {
		fmt.Fprintf(columns, "\t%s", t.Sweep.label(p))
	}
	fmt.Fprintln(columns, "\tform")
	for _, metric := range sweepMetrics {
		allZero := true
		line := metric.name
		for _, result := range t.Results {
			y := metric.value(result)
			allZero = allZero && y == 0
			line += fmt.Sprintf("\t%.4g", y)
		}
		if fit, found := t.Fits[metric.name]; found {
			line += "\t" + fit.String()
		}
		if !allZero {
			fmt.Fprintln(columns, line)
		}
	}
	columns.Flush()
	for index, result := range t.Results {
		listState := fmt.Sprintf("%d of %d gateways hold the writer's list", result.Final.Matching, result.Final.Total)
		if !result.Final.Checked {
			listState = fmt.Sprintf("gateways hold %d to %d backends", result.Final.MinBackends, result.Final.MaxBackends)
		}
		fmt.Fprintf(out, "%s: %d changes in %.1f s to %d readings, %d missing; %s; at most %.0f MB\n",
			t.Sweep.label(t.Points[index]), result.Changes, result.Seconds, result.Propagation.Count, result.Propagation.Missing, listState, result.PeakMB)
		for _, event := range result.Events {
			fmt.Fprintf(out, "%s: %s\n", t.Sweep.label(t.Points[index]), event)
		}
	}
	for _, reason := range t.Failures {
		fmt.Fprintln(out, "does not add up:", reason)
	}
}
