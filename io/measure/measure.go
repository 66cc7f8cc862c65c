// Package measure runs the measurements that the documentation quotes, and
// writes their rows, the fitted slopes and plots.
package measure

import (
	"context"
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// Measurement is one series of figures over sizes of the fleet.
type Measurement struct {
	// Name is the series, such as "plan-round".
	Name string
	// Meaning says in one sentence what is measured and how.
	Meaning string
	// Unit is the unit of the values.
	Unit string
	// Sizes are the sizes measured, ascending: numbers of hosts, or what Meaning says.
	Sizes []int
	// Run returns the value at one size.
	Run func(ctx context.Context, size int) (float64, error)
}

// Row is one measured value.
type Row struct {
	Name  string  `json:"name"`
	Size  int     `json:"size,omitempty"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Fit is the straight line through the rows of one series.
type Fit struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Base is the fitted value at size zero, Slope the growth with each host.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the largest deviation of a row from the line, as a share of the largest row.
	Error float64 `json:"error"`
}

// Estimate returns the fitted value at a size.
func (f Fit) Estimate(size int) float64 { return f.Base + f.Slope*float64(size) }

// Result is everything that one run measured.
type Result struct {
	Rows []Row `json:"rows"`
	Fits []Fit `json:"fits"`
	// Benchmarks holds the rows of Go benchmarks that ran beside.
	Benchmarks []Row `json:"benchmarks,omitempty"`
}

// Run runs the measurements one after another and reports each row to progress.
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

func (m Measurement) rows(ctx context.Context, progress io.Writer) ([]Row, error) {
	var rows []Row
	for _, size := range m.Sizes {
		value, err := m.Run(ctx, size)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s at %d hosts", m.Name, size)
		}
		rows = append(rows, Row{Name: m.Name, Size: size, Value: value, Unit: m.Unit})
		fmt.Fprintf(progress, "%-28s at %6d %14.3f %s\n", m.Name, size, value, m.Unit)
	}
	return rows, nil
}

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

// maxDeviation returns the largest distance of a row from the line, as a share of the largest row.
func maxDeviation(f Fit, rows []Row) float64 {
	var worst, largest float64
	for _, r := range rows {
		worst = max(worst, math.Abs(r.Value-f.Estimate(r.Size)))
		largest = max(largest, math.Abs(r.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}
