package views

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// view is that of a gateway which holds those named for present.
func view(self, members int, present ...int) View {
	v := View{Self: self, Present: make([]bool, members)}
	for _, n := range present {
		v.Present[n] = true
	}
	return v
}

func TestCompare(t *testing.T) {
	for name, c := range map[string]struct {
		views []View
		lines []string
	}{
		"all there":           {[]View{view(0, 3, 0, 1, 2), view(1, 3, 0, 1, 2), view(2, 3, 0, 1, 2)}, []string{"all 3 agree"}},
		"one died":            {[]View{view(0, 3, 0, 1), view(1, 3, 0, 1)}, []string{"present to none: n2", "all 2 agree"}},
		"one view is behind":  {[]View{view(0, 3, 0, 1, 2), view(1, 3, 0, 1)}, []string{"n2: present to n0; absent to n1", "no cut"}},
		"cut in two":          {[]View{view(0, 4, 0, 1), view(1, 4, 0, 1), view(2, 4, 2, 3), view(3, 4, 2, 3)}, []string{"n0: present to n0 n1; absent to n2 n3", "likely cut: n0 n1 | n2 n3"}},
		"cut, and one asked":  {[]View{view(0, 4, 0, 1), view(3, 4, 2, 3)}, []string{"likely cut: n0 | n3"}},
		"heard by none":       {[]View{view(0, 3, 0, 1), view(1, 3, 0, 1), view(2, 3, 0, 1, 2)}, []string{"n2 holds n0 for present, but n0 does not hold n2", "likely cut: n0 n1 | n2", "on both sides: n0 n1"}},
		"a bridge is asked":   {[]View{view(0, 3, 0, 2), view(1, 3, 1, 2), view(2, 3, 0, 1, 2)}, []string{"n0: present to n0 n2; absent to n1", "no cut among those asked"}},
		"a bridge, not asked": {[]View{view(0, 3, 0, 2), view(1, 3, 1, 2)}, []string{"likely cut: n0 | n1", "on both sides: n2"}},
	} {
		var out strings.Builder
		Compare(c.views).Write(&out)
		for _, line := range c.lines {
			if !strings.Contains("\n"+out.String(), "\n"+line) {
				t.Errorf("%s: %q is not in\n%s", name, line, &out)
			}
		}
		if strings.Contains(out.String(), "likely cut") != strings.Contains(strings.Join(c.lines, "\n"), "likely cut") {
			t.Errorf("%s:\n%s", name, &out)
		}
	}
}

// Whatever the cut, the groups are its sides as far as they were asked, in any order
// of asking, and whoever two sides hold stands on both.
func TestCutsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 30).Draw(t, "members")
		side := rapid.SliceOfN(rapid.IntRange(0, 3), members, members).Draw(t, "sides")
		dead := rapid.SliceOfN(rapid.Bool(), members, members).Draw(t, "dead")
		asked := rapid.SliceOfN(rapid.Bool(), members, members).Draw(t, "asked")
		var all []View
		want := map[int][]int{}
		var gone []int
		for a := range members {
			if dead[a] || !asked[a] {
				continue
			}
			v := View{Self: a, Present: make([]bool, members)}
			for b := range members {
				v.Present[b] = !dead[b] && side[a] == side[b]
			}
			all = append(all, v)
			want[side[a]] = append(want[side[a]], a)
		}
		if len(all) == 0 {
			return
		}
		for n := range members {
			if !slices.ContainsFunc(all, func(v View) bool { return v.holdsPresent(n) }) {
				gone = append(gone, n)
			}
		}
		order := rapid.Permutation(all).Draw(t, "order")
		r := Compare(order)
		if len(r.Groups) != len(want) || len(r.OneWay) > 0 || len(r.Bridges) > 0 || !slices.Equal(r.Missing, gone) || r.Consistent() != (len(want) == 1) {
			t.Fatalf("%+v; want %v, gone %v", r, want, gone)
		}
		for i, g := range r.Groups {
			if !slices.Equal(g, want[side[g[0]]]) || i > 0 && len(g) > len(r.Groups[i-1]) {
				t.Fatalf("%v of %v", g, want)
			}
		}
		if again := Compare(all); !reflect.DeepEqual(again, r) {
			t.Fatalf("in another order: %+v and %+v", r, again)
		}
	})
}
