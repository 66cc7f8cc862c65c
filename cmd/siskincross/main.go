// Command siskincross manages the capacity and maintenance of a fleet of hosts.
package main

import (
	"context"
	"os"

	"siskincross/io/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args))
}
