// Package cli implements the commands of siskincross.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed, or that a replay violated a property.
	ExitFailure = 1
	// ExitUsage means that the command line or a settings file is invalid.
	ExitUsage = 2
	// ExitUnavailable means that an entry host or the platform could not be reached.
	ExitUnavailable = 3
)

// ErrExit is an error with the exit code of the program. The program prints its cause.
type ErrExit struct {
	Code  int
	Cause error
}

// Error implements error.
func (e ErrExit) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrExit) Unwrap() error { return e.Cause }

// New returns the root command with all subcommands.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "siskincross",
		Usage:                 "manages the capacity and maintenance of a fleet of hosts",
		EnableShellCompletion: true,
		Suggest:               true,
		// Run returns the exit code instead of the library's handler, which would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
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

// Run runs the command given by args, which begin with the program's name, and returns the exit code.
func Run(ctx context.Context, args []string) int {
	root := New()
	return exitCode(root.Run(ctx, args), os.Stderr)
}

// exitCode prints err, if any, and returns its exit code. An error without a code, such as those of the
// command-line parser, counts as ExitUsage.
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

// exitErrorf returns an ErrExit with a formatted cause.
func exitErrorf(code int, format string, args ...any) error {
	return ErrExit{Code: code, Cause: fmt.Errorf(format, args...)}
}
