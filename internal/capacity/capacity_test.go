package capacity_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlintray/internal/capacity"
)

// tables are those of the page that the arithmetic gives.
func tables(slopes capacity.Slopes) map[string]string {
	target, assumptions := capacity.DefaultTarget(), capacity.DefaultAssumptions()
	model := capacity.Model{Target: target, Assumptions: assumptions, Slopes: slopes}
	figures := model.Figures()
	return map[string]string{
		capacity.AssumptionTable: assumptions.Table(target, slopes),
		capacity.FigureTable:     capacity.Table(figures),
		capacity.RankingTable:    capacity.Ranking(figures),
		capacity.MissingTable:    capacity.Table(model.Missing()),
		capacity.ScopedTable:     capacity.Table(model.Scoped()),
		capacity.ScopedRanking:   capacity.Ranking(model.Scoped()),
	}
}

// TestCapacityPage prints the tables that follow from the page's slopes and holds the page
// to them.
func TestCapacityPage(t *testing.T) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if update {
		if err := page.Refit(); err != nil {
			t.Fatal(err)
		}
	}
	slopes, err := page.Slopes()
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range tables(slopes) {
		t.Logf("%s:\n%s", name, want)
		if update {
			if err := page.Replace(name, want); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if have, err := page.Table(name); err != nil || have != want {
			t.Errorf("table %s is not what the slopes come to (CAPACITY_UPDATE=1 writes it): %v\n%s", name, err, firstDifference(have, want))
		}
	}
	if update {
		if err := page.Write(); err != nil {
			t.Fatal(err)
		}
	}
}

func firstDifference(have, want string) string {
	a, b := strings.Split(have, "\n"), strings.Split(want, "\n")
	for n := range min(len(a), len(b)) {
		if a[n] != b[n] {
			return fmt.Sprintf("have %s\nwant %s", a[n], b[n])
		}
	}
	return fmt.Sprintf("%d lines, not %d", len(a), len(b))
}

// TestPlantedSlope plants a slope of twice the size, and one of half, in each row of the
// page: the comparison has to find all of them.
func TestPlantedSlope(t *testing.T) {
	page, err := capacity.ReadPage(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := page.Slopes()
	if err != nil {
		t.Fatal(err)
	}
	compared := 0
	for name, row := range slopes {
		if row.Within == 0 {
			continue
		}
		compared++
		if err := slopes.Compare(row.Measured); err != nil {
			t.Errorf("the page does not agree with itself: %v", err)
		}
		for _, factor := range []float64{2, 0.5} {
			planted := row.Measured
			planted.Points = nil
			for _, p := range row.Points {
				planted.Points = append(planted.Points, capacity.Point{Size: p.Size, Value: factor * p.Value})
			}
			if slopes.Compare(planted) == nil {
				t.Errorf("%s: %g times the page's figures are not found", name, factor)
			}
		}
	}
	if compared < 10 {
		t.Errorf("the page has %d slopes to compare", compared)
	}
}

func points(f func(x float64) float64) (all []capacity.Point) {
	for _, size := range []int{100, 300, 900, 2_700} {
		all = append(all, capacity.Point{Size: size, Value: f(float64(size))})
	}
	return all
}

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name        string
		f           func(x float64) float64
		form        capacity.Form
		base, slope float64
		bend        int
	}{
		{"constant", func(x float64) float64 { return 40 }, capacity.Constant, 40, 0, 0},
		{"nearly constant", func(x float64) float64 { return 40 + x/2_700 }, capacity.Constant, 40, 0, 0},
		{"line", func(x float64) float64 { return 7 + 3*x }, capacity.Linear, 7, 3, 0},
		{"line that bends", func(x float64) float64 { return 3*x + 3*max(x-900, 0) }, capacity.Linear, 0, 3, 900},
		{"square", func(x float64) float64 { return 0.5 * x * x }, capacity.Quadratic, 0.5, 2, 0},
		{"root", func(x float64) float64 { return 2 * math.Sqrt(x) }, capacity.Power, 2, 0.5, 0},
	} {
		fit := capacity.NewFit(points(c.f))
		if fit.Form != c.form || fit.BendAt != c.bend {
			t.Errorf("%s: %+v", c.name, fit)
		}
		if c.bend == 0 && (math.Abs(fit.Base-c.base) > 0.05*c.base+1e-6 || math.Abs(fit.Slope-c.slope) > 0.01*c.slope+1e-6 || fit.Residual > 0.05) {
			t.Errorf("%s: %+v", c.name, fit)
		}
	}
}

// TestPageRefuses reads pages that are not what they have to be.
func TestPageRefuses(t *testing.T) {
	m := capacity.Measured{Name: "a_b", Unit: "B by backends", Within: 1.5, Command: "go test ./x", Points: points(func(x float64) float64 { return 7 + 3*x })}
	write := func(row string) *capacity.Page {
		path := filepath.Join(t.TempDir(), "page.md")
		text := "<!-- slopes -->\n" + row + "\n<!-- end of slopes -->\n<!-- times -->\n<!-- end of times -->\n"
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		page, err := capacity.ReadPage(path)
		if err != nil {
			t.Fatal(err)
		}
		return page
	}
	good := m.Row()
	slopes, err := write(good).Slopes()
	if err != nil {
		t.Fatal(err)
	}
	if err := slopes.Compare(m); err != nil {
		t.Error(err)
	}
	other := m
	other.Name = "c_d"
	if slopes.Compare(other) == nil {
		t.Error("a slope that the page has not is compared")
	}
	for _, c := range []struct{ from, to string }{
		{"307", "907"},           // a fit of other values
		{"100: 307;", "100 307"}, // no pair
		{"| 1.5 |", "| 0.5 |"},
		{"| 1.5 |", "| x |"},
		{"| `go test", "| | `go test"},
		{good, good + "\n" + good},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("%q is not in %q", c.from, good)
		}
		if _, err := write(strings.Replace(good, c.from, c.to, 1)).Slopes(); err == nil {
			t.Errorf("%q in place of %q is taken", c.to, c.from)
		}
	}
	if _, err := (&capacity.Page{}).Slopes(); err == nil {
		t.Error("a page without tables is taken")
	}
}

func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1: "1", 0.01234: "0.0123", 12.34: "12.3", 123.4: "123", 1234.5: "1,234", 31_000_000: "31,000,000", 99.96: "100", 1e-5: "0.00001"} {
		if got := capacity.Number(v); got != want {
			t.Errorf("%g: %s, not %s", v, got, want)
		}
	}
}
