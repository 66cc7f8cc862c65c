package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/core/event"
	"siskincross/io/logs"
	"siskincross/io/timeline"
)

const eventTimeLayout = "15:04:05.000"

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "shows the events of all entry hosts in a total order",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "host", Usage: "only events of this `HOST`"},
			&cli.StringFlag{Name: "pool", Usage: "only events of this `ORGANISATION/POOL`"},
			&cli.StringFlag{Name: "job", Usage: "only events of this `JOB`"},
			&cli.StringFlag{Name: "request", Usage: "only events of this `REQUEST`"},
			&cli.StringSliceFlag{Name: "logs", Usage: "read the events from these log `FILE`s instead of the operators' API", TakesFile: true},
			&cli.StringFlag{Name: "html", Usage: "write a page with a lane for each process to this `FILE`", TakesFile: true},
		),
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, cmd *cli.Command) error {
	filter := timeline.Filter{
		Host:    cmd.String("host"),
		Pool:    cmd.String("pool"),
		Job:     cmd.String("job"),
		Request: cmd.String("request"),
	}
	events, err := timelineEvents(ctx, cmd, filter)
	if err != nil {
		return err
	}
	if path := cmd.String("html"); path != "" {
		return writeTimelinePage(path, events)
	}
	return printValue(cmd, events, func(w io.Writer) error { return writeEvents(w, events) })
}

// timelineEvents returns the events that match filter, from the files of --logs or else from the operators' API.
func timelineEvents(ctx context.Context, cmd *cli.Command, filter timeline.Filter) ([]event.Event, error) {
	paths := cmd.StringSlice("logs")
	if len(paths) == 0 {
		events, err := operatorClient(cmd).Timeline(ctx, filter)
		if err != nil {
			return nil, operatorExitError(err)
		}
		return events, nil
	}
	lists := make([][]event.Event, len(paths))
	for i, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "open the log: %w", err)
		}
		events, err := logs.Read(file)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, exitErrorf(ExitFailure, "%s: %w", path, err)
		}
		lists[i] = timeline.Select(events, filter)
	}
	return timeline.Merge(lists...), nil
}

func writeTimelinePage(path string, events []event.Event) error {
	file, err := os.Create(path)
	if err != nil {
		return exitErrorf(ExitFailure, "create the page: %w", err)
	}
	if err := timeline.WriteHTML(file, events); err != nil {
		return exitErrorf(ExitFailure, "%w", err)
	}
	if err := file.Close(); err != nil {
		return exitErrorf(ExitFailure, "close the page: %w", err)
	}
	return nil
}

func writeEvents(w io.Writer, events []event.Event) error {
	t := newTable(w, "time (UTC)", "process", "event", "about", "detail")
	for _, e := range events {
		at := time.UnixMilli(e.Time.WallMillis).UTC().Format(eventTimeLayout)
		t.AppendRow([]any{at, e.Process, fmt.Sprintf("%d %s", int(e.Number), e.Number), timeline.Subject(e), e.Detail})
	}
	t.Render()
	return nil
}
