package measure

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/perf/benchfmt"
)

// ReadBenchmarks parses the output of "go test -bench" and returns a row for each value.
// The name of a row consists of the last element of the package path and the benchmark's name.
// The name of the file appears in errors only.
func ReadBenchmarks(r io.Reader, file string) ([]Row, error) {
	reader := benchfmt.NewReader(r, file)
	var rows []Row
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue // a line that is not a result, such as a log line of a test
		}
		rows = append(rows, benchmarkRows(result)...)
	}
	return rows, errors.Wrapf(reader.Err(), "read %s", file)
}

// benchmarkRows returns a row for each value of a result, in the unit that the benchmark printed.
func benchmarkRows(result *benchfmt.Result) []Row {
	pkg := result.GetConfig("pkg")
	name := pkg[strings.LastIndex(pkg, "/")+1:] + "/" + string(result.Name.Full())
	rows := make([]Row, len(result.Values))
	for i, v := range result.Values {
		rows[i] = Row{Name: name, Value: v.Value, Unit: v.Unit}
		if v.OrigUnit != "" {
			rows[i].Value, rows[i].Unit = v.OrigValue, v.OrigUnit
		}
	}
	return rows
}
