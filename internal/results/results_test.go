package results

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/scenario"
)

// TestTallySumsAgreeAcrossGroups checks that outcomes add up by class, plan and window, and
// that old windows release their histograms.
func TestTallySumsAgreeAcrossGroups(t *testing.T) {
	testScenario := scenario.Default()
	tally := New(&testScenario)
	const operations = 2000
	for n := range operations {
		at := time.Duration(n) * time.Second
		tally.RecordOperation(at, n%3, n%2, 2)
		outcome := Outcome(n % int(outcomeCount))
		worth := 0.0
		if outcome == Served {
			worth = 2
		}
		tally.RecordOutcome(at, n%3, n%2, outcome, worth, time.Duration(1+n%100)*time.Millisecond)
		tally.RecordLateness(time.Duration(n) * time.Microsecond)
	}
	var out bytes.Buffer
	if err := tally.JSON(&out); err != nil {
		t.Fatal(err)
	}
	sums := map[string]float64{}
	windows := 0
	for line := range strings.Lines(out.String()) {
		var parsed Line
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatal(err)
		}
		sums[parsed.Kind+" asked"] += float64(parsed.Operations)
		sums[parsed.Kind+" earned"] += parsed.Earned
		sums[parsed.Kind+" served"] += float64(parsed.Ended["served"])
		if parsed.Kind == "window" {
			if windows++; parsed.P99Ms < parsed.P50Ms || parsed.MaxMs < parsed.P99Ms || parsed.Ended["served"] > 0 && parsed.P50Ms == 0 {
				t.Errorf("window percentiles out of order or missing: %+v", parsed)
			}
		}
	}
	served := float64((operations + int(outcomeCount) - 1) / int(outcomeCount))
	for kind, want := range map[string]float64{"asked": operations, "earned": 2 * served, "served": served} {
		for _, group := range []string{"total", "class", "plan", "window"} {
			if sums[group+" "+kind] != want {
				t.Errorf("%s %s: %g, want %g", group, kind, sums[group+" "+kind], want)
			}
		}
	}
	detailed := 0
	for _, w := range tally.windows {
		if w.latency != nil {
			detailed++
		}
	}
	if windows != operations/5 || detailed > maxDetailedWindows+1 {
		t.Errorf("%d windows, %d with a histogram", windows, detailed)
	}
	if p := tally.Lateness(99); p < 1900*time.Microsecond || p > 2100*time.Microsecond {
		t.Errorf("lateness at p99 is %v, want about 2 ms", p)
	}
	var table bytes.Buffer
	tally.Table(&table)
	if n := strings.Count(table.String(), "\nwindow"); n != maxDetailedWindows {
		t.Errorf("%d windows in the table", n)
	}
}
