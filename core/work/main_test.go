package work_test

import "flag"

// init fixes the seed and the number of random runs; the command line may set others.
func init() {
	for name, value := range map[string]string{
		"rapid.seed": "2700", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
