package measure_test

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskincross/io/measure"
)

// newMeasurement returns a measurement that returns the value of each size.
func newMeasurement(values map[int]float64) measure.Measurement {
	return measure.Measurement{
		Name:  "series",
		Unit:  "bytes",
		Sizes: []int{10, 20, 30, 40},
		Run: func(_ context.Context, size int) (float64, error) {
			return values[size], nil
		},
	}
}

// assertFit checks the line fitted to values and its deviation, and that the plot can be written.
func assertFit(t *testing.T, values map[int]float64, base, slope, deviation float64) {
	t.Helper()
	is := is.New(t)
	result, err := measure.Run(context.Background(), []measure.Measurement{newMeasurement(values)}, io.Discard)
	is.NoErr(err)
	is.Equal(len(result.Rows), len(values))
	f := result.Fits[0]
	near := func(got, want float64) bool { return math.Abs(got-want) < 1e-9 }
	is.True(near(f.Base, base))
	is.True(near(f.Slope, slope))
	is.True(near(f.Error, deviation))
	is.NoErr(measure.WritePlots(result, t.TempDir()))
}

func TestRunFits(t *testing.T) {
	t.Run("a line", func(t *testing.T) {
		assertFit(t, map[int]float64{10: 25, 20: 45, 30: 65, 40: 85}, 5, 2, 0)
	})
	t.Run("a constant", func(t *testing.T) {
		assertFit(t, map[int]float64{10: 7, 20: 7, 30: 7, 40: 7}, 7, 0, 0)
	})
	t.Run("a bend shows as an error", func(t *testing.T) {
		assertFit(t, map[int]float64{10: 0, 20: 0, 30: 0, 40: 100}, -50, 3, 0.4)
	})
}

func TestRunStopsAtAFailure(t *testing.T) {
	is := is.New(t)
	broken := errors.New("no stand-in")
	m := newMeasurement(nil)
	m.Run = func(context.Context, int) (float64, error) { return 0, broken }
	_, err := measure.Run(context.Background(), []measure.Measurement{m}, io.Discard)
	is.True(errors.Is(err, broken))
}

func TestWritePlotsNamesFilesBySeries(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	result, err := measure.Run(context.Background(), []measure.Measurement{newMeasurement(map[int]float64{10: 1})}, io.Discard)
	is.NoErr(err)
	is.NoErr(measure.WritePlots(result, directory))
	_, err = os.Stat(filepath.Join(directory, "series.svg"))
	is.NoErr(err)
}
