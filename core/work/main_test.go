package work_test

import "flag"

// init sets the default seed and number of random test cases. Flags on the command line override them.
func init() {
	for name, value := range map[string]string{
		"rapid.seed": "2700", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true",
		"rapid.shrinktime": "3s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
