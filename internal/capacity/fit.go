package capacity

import (
	"math"
	"strings"

	"github.com/pkg/errors"
)

// minPoints is the minimum number of sizes for a fit.
const minPoints = 3

// Line is a linear model of a metric over one size: Intercept + Slope * size.
type Line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest distance of a data point from the line, as a fraction of
	// the largest value in the data.
	Residual float64
	// Points is the number of sizes.
	Points int
}

// At returns the value of the line at the size, or 0 if it is negative.
func (l Line) At(size float64) float64 { return max(0, l.Intercept+l.Slope*size) }

// Fit fits a line to a metric of the benchmark over the parameter, by least squares.
// Results with another prefix or without the parameter are ignored.
func Fit(results []Result, prefix, parameter, metric string) (Line, error) {
	var xs, ys []float64
	for _, r := range results {
		x, ok := r.Size(parameter)
		y, measured := r.Metrics[metric]
		if ok && measured && strings.HasPrefix(r.Name, prefix) {
			xs, ys = append(xs, x), append(ys, y)
		}
	}
	if len(xs) < minPoints {
		return Line{}, errors.Errorf("%s has %d results with %s over %s, at least %d are needed", prefix, len(xs), metric, parameter, minPoints)
	}
	return fit(xs, ys), nil
}

func fit(xs, ys []float64) Line {
	n := float64(len(xs))
	meanX, meanY := sum(xs)/n, sum(ys)/n
	var covariance, variance float64
	for i := range xs {
		covariance += (xs[i] - meanX) * (ys[i] - meanY)
		variance += (xs[i] - meanX) * (xs[i] - meanX)
	}
	l := Line{Intercept: meanY, Points: len(xs)}
	if variance > 0 {
		l.Slope = covariance / variance
		l.Intercept = meanY - l.Slope*meanX
	}
	largest := 0.0
	for i := range xs {
		l.Residual = max(l.Residual, math.Abs(ys[i]-l.Intercept-l.Slope*xs[i]))
		largest = max(largest, math.Abs(ys[i]))
	}
	if largest > 0 {
		l.Residual /= largest
	}
	return l
}

func sum(v []float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}
