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

// maxReportedViolations limits the violations that Report prints.
const maxReportedViolations = 5

// Report writes the result as text.
func (r *Result) Report(w io.Writer) {
	r.Tally.Table(w)
	fmt.Fprintf(w, "nearest to a ceiling: %.2f of a store was left, under a third of %d; the fullest cold backend used %.2f of its room\n", r.MinCeilingRemaining, r.LowCustomers, r.MaxColdBudgetUsed)
	for i, violation := range r.Violations {
		if i == maxReportedViolations {
			fmt.Fprintln(w, "and others, see the counts")
			break
		}
		fmt.Fprintln(w, "BROKEN", violation)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "rule\tbroken\ttried")
	for _, trial := range r.Trials {
		count := strconv.Itoa(trial.Tried)
		if trial.Tried == 0 {
			count = "not tried"
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", trial.Name, r.Counts[trial.Rule()], count, trial.Description)
	}
	table.Flush()
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

// JSON writes the result as lines of JSON: classes, plans, windows, gateways, costs, violations,
// rules and the verdict.
func (r *Result) JSON(w io.Writer) error {
	if err := r.Tally.JSON(w); err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	for _, violation := range r.Violations {
		err := encoder.Encode(map[string]any{"kind": "violation", "at_s": violation.At.Seconds(), "rule": violation.Rule, "gateway": violation.Gateway,
			"request": fmt.Sprintf("%016x", violation.Request), "text": violation.Text, "history": violation.History})
		if err != nil {
			return err
		}
	}
	for _, trial := range r.Trials {
		err := encoder.Encode(map[string]any{"kind": "rule", "name": trial.Name, "what": trial.Description, "tried": trial.Tried, "broken": r.Counts[trial.Rule()]})
		if err != nil {
			return err
		}
	}
	return encoder.Encode(map[string]any{"kind": "verdict", "worth": r.Tally.ServedFraction(), "nearest_to_ceiling": r.MinCeilingRemaining, "low_customers": r.LowCustomers, "cold_room_used": r.MaxColdBudgetUsed,
		"broken": r.Counts, "not_tried": referee.Untried(r.Trials, referee.Rules()), "counts": r.InvalidReason == "" && !r.EndedEarly, "late": r.InvalidReason, "cut": r.EndedEarly, "marks": r.Marks})
}
