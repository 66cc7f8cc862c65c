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
		Usage:     "replays a recorded trace and judges what must always hold",
		ArgsUsage: "DIRECTORY",
		Description: "Runs several entry hosts of the real code in this process against a stand-in of the platform, over loopback TCP.\n" +
			"The outcome is judged from what callers, targets and the platform saw. The exit code is 0 only if all of it held.",
		Flags: []cli.Flag{
			&cli.Float64Flag{Name: "speed", Usage: "divide the times of the trace by this `NUMBER`", Value: 1},
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
		return exitErrorf(ExitUsage, "replay needs a DIRECTORY with a trace")
	}
	report, err := replay.Run(ctx, replay.Options{
		Directory:  directory,
		Speed:      cmd.Float64("speed"),
		Seed:       cmd.Uint64("seed"),
		EntryHosts: cmd.Int("entry-hosts"),
		Progress:   cmd.Root().ErrWriter,
	})
	if err != nil {
		return exitErrorf(ExitFailure, "the replay could not be carried out: %w", err)
	}
	if err := printValue(cmd, report, func(w io.Writer) error { return writeReplayReport(w, report) }); err != nil {
		return err
	}
	if !report.Held {
		return exitErrorf(ExitFailure, "a property was broken")
	}
	return nil
}

func writeReplayReport(w io.Writer, report replay.Report) error {
	_, err := fmt.Fprintln(w, report)
	return err
}
