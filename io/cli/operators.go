package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"siskincross/io/operator"
)

// clientTimeout limits the duration of one call to an entry host.
const clientTimeout = 30 * time.Second

// Flags of the commands that call the operators' API.
const (
	flagOperators = "operators"
	flagToken     = "token"
	flagJSON      = "json"
)

// operatorFlags returns more and the flags of the commands that call the operators' API.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{
			Name:    flagOperators,
			Usage:   "call the operators' listener of an entry host at this `IP:PORT`",
			Value:   "127.0.0.1:7201",
			Sources: cli.EnvVars("SISKINCROSS_OPERATORS"),
		},
		&cli.StringFlag{
			Name:    flagToken,
			Usage:   "the operators' `TOKEN`",
			Sources: cli.EnvVars("SISKINCROSS_TOKEN"),
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON for machines"},
	}
	return append(flags, more...)
}

func operatorClient(cmd *cli.Command) operator.Client {
	return operator.Client{
		Address: cmd.String(flagOperators),
		Token:   cmd.String(flagToken),
		HTTP:    &http.Client{Timeout: clientTimeout},
	}
}

// operatorExitError wraps an error of the operators' API with its exit code.
func operatorExitError(err error) error {
	if err == nil {
		return nil
	}
	var unreachable operator.ErrUnreachable
	if errors.As(err, &unreachable) {
		return ErrExit{Code: ExitUnavailable, Cause: err}
	}
	return ErrExit{Code: ExitFailure, Cause: err}
}

// printValue prints value as JSON if --json is set, else by calling text.
func printValue(cmd *cli.Command, value any, text func(w io.Writer) error) error {
	w := cmd.Root().Writer
	if !cmd.Bool(flagJSON) {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a table without borders. Its Render method writes it to w.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	style.Format.Header = 0
	t.SetStyle(style)
	t.AppendHeader(header)
	return t
}

// queryAction returns an action that queries the operators' API and prints the result.
func queryAction[T any](query func(context.Context, operator.Client) (T, error), text func(io.Writer, T) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		value, err := query(ctx, operatorClient(cmd))
		if err != nil {
			return operatorExitError(err)
		}
		return printValue(cmd, value, func(w io.Writer) error { return text(w, value) })
	}
}
