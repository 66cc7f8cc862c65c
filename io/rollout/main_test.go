package rollout

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of rapid. Flags on the command line
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "8300", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
