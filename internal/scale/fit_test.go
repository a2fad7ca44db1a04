package scale

import (
	"math"
	"math/rand/v2"
	"testing"
)

// noisyPoints returns points at the given sizes, each off by up to the fraction noise of its
// value.
func noisyPoints(sizes []float64, noise float64, value func(x float64) float64) (all []Point) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, x := range sizes {
		all = append(all, Point{X: x, Y: value(x) * (1 + noise*(2*random.Float64()-1))})
	}
	return all
}

func checkNear(t *testing.T, label string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*math.Abs(want) {
		t.Errorf("%s: %g, want %g", label, got, want)
	}
}

// TestFitOne checks that the form and the coefficients of a metric of one quantity are
// recovered from noisy points.
func TestFitOne(t *testing.T) {
	sizes := []float64{10, 30, 100, 300, 1000}
	for _, test := range []struct {
		name   string
		sizes  []float64
		noise  float64
		value  func(x float64) float64
		want   Form
		base   float64
		slope  float64
		other  float64
		bend   float64
		within float64
	}{
		{"constant", sizes, 0.08, func(float64) float64 { return 40 }, Constant, 40, 0, 0, 0, 0.1},
		{"zero", sizes, 0, func(float64) float64 { return 0 }, Constant, 0, 0, 0, 0, 0},
		{"linear", sizes, 0.05, func(x float64) float64 { return 500 + 3*x }, Linear, 500, 3, 0, 0, 0.1},
		{"linear without a base", sizes, 0.05, func(x float64) float64 { return 3 * x }, Linear, 0, 3, 0, 0, 0.1},
		{"bent", sizes, 0, func(x float64) float64 { return 100 + 2*min(x, 100) + 20*max(x-100, 0) }, Bent, 100, 2, 20, 100, 0.01},
		{"bent with noise", []float64{10, 30, 100, 300, 1000, 3000}, 0.03, func(x float64) float64 { return 100 + 2*min(x, 300) + 0.01*max(x-300, 0) }, Bent, 100, 2, 0.01, 300, 0.5},
		{"two points", []float64{10, 30}, 0, func(x float64) float64 { return 10 + x }, Linear, 10, 1, 0, 0, 0.01},
	} {
		fit := FitOne(noisyPoints(test.sizes, test.noise, test.value))
		if fit.Form != test.want {
			t.Errorf("%s: %v", test.name, fit)
			continue
		}
		if test.base != 0 {
			checkNear(t, test.name+": base", fit.Base, test.base, test.within)
		}
		checkNear(t, test.name+": slope", fit.Slope, test.slope, test.within)
		if test.noise == 0 {
			checkNear(t, test.name+": other", fit.SecondSlope, test.other, test.within)
		}
		if fit.Bend != test.bend {
			t.Errorf("%s: bend at %g, want %g", test.name, fit.Bend, test.bend)
		}
	}
}

// TestFitOneReportsUnclearForm checks that points of no form are not reported as linear.
func TestFitOneReportsUnclearForm(t *testing.T) {
	if f := FitOne([]Point{{X: 1, Y: 10}, {X: 3, Y: 100}, {X: 10, Y: 5}, {X: 30, Y: 200}, {X: 100, Y: 1}}); f.Form != Unclear {
		t.Errorf("%v", f)
	}
}

// TestFitOneRejectsBendWithOppositeSlopes checks that a fall followed by a rise is not
// reported as a bend.
func TestFitOneRejectsBendWithOppositeSlopes(t *testing.T) {
	if f := FitOne([]Point{{X: 300, Y: 17}, {X: 1000, Y: 12}, {X: 3000, Y: 8}, {X: 10000, Y: 14}}); f.Form != Unclear {
		t.Errorf("%v", f)
	}
}

// TestFitTwo checks that the form of a metric of two quantities is recovered from noisy
// points.
func TestFitTwo(t *testing.T) {
	for _, test := range []struct {
		value func(x, z float64) float64
		want  Form
	}{
		{func(x, z float64) float64 { return 7 }, Constant},
		{func(x, z float64) float64 { return 10 + 3*x }, Linear},
		{func(x, z float64) float64 { return 10 + 3*z }, Sum},
		{func(x, z float64) float64 { return 200 + 0.5*x*z }, Product},
		{func(x, z float64) float64 { return 20 + 5*x + 90*z }, Sum},
	} {
		var points []Point
		random := rand.New(rand.NewPCG(3, 4))
		for _, x := range []float64{10, 30, 100, 300} {
			for _, z := range []float64{1, 3, 10} {
				points = append(points, Point{x, z, test.value(x, z) * (1 + 0.02*(2*random.Float64()-1))})
			}
		}
		fit := FitTwo(points)
		if fit.Form != test.want {
			t.Errorf("want %s: %v", test.want, fit)
		}
		checkNear(t, string(test.want), fit.At(100, 3), test.value(100, 3), 0.05)
		if test.want == Sum && test.value(0, 0) == 10 && fit.Slope != 0 {
			t.Errorf("a metric of the second quantity alone has a slope in the first: %v", fit)
		}
	}
}
