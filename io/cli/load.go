package cli

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/io/load"
)

// Default values of the load command's flags.
const (
	defaultRate     = 100
	defaultLoadTime = 10 * time.Second
	defaultTimeout  = 10 * time.Second
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "sends requests at a fixed rate and prints latencies by outcome",
		Description: "The load is open-loop: requests are scheduled independently of earlier responses, and latency is measured from\n" +
			"the time at which a request was scheduled.",
		ArgsUsage: "URL...",
		Flags: []cli.Flag{
			&cli.Float64Flag{Name: "rate", Usage: "mean `REQUESTS` per second", Value: defaultRate},
			&cli.DurationFlag{Name: "for", Usage: "send requests for this `TIME`", Value: defaultLoadTime},
			&cli.DurationFlag{Name: "timeout", Usage: "abandon a request after this `TIME`", Value: defaultTimeout},
			&cli.StringFlag{Name: "method", Usage: "the HTTP `METHOD`", Value: http.MethodGet},
			&cli.StringFlag{Name: "body", Usage: "send this `TEXT` as the body"},
			&cli.StringSliceFlag{Name: "header", Usage: "send this `NAME:VALUE`; may be repeated"},
			&cli.BoolFlag{Name: "keyed", Usage: "give every request an Idempotency-Key of its own"},
			&cli.Uint64Flag{Name: "seed", Usage: "make the arrival times reproducible by this `SEED`", Value: 1},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	header, err := parseHeaders(cmd.StringSlice("header"))
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Plan{
		URLs:    cmd.Args().Slice(),
		Phases:  []load.Phase{{Rate: cmd.Float64("rate"), Length: cmd.Duration("for")}},
		Method:  cmd.String("method"),
		Header:  header,
		Body:    []byte(cmd.String("body")),
		Keyed:   cmd.Bool("keyed"),
		Timeout: cmd.Duration("timeout"),
		Seed:    cmd.Uint64("seed"),
	})
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	return report.Print(cmd.Root().Writer)
}

// parseHeaders parses headers in the form "NAME:VALUE".
func parseHeaders(texts []string) (http.Header, error) {
	header := http.Header{}
	for _, text := range texts {
		name, value, ok := strings.Cut(text, ":")
		if !ok {
			return nil, exitErrorf(ExitUsage, "--header must be NAME:VALUE, not %q", text)
		}
		header.Add(name, strings.TrimSpace(value))
	}
	return header, nil
}
