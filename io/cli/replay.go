package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"siskincross/io/replay"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replays a recorded trace and checks its properties",
		ArgsUsage: "DIRECTORY",
		Description: "Runs several entry hosts in this process against a stand-in of the platform, over loopback TCP. The properties are\n" +
			"checked on the records of the callers, the targets and the platform. The exit code is 0 only if all of them hold.",
		Flags: []cli.Flag{
			&cli.Float64Flag{Name: "speed", Usage: "divide the trace's times by this `NUMBER`", Value: 1},
			&cli.Uint64Flag{Name: "seed", Usage: "make the callers' choices reproducible by this `SEED`", Value: 1},
			&cli.IntFlag{Name: "entry-hosts", Usage: "start with this `COUNT` of entry hosts", Value: 3},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON for machines"},
		},
		Action: runReplay,
	}
}

func runReplay(ctx context.Context, cmd *cli.Command) error {
	directory := cmd.Args().First()
	if directory == "" {
		return exitErrorf(ExitUsage, "replay requires a DIRECTORY with a trace")
	}
	report, err := replay.Run(ctx, replay.Options{
		Directory:  directory,
		Speed:      cmd.Float64("speed"),
		Seed:       cmd.Uint64("seed"),
		EntryHosts: cmd.Int("entry-hosts"),
		Progress:   cmd.Root().ErrWriter,
	})
	if err != nil {
		return exitErrorf(ExitFailure, "run the replay: %w", err)
	}
	if err := printValue(cmd, report, func(w io.Writer) error { return writeReplayReport(w, report) }); err != nil {
		return err
	}
	if !report.Held {
		return exitErrorf(ExitFailure, "a property was violated")
	}
	return nil
}

func writeReplayReport(w io.Writer, report replay.Report) error {
	_, err := fmt.Fprintln(w, report)
	return err
}
