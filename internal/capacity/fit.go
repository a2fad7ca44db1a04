package capacity

import (
	"fmt"
	"math"
)

// Point is a measured value of a quantity at one size.
type Point struct {
	Size  int
	Value float64
}

// Form is how a quantity grows with its size.
type Form string

// Forms of growth.
const (
	Constant  Form = "constant"
	Linear    Form = "linear"
	Quadratic Form = "quadratic"
	Power     Form = "power"
)

const (
	maxConstantResidual  = 0.10 // up to which a quantity is constant
	maxLinearResidual    = 0.35 // up to which a quantity may be linear
	sureLinearResidual   = 0.10 // up to which a quantity is linear, even if a power fits better
	maxLinearPowerRatio  = 2.0  // of the residuals of line and power, beyond sureLinearResidual
	maxQuadraticDistance = 0.25 // of the exponent from 2, up to which a power is quadratic
	minRelativeBase      = 1e-9 // of the smallest value, below which a base is a rounding error
	minBend              = 0.50 // relative change of the local slope that counts as a bend
)

// Fit is a form fitted to points.
type Fit struct {
	Form     Form
	Base     float64 // the value at size 0; of a constant, the value
	Slope    float64 // per unit of size; of a power, the exponent
	Residual float64 // the largest relative deviation of a point from the fit
	BendAt   int     // the first size after which the local slope differs; 0: none
}

// NewFit fits the simplest form that is close to the points: a constant, a line or a power of the
// size. Deviations are relative, so that small sizes count as much as large ones.
func NewFit(points []Point) Fit {
	if constant := fitConstant(points); constant.Residual <= maxConstantResidual {
		return constant
	}
	line, power := fitLine(points), fitPower(points)
	isLinear := line.Residual <= sureLinearResidual || line.Residual <= maxLinearResidual && line.Residual <= maxLinearPowerRatio*power.Residual
	if isLinear && line.Slope > 0 {
		line.BendAt = bendSize(points)
		return line
	}
	return power
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 {
	switch f.Form {
	case Constant:
		return f.Base
	case Linear:
		return f.Base + f.Slope*size
	}
	return f.Base * math.Pow(size, f.Slope)
}

func fitConstant(points []Point) Fit {
	sum := 0.0
	for _, point := range points {
		sum += point.Value
	}
	fit := Fit{Form: Constant, Base: sum / float64(len(points))}
	fit.Residual = fit.maxDeviation(points)
	return fit
}

// fitLine fits a line by least squares of relative deviations.
func fitLine(points []Point) Fit {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		x, y := float64(p.Size), p.Value
		weight := 1 / (y * y)
		w, wx, wy = w+weight, wx+weight*x, wy+weight*y
		wxx, wxy = wxx+weight*x*x, wxy+weight*x*y
	}
	slope := (w*wxy - wx*wy) / (w*wxx - wx*wx)
	fit := Fit{Form: Linear, Slope: slope, Base: (wy - slope*wx) / w}
	if smallest := points[0].Value; math.Abs(fit.Base) < minRelativeBase*math.Abs(smallest) {
		fit.Base = 0
	}
	fit.Residual = fit.maxDeviation(points)
	return fit
}

// fitPower fits a power by least squares of logarithms.
func fitPower(points []Point) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := math.Log(float64(p.Size)), math.Log(p.Value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	exponent := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fit := Fit{Form: Power, Slope: exponent, Base: math.Exp((sy - exponent*sx) / n)}
	if math.Abs(exponent-2) < maxQuadraticDistance {
		fit.Form = Quadratic
	}
	fit.Residual = fit.maxDeviation(points)
	return fit
}

// maxDeviation returns the largest relative deviation of a point from the fit.
func (f Fit) maxDeviation(points []Point) (largest float64) {
	for _, p := range points {
		largest = max(largest, math.Abs(f.At(float64(p.Size))-p.Value)/math.Abs(p.Value))
	}
	return largest
}

// bendSize returns the first size at which the slope between adjacent points changes by more than
// minBend, or 0.
func bendSize(points []Point) int {
	localSlope := func(n int) float64 {
		return (points[n+1].Value - points[n].Value) / float64(points[n+1].Size-points[n].Size)
	}
	for n := 1; n+1 < len(points); n++ {
		previous, next := localSlope(n-1), localSlope(n)
		if previous > 0 && math.Abs(next/previous-1) > minBend {
			return points[n].Size
		}
	}
	return 0
}

// String returns the fit in the notation of the page.
func (f Fit) String() string {
	switch f.Form {
	case Constant:
		return fmt.Sprintf("constant %s", Number(f.Base))
	case Linear:
		return fmt.Sprintf("linear %s + %s n", Number(f.Base), Number(f.Slope))
	case Quadratic:
		return fmt.Sprintf("quadratic %s n^%.2f", Number(f.Base), f.Slope)
	}
	return fmt.Sprintf("power %s n^%.2f", Number(f.Base), f.Slope)
}
