// Command standin2 plays the scripted cases of the second review.
package main

import (
	"fmt"
	"os"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripted cases by name. Each gets whether the disruption is to happen.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"many-ends":   manyEnds,
	"two-crashes": twoCrashes,
	"moved-queue": movedQueue,
	"odd-entry":   oddEntry,
	"odd-id":      oddID,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return failed
	}
	w, err := newWorld("target/siskincross")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer w.close()
	result, err := run(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.record.note("failed", "%v", err)
		result = failed
	}
	w.record.note("result", "%s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case couldn't run"}[result])
	if err := w.record.write(recordPath); err != nil {
		fmt.Println(err)
		return failed
	}
	return result
}
