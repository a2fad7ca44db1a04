package capacity

import (
	"fmt"
	"math"
)

// Point is the value of a quantity at one size.
type Point struct {
	Size  int
	Value float64
}

// Form is how a quantity grows with its size.
type Form string

// The forms. A product is told by rows of a quantity that is linear in each of two sizes.
const (
	Constant  Form = "constant"
	Linear    Form = "linear"
	Quadratic Form = "quadratic"
	Power     Form = "power"
)

const (
	constantWithin = 0.10 // relative deviation from the mean, up to which a quantity is constant
	linearWithin   = 0.35 // relative deviation from the line, up to which it may be linear
	linearSurely   = 0.10 // and up to which it is, even if a power lies nearer
	linearFactor   = 2.0  // of the deviation from a power, up to which the line is taken beyond that
	exponentWithin = 0.25 // distance of the exponent from 2, up to which it is quadratic
	exactly        = 1e-9 // of the smallest value, below which a base is the arithmetic's
	bendAbove      = 0.50 // relative change of the local slope that counts as a bend
)

// Fit is a form fitted to points.
type Fit struct {
	Form     Form
	Base     float64 // the value at size 0; of a constant, the value
	Slope    float64 // for each unit of size; of a power, the exponent
	Residual float64 // the largest relative deviation of a point from the fit
	BendAt   int     // the first size beyond which the local slope is another; 0: it does not bend
}

// NewFit fits the simplest form that stays near the points: constant, then a line, then a
// power of the size. Deviations are relative, so that small sizes count as much as large ones.
func NewFit(points []Point) Fit {
	if constant := fitConstant(points); constant.Residual <= constantWithin {
		return constant
	}
	line, power := fitLine(points), fitPower(points)
	near := line.Residual <= linearSurely || line.Residual <= linearWithin && line.Residual <= linearFactor*power.Residual
	if near && line.Slope > 0 {
		line.BendAt = bend(points)
		return line
	}
	return power
}

// At is the fitted value at a size.
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
	for _, p := range points {
		sum += p.Value
	}
	f := Fit{Form: Constant, Base: sum / float64(len(points))}
	f.Residual = f.worst(points)
	return f
}

// fitLine is least squares on relative deviations.
func fitLine(points []Point) Fit {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		x, y := float64(p.Size), p.Value
		weight := 1 / (y * y)
		w, wx, wy = w+weight, wx+weight*x, wy+weight*y
		wxx, wxy = wxx+weight*x*x, wxy+weight*x*y
	}
	slope := (w*wxy - wx*wy) / (w*wxx - wx*wx)
	f := Fit{Form: Linear, Slope: slope, Base: (wy - slope*wx) / w}
	if smallest := points[0].Value; math.Abs(f.Base) < exactly*math.Abs(smallest) {
		f.Base = 0
	}
	f.Residual = f.worst(points)
	return f
}

// fitPower is least squares on logarithms.
func fitPower(points []Point) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := math.Log(float64(p.Size)), math.Log(p.Value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	exponent := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Form: Power, Slope: exponent, Base: math.Exp((sy - exponent*sx) / n)}
	if math.Abs(exponent-2) < exponentWithin {
		f.Form = Quadratic
	}
	f.Residual = f.worst(points)
	return f
}

func (f Fit) worst(points []Point) (most float64) {
	for _, p := range points {
		most = max(most, math.Abs(f.At(float64(p.Size))-p.Value)/math.Abs(p.Value))
	}
	return most
}

// bend returns the size beyond which the slope between two points is another than before
// it and stays so to the last point; 0: there is none.
func bend(points []Point) int {
	local := func(n int) float64 {
		return (points[n+1].Value - points[n].Value) / float64(points[n+1].Size-points[n].Size)
	}
	for n := 1; n+1 < len(points); n++ {
		before, after := local(n-1), local(n)
		if before > 0 && math.Abs(after/before-1) > bendAbove {
			return points[n].Size
		}
	}
	return 0
}

// String tells the fit as the page does.
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
