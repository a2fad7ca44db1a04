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

// tables returns the tables of the page that the model computes from slopes.
func tables(slopes capacity.Slopes) map[string]string {
	target, assumptions := capacity.DefaultTarget(), capacity.DefaultAssumptions()
	model := capacity.Model{Target: target, Assumptions: assumptions, Slopes: slopes}
	estimates := model.Estimates()
	return map[string]string{
		capacity.AssumptionTable: assumptions.Table(target, slopes),
		capacity.EstimateTable:   capacity.Table(estimates),
		capacity.RankingTable:    capacity.Ranking(estimates),
		capacity.MissingTable:    capacity.Table(model.MissingEstimates()),
		capacity.ScopedTable:     capacity.Table(model.ScopedEstimates()),
		capacity.ScopedRanking:   capacity.Ranking(model.ScopedEstimates()),
	}
}

// The tables of the page are those that the model computes from its slopes. CAPACITY_UPDATE writes
// them.
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
		if got, err := page.Table(name); err != nil || got != want {
			t.Errorf("table %s differs from the model (CAPACITY_UPDATE=1 writes it): error %v\n%s", name, err, firstDifference(got, want))
		}
	}
	if update {
		if err := page.Write(); err != nil {
			t.Fatal(err)
		}
	}
}

// firstDifference describes the first line in which two texts differ.
func firstDifference(got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for n := range min(len(gotLines), len(wantLines)) {
		if gotLines[n] != wantLines[n] {
			return fmt.Sprintf("got  %s\nwant %s", gotLines[n], wantLines[n])
		}
	}
	return fmt.Sprintf("%d lines, want %d", len(gotLines), len(wantLines))
}

// The comparison with the page finds values of half and of twice the size, for each row that has a
// tolerance.
func TestCompareFindsChangedSlopes(t *testing.T) {
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
		if row.Tolerance == 0 {
			continue
		}
		compared++
		if err := slopes.Compare(row.Measurement); err != nil {
			t.Errorf("the page compared with itself: %v", err)
		}
		for _, factor := range []float64{2, 0.5} {
			planted := row.Measurement
			planted.Points = nil
			for _, point := range row.Points {
				planted.Points = append(planted.Points, capacity.Point{Size: point.Size, Value: factor * point.Value})
			}
			if slopes.Compare(planted) == nil {
				t.Errorf("slope %s: values of %g times those of the page pass the comparison", name, factor)
			}
		}
	}
	if compared < 10 {
		t.Errorf("the page has %d slopes with a tolerance, want at least 10", compared)
	}
}

// points returns the values of a function at four sizes.
func points(f func(x float64) float64) (values []capacity.Point) {
	for _, size := range []int{100, 300, 900, 2_700} {
		values = append(values, capacity.Point{Size: size, Value: f(float64(size))})
	}
	return values
}

// NewFit finds the form, the parameters and the bend of exact curves.
func TestNewFit(t *testing.T) {
	for _, test := range []struct {
		name        string
		curve       func(x float64) float64
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
		fit := capacity.NewFit(points(test.curve))
		if fit.Form != test.form || fit.BendAt != test.bend {
			t.Errorf("%s: got %+v, want %s with base %g, slope %g and bend at %d", test.name, fit, test.form, test.base, test.slope, test.bend)
		}
		if test.bend == 0 && (math.Abs(fit.Base-test.base) > 0.05*test.base+1e-6 || math.Abs(fit.Slope-test.slope) > 0.01*test.slope+1e-6 || fit.Residual > 0.05) {
			t.Errorf("%s: got %+v, want %s with base %g, slope %g and bend at %d", test.name, fit, test.form, test.base, test.slope, test.bend)
		}
	}
}

// Slopes rejects malformed, duplicate and inconsistent rows, and Compare an unknown slope.
func TestPageRejectsInvalidRows(t *testing.T) {
	measurement := capacity.Measurement{Name: "a_b", Unit: "B by backends", Tolerance: 1.5, Command: "go test ./x", Points: points(func(x float64) float64 { return 7 + 3*x })}
	newPage := func(row string) *capacity.Page {
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
	row := measurement.Row()
	slopes, err := newPage(row).Slopes()
	if err != nil {
		t.Fatal(err)
	}
	if err := slopes.Compare(measurement); err != nil {
		t.Errorf("a measurement compared with its own row: %v", err)
	}
	unknown := measurement
	unknown.Name = "c_d"
	if slopes.Compare(unknown) == nil {
		t.Error("a slope that is not on the page passes the comparison")
	}
	for _, test := range []struct{ from, to string }{
		{"307", "907"},           // the fit does not match
		{"100: 307;", "100 307"}, // no size
		{"| 1.5 |", "| 0.5 |"},
		{"| 1.5 |", "| x |"},
		{"| `go test", "| | `go test"},
		{row, row + "\n" + row},
	} {
		if !strings.Contains(row, test.from) {
			t.Fatalf("%q is not in row %q", test.from, row)
		}
		if _, err := newPage(strings.Replace(row, test.from, test.to, 1)).Slopes(); err == nil {
			t.Errorf("a row with %q in place of %q is accepted", test.to, test.from)
		}
	}
	if _, err := (&capacity.Page{}).Slopes(); err == nil {
		t.Error("a page without tables is accepted")
	}
}

// Number keeps three significant digits, and all digits before the point.
func TestNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 1: "1", 0.01234: "0.0123", 12.34: "12.3", 123.4: "123", 1234.5: "1,234", 31_000_000: "31,000,000", 99.96: "100", 1e-5: "0.00001"} {
		if got := capacity.Number(value); got != want {
			t.Errorf("Number(%g) = %s, want %s", value, got, want)
		}
	}
}
