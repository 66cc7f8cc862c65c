package measure

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/perf/benchfmt"
)

// ReadBenchmarks reads the output of "go test -bench" and returns a row for
// each value. The name of a row is the package's last part, the benchmark and the unit.
func ReadBenchmarks(r io.Reader, file string) ([]Row, error) {
	reader := benchfmt.NewReader(r, file)
	var rows []Row
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue // a line that is no result, such as a test's log
		}
		rows = append(rows, benchmarkRows(result)...)
	}
	return rows, errors.Wrapf(reader.Err(), "read %s", file)
}

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
