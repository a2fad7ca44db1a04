// Package views compares what several gateways hold of who is present, and finds
// where the fleet is likely to be cut. It is pure.
package views

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// View is whom one gateway holds for present, by number; itself always.
type View struct {
	Self    int
	Present []bool
}

func (v View) holdsPresent(n int) bool { return n == v.Self || n < len(v.Present) && v.Present[n] }

// Disagreement is a member on which gateways differ.
type Disagreement struct {
	Member          int
	Present, Absent []int // who hold it so
}

// Report is what views come to.
type Report struct {
	Compared      []int
	Groups        [][]int        // of those asked, who hold each other for present, some by way of others; the largest first
	Disagreements []Disagreement // of members on whom those asked differ
	OneWay        [][2]int       // the first holds the second for present, which does not hold the first
	Bridges       []int          // members that gateways of more than one group hold for present
	Missing       []int          // members that none of those asked holds for present
}

// Compare compares the views of gateways, of which each is asked once.
func Compare(all []View) Report {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b View) int { return a.Self - b.Self })
	var r Report
	members := 0
	for _, v := range all {
		r.Compared = append(r.Compared, v.Self)
		members = max(members, v.Self+1, len(v.Present))
	}
	group := make([]int, len(all)) // of each view; found by passing the least on
	for i := range all {
		group[i] = i
	}
	for changed := true; changed; {
		changed = false
		for i, a := range all {
			for j, b := range all[i+1:] {
				j += i + 1
				if a.holdsPresent(b.Self) && b.holdsPresent(a.Self) && group[i] != group[j] {
					least := min(group[i], group[j])
					group[i], group[j], changed = least, least, true
				}
			}
		}
	}
	for i, v := range all {
		if group[i] == i {
			r.Groups = append(r.Groups, nil)
			for j, other := range all {
				if group[j] == i {
					r.Groups[len(r.Groups)-1] = append(r.Groups[len(r.Groups)-1], other.Self)
				}
			}
		}
		for _, other := range all {
			if v.holdsPresent(other.Self) && !other.holdsPresent(v.Self) {
				r.OneWay = append(r.OneWay, [2]int{v.Self, other.Self})
			}
		}
	}
	slices.SortStableFunc(r.Groups, func(a, b []int) int { return len(b) - len(a) })
	for n := range members {
		d := Disagreement{Member: n}
		held := map[int]bool{} // by groups
		for i, v := range all {
			if v.holdsPresent(n) {
				d.Present = append(d.Present, v.Self)
				held[group[i]] = true
			} else {
				d.Absent = append(d.Absent, v.Self)
			}
		}
		switch {
		case len(d.Present) == 0:
			r.Missing = append(r.Missing, n)
		case len(d.Absent) > 0:
			r.Disagreements = append(r.Disagreements, d)
		}
		if len(held) > 1 {
			r.Bridges = append(r.Bridges, n)
		}
	}
	return r
}

// Consistent says whether all that were asked hold the same.
func (r Report) Consistent() bool { return len(r.Disagreements) == 0 }

func formatMembers(all []int) string {
	text := make([]string, len(all))
	for i, n := range all {
		text[i] = fmt.Sprintf("n%d", n)
	}
	return strings.Join(text, " ")
}

// Write tells people who differs on whom, and where the cut is likely to be.
func (r Report) Write(w io.Writer) {
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "present to none: %s\n", formatMembers(r.Missing))
	}
	if r.Consistent() {
		fmt.Fprintf(w, "all %d agree\n", len(r.Compared))
		return
	}
	for _, d := range r.Disagreements {
		fmt.Fprintf(w, "n%d: present to %s; absent to %s\n", d.Member, formatMembers(d.Present), formatMembers(d.Absent))
	}
	for _, pair := range r.OneWay {
		fmt.Fprintf(w, "n%d holds n%d for present, but n%d does not hold n%d\n", pair[0], pair[1], pair[1], pair[0])
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
	fmt.Fprintln(w, "no cut among those asked: each reaches each, some by way of others")
}
