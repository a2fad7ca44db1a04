// Package views compares the membership views of several gateways and finds likely network
// partitions between them.
package views

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// View is the membership view of one gateway.
type View struct {
	Self    int    // number of the gateway, which counts as present in its own view
	Present []bool // indexed by member number; members beyond its end are absent
}

func (v View) holdsPresent(member int) bool {
	return member == v.Self || member < len(v.Present) && v.Present[member]
}

// Disagreement is a member that is present in some views and absent in others.
type Disagreement struct {
	Member          int
	Present, Absent []int // gateways whose views have the member present or absent
}

// Report is the result of a comparison. It names gateways and members by their numbers.
type Report struct {
	Compared      []int          // gateways whose views were compared, in ascending order
	Groups        [][]int        // compared gateways that consider each other present, directly or through others; largest group first
	Disagreements []Disagreement // in ascending order of members
	OneWay        [][2]int       // the first considers the second present, but not the other way round
	Bridges       []int          // members that gateways of more than one group consider present
	Missing       []int          // members that are present in no view
}

// Compare compares views, of which each gateway has at most one.
func Compare(views []View) Report {
	views = slices.Clone(views)
	slices.SortFunc(views, func(a, b View) int { return a.Self - b.Self })
	var report Report
	members := 0
	for _, v := range views {
		report.Compared = append(report.Compared, v.Self)
		members = max(members, v.Self+1, len(v.Present))
	}
	groupOf := make([]int, len(views)) // by view: the lowest index of a view in its group
	for i := range views {
		groupOf[i] = i
	}
	for changed := true; changed; {
		changed = false
		for i, a := range views {
			for j, b := range views[i+1:] {
				j += i + 1
				if a.holdsPresent(b.Self) && b.holdsPresent(a.Self) && groupOf[i] != groupOf[j] {
					lower := min(groupOf[i], groupOf[j])
					groupOf[i], groupOf[j], changed = lower, lower, true
				}
			}
		}
	}
	for i, view := range views {
		if groupOf[i] == i {
			report.Groups = append(report.Groups, nil)
			for j, other := range views {
				if groupOf[j] == i {
					report.Groups[len(report.Groups)-1] = append(report.Groups[len(report.Groups)-1], other.Self)
				}
			}
		}
		for _, other := range views {
			if view.holdsPresent(other.Self) && !other.holdsPresent(view.Self) {
				report.OneWay = append(report.OneWay, [2]int{view.Self, other.Self})
			}
		}
	}
	slices.SortStableFunc(report.Groups, func(a, b []int) int { return len(b) - len(a) })
	for member := range members {
		disagreement := Disagreement{Member: member}
		groupsPresent := map[int]bool{}
		for i, v := range views {
			if v.holdsPresent(member) {
				disagreement.Present = append(disagreement.Present, v.Self)
				groupsPresent[groupOf[i]] = true
			} else {
				disagreement.Absent = append(disagreement.Absent, v.Self)
			}
		}
		switch {
		case len(disagreement.Present) == 0:
			report.Missing = append(report.Missing, member)
		case len(disagreement.Absent) > 0:
			report.Disagreements = append(report.Disagreements, disagreement)
		}
		if len(groupsPresent) > 1 {
			report.Bridges = append(report.Bridges, member)
		}
	}
	return report
}

// Consistent reports whether all views agree on each member that is present in any of them.
func (r Report) Consistent() bool { return len(r.Disagreements) == 0 }

func formatMembers(members []int) string {
	labels := make([]string, len(members))
	for i, n := range members {
		labels[i] = fmt.Sprintf("n%d", n)
	}
	return strings.Join(labels, " ")
}

// Write writes the report as text for operators. It ignores errors of w.
func (r Report) Write(w io.Writer) {
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "present in no view: %s\n", formatMembers(r.Missing))
	}
	if r.Consistent() {
		fmt.Fprintf(w, "all %d agree\n", len(r.Compared))
		return
	}
	for _, d := range r.Disagreements {
		fmt.Fprintf(w, "n%d: present in the views of %s; absent in the views of %s\n", d.Member, formatMembers(d.Present), formatMembers(d.Absent))
	}
	for _, pair := range r.OneWay {
		fmt.Fprintf(w, "n%d considers n%d present, but n%d does not consider n%d present\n", pair[0], pair[1], pair[1], pair[0])
	}
	if len(r.Groups) > 1 {
		var sides []string
		for _, g := range r.Groups {
			sides = append(sides, formatMembers(g))
		}
		fmt.Fprintf(w, "likely cut: %s\n", strings.Join(sides, " | "))
		if len(r.Bridges) > 0 {
			fmt.Fprintf(w, "on both sides: %s\n", formatMembers(r.Bridges))
		}
		return
	}
	fmt.Fprintln(w, "no partition among the compared gateways: all reach each other, some through others")
}
