package measure

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// WritePlots writes an SVG file for each series to directory, with the rows as points and the fit as a line.
func WritePlots(result Result, directory string) error {
	for _, f := range result.Fits {
		if err := writePlot(f, result.series(f.Name), directory); err != nil {
			return errors.Wrapf(err, "plot %s", f.Name)
		}
	}
	return nil
}

// series returns the rows of one series.
func (r Result) series(name string) []Row {
	var rows []Row
	for _, row := range r.Rows {
		if row.Name == name {
			rows = append(rows, row)
		}
	}
	return rows
}

func writePlot(f Fit, rows []Row, directory string) error {
	p := plot.New()
	p.Title.Text = f.Name
	p.X.Label.Text = "size"
	p.Y.Label.Text = f.Unit
	p.X.Min = 0
	p.Y.Min = 0
	points := make(plotter.XYs, len(rows))
	for i, row := range rows {
		points[i] = plotter.XY{X: float64(row.Size), Y: row.Value}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(size float64) float64 { return f.Base + f.Slope*size })
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, f.Name+".svg"))
}
