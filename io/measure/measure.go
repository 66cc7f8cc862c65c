// Package measure runs the measurements whose results the documentation quotes. It
// fits a line to each series of rows and plots it.
package measure

import (
	"context"
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// Measurement is a series of values measured at several fleet sizes.
type Measurement struct {
	// Name is the name of the series, such as "plan-round".
	Name string
	// Meaning is a sentence about what is measured.
	Meaning string
	// Unit is the unit of the values.
	Unit string
	// Sizes are the measured sizes in ascending order: numbers of hosts, or what Meaning says.
	Sizes []int
	// Run measures and returns the value at one size.
	Run func(ctx context.Context, size int) (float64, error)
}

// Row is one measured value.
type Row struct {
	Name  string  `json:"name"`
	Size  int     `json:"size,omitempty"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Fit is a least-squares line through the rows of one series.
type Fit struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Base is the fitted value at size zero; Slope is the increase per unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the maximum distance of a row's value from the line, as a fraction of the largest value.
	Error float64 `json:"error"`
}

// Estimate returns the fitted value at a size.
func (f Fit) Estimate(size int) float64 { return f.Base + f.Slope*float64(size) }

// Result is the result of one run.
type Result struct {
	Rows []Row `json:"rows"`
	Fits []Fit `json:"fits"`
	// Benchmarks holds rows of Go benchmarks, which run separately.
	Benchmarks []Row `json:"benchmarks,omitempty"`
}

// Run runs the measurements one after another and writes each row to progress.
func Run(ctx context.Context, measurements []Measurement, progress io.Writer) (Result, error) {
	var result Result
	for _, m := range measurements {
		rows, err := m.rows(ctx, progress)
		if err != nil {
			return result, err
		}
		result.Rows = append(result.Rows, rows...)
		result.Fits = append(result.Fits, fitLine(m, rows))
	}
	return result, nil
}

// rows measures the series at each size.
func (m Measurement) rows(ctx context.Context, progress io.Writer) ([]Row, error) {
	var rows []Row
	for _, size := range m.Sizes {
		value, err := m.Run(ctx, size)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s at size %d", m.Name, size)
		}
		rows = append(rows, Row{Name: m.Name, Size: size, Value: value, Unit: m.Unit})
		fmt.Fprintf(progress, "%-28s at %6d %14.3f %s\n", m.Name, size, value, m.Unit)
	}
	return rows, nil
}

// fitLine fits a line to the rows of a measurement by linear regression.
func fitLine(m Measurement, rows []Row) Fit {
	var sizes, values []float64
	for _, r := range rows {
		sizes = append(sizes, float64(r.Size))
		values = append(values, r.Value)
	}
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	f := Fit{Name: m.Name, Unit: m.Unit, Base: base, Slope: slope}
	f.Error = maxDeviation(f, rows)
	return f
}

// maxDeviation returns the maximum distance of a row's value from the line, as a fraction of the largest value.
func maxDeviation(f Fit, rows []Row) float64 {
	var maxDistance, maxValue float64
	for _, r := range rows {
		maxDistance = max(maxDistance, math.Abs(r.Value-f.Estimate(r.Size)))
		maxValue = max(maxValue, math.Abs(r.Value))
	}
	if maxValue == 0 {
		return 0
	}
	return maxDistance / maxValue
}
