package scale

import (
	"fmt"
	"math"
	"slices"
)

// Point is a measurement Y at size X of a quantity and, if a second quantity varies, at size Z
// of it.
type Point struct{ X, Z, Y float64 }

// Form is the shape of a metric's dependence on one or two quantities.
type Form string

// Values of Form.
const (
	Constant Form = "constant"
	Linear   Form = "linear"
	Product  Form = "product" // linear in X·Z
	Sum      Form = "sum"     // linear in X and in Z
	Bent     Form = "bent"    // piecewise linear in X with two slopes
	Unclear  Form = "unclear" // no form fits
)

// Fit is a form with its coefficients: Y = Base + Slope·X, or Base + Slope·X·Z, or Base +
// Slope·X + SecondSlope·Z. For Bent, SecondSlope is the slope in X above Bend.
type Fit struct {
	Form        Form    `json:"form"`
	Base        float64 `json:"base"`
	Slope       float64 `json:"slope"`
	SecondSlope float64 `json:"other,omitempty"`
	Bend        float64 `json:"bend,omitempty"` // X at which the slope changes
	Residual    float64 `json:"residual"`       // root mean square, relative to each point's Y
	MaxResidual float64 `json:"worst"`          // relative
}

// Tolerances of a fit.
const (
	fitTolerance          = 0.15 // maximum relative root mean square residual
	residualFloorFraction = 0.02 // of the largest Y: minimum that residuals are relative to
	minImprovement        = 2.0  // factor by which a form with more coefficients must reduce the residual
	minBendPoints         = 4    // points
	constantRange         = 0.15 // maximum relative range of Y that counts as constant
)

// At returns the fitted value at x and z.
func (f Fit) At(x, z float64) float64 {
	switch f.Form {
	case Constant:
		return f.Base
	case Product:
		return f.Base + f.Slope*x*z
	case Sum:
		return f.Base + f.Slope*x + f.SecondSlope*z
	case Bent:
		return f.Base + f.Slope*min(x, f.Bend) + f.SecondSlope*max(x-f.Bend, 0)
	}
	return f.Base + f.Slope*x
}

// String returns the form, its coefficients and its residuals in words.
func (f Fit) String() string {
	residual := fmt.Sprintf("residual %.1f%%, worst %.1f%%", 100*f.Residual, 100*f.MaxResidual)
	switch f.Form {
	case Constant:
		return fmt.Sprintf("constant: %.4g; %s", f.Base, residual)
	case Linear, Unclear:
		return fmt.Sprintf("%s: %.4g + %.4g x; %s", f.Form, f.Base, f.Slope, residual)
	case Product:
		return fmt.Sprintf("product: %.4g + %.4g x z; %s", f.Base, f.Slope, residual)
	case Sum:
		return fmt.Sprintf("sum: %.4g + %.4g x + %.4g z; %s", f.Base, f.Slope, f.SecondSlope, residual)
	}
	return fmt.Sprintf("bent at %.4g: %.4g + %.4g x up to it, then %.4g x; %s", f.Bend, f.Base, f.Slope, f.SecondSlope, residual)
}

// FitOne fits a metric of one quantity. It returns the first of constant, linear and bent that
// is within the tolerance and not much worse than the next form, or Unclear.
func FitOne(points []Point) Fit {
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return compare(a.X, b.X) })
	constant := solve(points, Constant, 0, func(Point) []float64 { return []float64{1} })
	linear := solve(points, Linear, 0, func(p Point) []float64 { return []float64{1, p.X} })
	if spread(points) <= constantRange || constant.Residual <= fitTolerance && constant.Residual <= minImprovement*linear.Residual {
		return constant
	}
	if linear.Residual <= fitTolerance {
		return linear
	}
	if bent, ok := bestBend(points); ok && bent.Residual <= fitTolerance && bent.Residual < linear.Residual/minImprovement {
		return bent
	}
	linear.Form = Unclear
	return linear
}

// bestBend fits two slopes that meet at one of the points and have the same sign.
func bestBend(points []Point) (best Fit, ok bool) {
	if len(points) < minBendPoints {
		return best, false
	}
	for _, bend := range points[1 : len(points)-1] {
		bent := solve(points, Bent, bend.X, func(p Point) []float64 { return []float64{1, min(p.X, bend.X), max(p.X-bend.X, 0)} })
		if bent.Slope*bent.SecondSlope >= 0 && (!ok || bent.Residual < best.Residual) {
			best, ok = bent, true
		}
	}
	return best, ok
}

// FitTwo fits a metric of two quantities.
func FitTwo(points []Point) Fit {
	constant := solve(points, Constant, 0, func(Point) []float64 { return []float64{1} })
	if spread(points) <= constantRange {
		return constant
	}
	linear := solve(points, Linear, 0, func(p Point) []float64 { return []float64{1, p.X} })
	linearInZ := solve(points, Sum, 0, func(p Point) []float64 { return []float64{1, 0, p.Z} })
	product := solve(points, Product, 0, func(p Point) []float64 { return []float64{1, p.X * p.Z} })
	sum := solve(points, Sum, 0, func(p Point) []float64 { return []float64{1, p.X, p.Z} })
	best := constant
	for _, candidate := range []Fit{linear, linearInZ, product} { // forms with two coefficients
		if candidate.Residual < constant.Residual/minImprovement && candidate.Residual < best.Residual {
			best = candidate
		}
	}
	if sum.Residual < best.Residual/minImprovement {
		best = sum
	}
	if best.Residual > fitTolerance {
		best.Form = Unclear
	}
	return best
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// spread returns the range of Y, relative to its mean.
func spread(points []Point) float64 {
	lowest, highest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, p := range points {
		lowest, highest, sum = min(lowest, p.Y), max(highest, p.Y), sum+p.Y
	}
	if highest == lowest {
		return 0
	}
	return (highest - lowest) / math.Abs(sum/float64(len(points)))
}

// solve fits the coefficients of a form by least squares. Residuals are relative to each
// point's Y, so that small sizes count as much as large ones.
func solve(points []Point, form Form, bend float64, terms func(Point) []float64) Fit {
	maxAbs := 0.0
	for _, p := range points {
		maxAbs = max(maxAbs, math.Abs(p.Y))
	}
	weight := func(p Point) float64 {
		return 1 / max(math.Abs(p.Y), residualFloorFraction*maxAbs, math.SmallestNonzeroFloat64*1e16)
	}
	unknowns := len(terms(Point{}))
	matrix := make([][]float64, unknowns) // normal equations, augmented with the right-hand side
	for row := range matrix {
		matrix[row] = make([]float64, unknowns+1)
	}
	for _, point := range points {
		termValues, squaredWeight := terms(point), weight(point)*weight(point)
		for row := range unknowns {
			for column := range unknowns {
				matrix[row][column] += squaredWeight * termValues[row] * termValues[column]
			}
			matrix[row][unknowns] += squaredWeight * termValues[row] * point.Y
		}
	}
	coefficients := eliminate(matrix)
	fit := Fit{Form: form, Base: coefficients[0], Bend: bend}
	if len(coefficients) > 1 {
		fit.Slope = coefficients[1]
	}
	if len(coefficients) > 2 {
		fit.SecondSlope = coefficients[2]
	}
	squares := 0.0
	for _, p := range points {
		residual := math.Abs(p.Y-fit.At(p.X, p.Z)) * weight(p)
		squares += residual * residual
		fit.MaxResidual = max(fit.MaxResidual, residual)
	}
	fit.Residual = math.Sqrt(squares / float64(max(len(points), 1)))
	return fit
}

// eliminate solves a system of linear equations by Gaussian elimination. Undetermined unknowns
// are 0.
func eliminate(matrix [][]float64) []float64 {
	size := len(matrix)
	for column := range size {
		pivot := column
		for row := column + 1; row < size; row++ {
			if math.Abs(matrix[row][column]) > math.Abs(matrix[pivot][column]) {
				pivot = row
			}
		}
		matrix[column], matrix[pivot] = matrix[pivot], matrix[column]
		if math.Abs(matrix[column][column]) < 1e-300 {
			continue
		}
		for row := range size {
			if row == column {
				continue
			}
			factor := matrix[row][column] / matrix[column][column]
			for k := column; k <= size; k++ {
				matrix[row][k] -= factor * matrix[column][k]
			}
		}
	}
	solution := make([]float64, size)
	for row := range size {
		if math.Abs(matrix[row][row]) >= 1e-300 {
			solution[row] = matrix[row][size] / matrix[row][row]
		}
	}
	return solution
}
