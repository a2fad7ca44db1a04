package play

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// shown is how many broken rules are told with their histories.
const shown = 5

// Report writes the result for people.
func (r *Result) Report(w io.Writer) {
	r.Tally.Table(w)
	fmt.Fprintf(w, "nearest to a ceiling: %.2f of a store was left\n", r.Nearest)
	for i, v := range r.Violations {
		if i == shown {
			fmt.Fprintln(w, "and others, see the counts")
			break
		}
		fmt.Fprintln(w, "BROKEN", v)
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, "rule %s: broken %d times\n", rule, r.Counts[rule])
	}
	switch {
	case r.Cut:
		fmt.Fprintln(w, "ended early")
	case len(r.Counts) == 0:
		fmt.Fprintln(w, "no rule was broken")
	}
	if r.Late != "" {
		fmt.Fprintln(w, "DOES NOT COUNT:", r.Late)
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
	return e.Encode(map[string]any{"kind": "verdict", "worth": r.Tally.Share(), "nearest_to_ceiling": r.Nearest, "broken": r.Counts, "counts": r.Late == "" && !r.Cut, "late": r.Late, "cut": r.Cut, "marks": r.Marks})
}
