package work_test

import (
	"flag"
	"testing"
)

const (
	checksFlag    = "rapid.checks"
	defaultChecks = "2000"
)

// init sets the default seed and number of random test cases. Flags on the command line override them.
func init() {
	for name, value := range map[string]string{
		"rapid.seed": "2700", checksFlag: defaultChecks, "rapid.steps": "150", "rapid.nofailfile": "true",
		"rapid.shrinktime": "3s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// limitChecks lowers the number of random cases of a test, unless the command line sets another one than the default.
func limitChecks(t *testing.T, checks string) {
	t.Helper()
	if flag.Lookup(checksFlag).Value.String() != defaultChecks {
		return
	}
	setFlag(t, checksFlag, checks)
	t.Cleanup(func() { setFlag(t, checksFlag, defaultChecks) })
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
