// Command review-3 plays the scripted cases of the review against the built program.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns what broke the rule, or "" if it held.
var cases = map[string]func(record string, trouble bool) (string, error){
	"reborn-rack":     rebornRack,
	"flapping-worker": flappingWorker,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-3 CASE RECORD")
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(exitFailed)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}
