package play

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"dunlintray/internal/referee"
)

// shown is how many broken rules are told with their histories.
const shown = 5

// Report writes the result for people.
func (r *Result) Report(w io.Writer) {
	r.Tally.Table(w)
	fmt.Fprintf(w, "nearest to a ceiling: %.2f of a store was left, under a third of %d; the fullest cold backend used %.2f of its room\n", r.MinCeilingRemaining, r.LowCustomers, r.MaxColdBudgetUsed)
	for i, v := range r.Violations {
		if i == shown {
			fmt.Fprintln(w, "and others, see the counts")
			break
		}
		fmt.Fprintln(w, "BROKEN", v)
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "rule\tbroken\ttried")
	for _, t := range r.Trials {
		tried := strconv.Itoa(t.Tried)
		if t.Tried == 0 {
			tried = "not tried"
		}
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\n", t.Name, r.Counts[t.Rule()], tried, t.Description)
	}
	tab.Flush()
	if r.EndedEarly {
		fmt.Fprintln(w, "ended early")
	}
	if untried := referee.Untried(r.Trials, referee.Rules()); len(r.Counts) == 0 {
		fmt.Fprintf(w, "no rule was broken of the %d that were tried", len(referee.Rules())-len(untried))
		if len(untried) > 0 {
			fmt.Fprintf(w, "; not tried: %s", strings.Join(untried, ", "))
		}
		fmt.Fprintln(w)
	}
	if r.InvalidReason != "" {
		fmt.Fprintln(w, "DOES NOT COUNT:", r.InvalidReason)
	}
}

// JSON writes the result as lines of JSON: classes, plans, windows, gateways,
// costs, broken rules and the verdict.
func (r *Result) JSON(w io.Writer) error {
	if err := r.Tally.JSON(w); err != nil {
		return err
	}
	e := json.NewEncoder(w)
	for _, v := range r.Violations {
		err := e.Encode(map[string]any{"kind": "violation", "at_s": v.At.Seconds(), "rule": v.Rule, "gateway": v.Gateway,
			"request": fmt.Sprintf("%016x", v.Request), "text": v.Text, "history": v.History})
		if err != nil {
			return err
		}
	}
	for _, t := range r.Trials {
		err := e.Encode(map[string]any{"kind": "rule", "name": t.Name, "what": t.Description, "tried": t.Tried, "broken": r.Counts[t.Rule()]})
		if err != nil {
			return err
		}
	}
	return e.Encode(map[string]any{"kind": "verdict", "worth": r.Tally.ServedFraction(), "nearest_to_ceiling": r.MinCeilingRemaining, "low_customers": r.LowCustomers, "cold_room_used": r.MaxColdBudgetUsed,
		"broken": r.Counts, "not_tried": referee.Untried(r.Trials, referee.Rules()), "counts": r.InvalidReason == "" && !r.EndedEarly, "late": r.InvalidReason, "cut": r.EndedEarly, "marks": r.Marks})
}
