package results

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/scenario"
)

// What is told adds up, by class, plan and window, and a long day takes no more
// than its lines.
func TestTally(t *testing.T) {
	s := scenario.Default()
	tally := New(&s)
	const wishes = 2000
	for n := range wishes {
		at := time.Duration(n) * time.Second
		tally.RecordOperation(at, n%3, n%2, 2)
		o := Outcome(n % int(outcomeCount))
		worth := 0.0
		if o == Served {
			worth = 2
		}
		tally.RecordOutcome(at, n%3, n%2, o, worth, time.Duration(1+n%100)*time.Millisecond)
		tally.RecordLateness(time.Duration(n) * time.Microsecond)
	}
	var out bytes.Buffer
	if err := tally.JSON(&out); err != nil {
		t.Fatal(err)
	}
	sums := map[string]float64{}
	windows := 0
	for line := range strings.Lines(out.String()) {
		var l Line
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		sums[l.Kind+" asked"] += float64(l.Operations)
		sums[l.Kind+" earned"] += l.Earned
		sums[l.Kind+" served"] += float64(l.Ended["served"])
		if l.Kind == "window" {
			if windows++; l.P99Ms < l.P50Ms || l.MaxMs < l.P99Ms || l.Ended["served"] > 0 && l.P50Ms == 0 {
				t.Errorf("%+v", l)
			}
		}
	}
	served := float64((wishes + int(outcomeCount) - 1) / int(outcomeCount))
	for kind, want := range map[string]float64{"asked": wishes, "earned": 2 * served, "served": served} {
		for _, group := range []string{"total", "class", "plan", "window"} {
			if sums[group+" "+kind] != want {
				t.Errorf("%s %s: %g, not %g", group, kind, sums[group+" "+kind], want)
			}
		}
	}
	open := 0
	for _, w := range tally.windows {
		if w.latency != nil {
			open++
		}
	}
	if windows != wishes/5 || open > maxDetailedWindows+1 {
		t.Errorf("%d windows, %d with all latencies", windows, open)
	}
	if p := tally.Lateness(99); p < 1900*time.Microsecond || p > 2100*time.Microsecond {
		t.Errorf("late by %v", p)
	}
	var table bytes.Buffer
	tally.Table(&table)
	if n := strings.Count(table.String(), "\nwindow"); n != maxDetailedWindows {
		t.Errorf("%d windows in the table", n)
	}
}
