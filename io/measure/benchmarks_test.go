package measure_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/io/measure"
)

func TestReadBenchmarks(t *testing.T) {
	is := is.New(t)
	rows, err := measure.ReadBenchmarks(strings.NewReader(`goos: linux
pkg: siskincross/core/plan
BenchmarkRound/48_hosts-10   	   1000	   1500 ns/op	  64 B/op
    some_test.go:12: a log line
PASS
`), "bench.txt")
	is.NoErr(err)
	is.Equal(rows, []measure.Row{
		{Name: "plan/Round/48_hosts-10", Value: 1500, Unit: "ns/op"},
		{Name: "plan/Round/48_hosts-10", Value: 64, Unit: "B/op"},
	})
}
