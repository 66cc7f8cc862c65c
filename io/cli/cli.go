// Package cli builds the command tree of siskincross.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	// ExitOK tells that the command did what it says.
	ExitOK = 0
	// ExitFailure tells that the command ran and failed, or that a stated outcome was broken.
	ExitFailure = 1
	// ExitUsage tells that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitUnavailable tells that an entry host or the platform could not be reached.
	ExitUnavailable = 3
)

// ErrExit ends the program with a code. Its cause is printed.
type ErrExit struct {
	Code  int
	Cause error
}

// Error implements error.
func (e ErrExit) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrExit) Unwrap() error { return e.Cause }

// New returns the whole command tree.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "siskincross",
		Usage:                 "manages the capacity and maintenance of a fleet of hosts",
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			edgeCommand(),
			replayCommand(),
			standinCommand(),
			checkCommand(),
			configCommand(),
			poolsCommand(),
			hostsCommand(),
			explainCommand(),
			timelineCommand(),
			jobCommand(),
			loadCommand(),
			measureCommand(),
			documentsCommand(),
		},
	}
}

// Run runs the command that args name and returns the exit code.
func Run(ctx context.Context, args []string) int {
	root := New()
	return exitCode(root.Run(ctx, args), os.Stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "siskincross:", err)
	var exit ErrExit
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitUsage
}

// exitErrorf returns an error that ends the program with code.
func exitErrorf(code int, format string, args ...any) error {
	return ErrExit{Code: code, Cause: fmt.Errorf(format, args...)}
}
