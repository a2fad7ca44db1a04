package views

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// view returns the view of a gateway that considers the others present.
func view(self, members int, others ...int) View {
	v := View{Self: self, Present: make([]bool, members)}
	for _, n := range others {
		v.Present[n] = true
	}
	return v
}

// The text of a report names missing members, disagreements, partitions and bridges.
func TestCompareReportsPartitionsAndBridges(t *testing.T) {
	for name, c := range map[string]struct {
		views []View
		lines []string
	}{
		"all present":                    {[]View{view(0, 3, 0, 1, 2), view(1, 3, 0, 1, 2), view(2, 3, 0, 1, 2)}, []string{"all 3 agree"}},
		"one died":                       {[]View{view(0, 3, 0, 1), view(1, 3, 0, 1)}, []string{"present in no view: n2", "all 2 agree"}},
		"one view is older":              {[]View{view(0, 3, 0, 1, 2), view(1, 3, 0, 1)}, []string{"n2: present in the views of n0; absent in the views of n1", "no partition"}},
		"partitioned in two":             {[]View{view(0, 4, 0, 1), view(1, 4, 0, 1), view(2, 4, 2, 3), view(3, 4, 2, 3)}, []string{"n0: present in the views of n0 n1; absent in the views of n2 n3", "likely cut: n0 n1 | n2 n3"}},
		"partitioned, one view a side":   {[]View{view(0, 4, 0, 1), view(3, 4, 2, 3)}, []string{"likely cut: n0 | n3"}},
		"considered present by no other": {[]View{view(0, 3, 0, 1), view(1, 3, 0, 1), view(2, 3, 0, 1, 2)}, []string{"n2 considers n0 present, but n0 does not consider n2 present", "likely cut: n0 n1 | n2", "on both sides: n0 n1"}},
		"with the view of a bridge":      {[]View{view(0, 3, 0, 2), view(1, 3, 1, 2), view(2, 3, 0, 1, 2)}, []string{"n0: present in the views of n0 n2; absent in the views of n1", "no partition among the compared gateways"}},
		"without the view of a bridge":   {[]View{view(0, 3, 0, 2), view(1, 3, 1, 2)}, []string{"likely cut: n0 | n1", "on both sides: n2"}},
	} {
		var out strings.Builder
		Compare(c.views).Write(&out)
		for _, line := range c.lines {
			if !strings.Contains("\n"+out.String(), "\n"+line) {
				t.Errorf("%s: %q is not in\n%s", name, line, &out)
			}
		}
		if strings.Contains(out.String(), "likely cut") != strings.Contains(strings.Join(c.lines, "\n"), "likely cut") {
			t.Errorf("%s: a likely cut is missing or not expected in\n%s", name, &out)
		}
	}
}

// For any partition, the groups are the compared gateways of each side, whatever the order of the
// views.
func TestGroupsAreSidesOfPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 30).Draw(t, "members")
		side := rapid.SliceOfN(rapid.IntRange(0, 3), members, members).Draw(t, "sides")
		dead := rapid.SliceOfN(rapid.Bool(), members, members).Draw(t, "dead")
		asked := rapid.SliceOfN(rapid.Bool(), members, members).Draw(t, "asked")
		var views []View
		want := map[int][]int{}
		var missing []int
		for gateway := range members {
			if dead[gateway] || !asked[gateway] {
				continue
			}
			v := View{Self: gateway, Present: make([]bool, members)}
			for other := range members {
				v.Present[other] = !dead[other] && side[gateway] == side[other]
			}
			views = append(views, v)
			want[side[gateway]] = append(want[side[gateway]], gateway)
		}
		if len(views) == 0 {
			return
		}
		for n := range members {
			if !slices.ContainsFunc(views, func(v View) bool { return v.holdsPresent(n) }) {
				missing = append(missing, n)
			}
		}
		shuffled := rapid.Permutation(views).Draw(t, "order")
		report := Compare(shuffled)
		if len(report.Groups) != len(want) || len(report.OneWay) > 0 || len(report.Bridges) > 0 || !slices.Equal(report.Missing, missing) || report.Consistent() != (len(want) == 1) {
			t.Fatalf("%+v; want the groups %v and missing %v", report, want, missing)
		}
		for i, g := range report.Groups {
			if !slices.Equal(g, want[side[g[0]]]) || i > 0 && len(g) > len(report.Groups[i-1]) {
				t.Fatalf("group %v; want the groups %v, largest first", g, want)
			}
		}
		if again := Compare(views); !reflect.DeepEqual(again, report) {
			t.Fatalf("reports of the same views in two orders: %+v and %+v", report, again)
		}
	})
}
