package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/core/job"
	"siskincross/io/jobs"
)

const (
	flagCallers      = "callers"
	defaultListLimit = 100
	bytesPerMiB      = 1 << 20
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submits, lists and cancels jobs and reads their results, as a caller",
		Commands: []*cli.Command{
			submitCommand(),
			jobListCommand(),
			singleJobCommand("get", "shows a job", jobs.Client.Get),
			singleJobCommand("cancel", "asks a job to end", jobs.Client.Cancel),
			singleJobCommand("release", "tries a parked job again", jobs.Client.Release),
			resultCommand(),
		},
	}
}

// callerFlags returns more and the flags of the commands that call the callers' API.
func callerFlags(more ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{
			Name:    flagCallers,
			Usage:   "call the callers' listener of an entry host at this `IP:PORT`",
			Value:   "127.0.0.1:7101",
			Sources: cli.EnvVars("SISKINCROSS_CALLERS"),
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON for machines"},
	}
	return append(flags, more...)
}

func jobClient(cmd *cli.Command) jobs.Client {
	return jobs.Client{Address: cmd.String(flagCallers), HTTP: &http.Client{Timeout: clientTimeout}}
}

// jobExitError wraps an error of the callers' API with its exit code.
func jobExitError(err error) error {
	var problem jobs.ErrProblem
	if err == nil {
		return nil
	}
	if errors.As(err, &problem) {
		return ErrExit{Code: ExitFailure, Cause: err}
	}
	return ErrExit{Code: ExitUnavailable, Cause: err}
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submits a job", ArgsUsage: "ORGANISATION PROGRAM",
		Flags: callerFlags(
			&cli.StringFlag{Name: "queue", Usage: "the `QUEUE` of the organisation", Required: true},
			&cli.StringFlag{Name: "team", Usage: "the `TEAM` of the organisation"},
			&cli.StringFlag{Name: "key", Usage: "the Idempotency-`KEY`; submitting again with the same key returns the same job"},
			&cli.IntFlag{Name: "cores", Usage: "declared processor `CORES`", Value: 1},
			&cli.Int64Flag{Name: "memory", Usage: "declared memory in `MIB`", Value: 256},
			&cli.StringFlag{Name: "usage-template", Usage: "learn resource usage together with other jobs of this `NAME`", DefaultText: "the program"},
			&cli.BoolFlag{Name: "idempotent", Usage: "the job may run more than once"},
			&cli.BoolFlag{Name: "urgent", Usage: "schedule the job before others"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := jobs.Submission{
				Queue:       cmd.String("queue"),
				Team:        cmd.String("team"),
				Program:     cmd.Args().Get(1),
				Cores:       cmd.Int("cores"),
				MemoryBytes: cmd.Int64("memory") * bytesPerMiB,
				Template:    cmd.String("usage-template"),
				Idempotent:  cmd.Bool("idempotent"),
				Urgent:      cmd.Bool("urgent"),
			}
			j, err := jobClient(cmd).Submit(ctx, cmd.Args().First(), s, cmd.String("key"))
			return printJob(cmd, j, err)
		},
	}
}

// singleJobCommand returns a command that makes one call for a job and prints the job.
func singleJobCommand(name, usage string, call func(jobs.Client, context.Context, string, job.ID) (job.Job, error)) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ORGANISATION JOB",
		Flags: callerFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			j, err := call(jobClient(cmd), ctx, cmd.Args().First(), job.ID(cmd.Args().Get(1)))
			return printJob(cmd, j, err)
		},
	}
}

func printJob(cmd *cli.Command, j job.Job, err error) error {
	if err != nil {
		return jobExitError(err)
	}
	return printValue(cmd, j, func(w io.Writer) error { return writeJobs(w, []job.Job{j}) })
}

func jobListCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "lists an organisation's jobs", ArgsUsage: "ORGANISATION",
		Flags: callerFlags(
			&cli.StringFlag{Name: "after", Usage: "continue after the `PAGE` token that the previous list returned"},
			&cli.IntFlag{Name: "limit", Usage: "list at most this `COUNT`", Value: defaultListLimit},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			page, err := jobClient(cmd).List(ctx, cmd.Args().First(), cmd.String("after"), cmd.Int("limit"))
			if err != nil {
				return jobExitError(err)
			}
			return printValue(cmd, page, func(w io.Writer) error { return writeJobs(w, page.Jobs) })
		},
	}
}

func writeJobs(w io.Writer, list []job.Job) error {
	t := newTable(w, "job", "queue", "team", "state", "attempt", "host", "accepted (UTC)", "reason")
	for _, j := range list {
		accepted := time.UnixMilli(j.AcceptedMillis).UTC().Format(time.RFC3339)
		t.AppendRow([]any{j.ID, j.Spec.Queue, j.Spec.Team, j.State, j.Attempt, j.Host, accepted, j.Reason})
	}
	t.Render()
	return nil
}

func resultCommand() *cli.Command {
	return &cli.Command{
		Name: "result", Usage: "writes a finished job's complete result to standard output", ArgsUsage: "ORGANISATION JOB",
		Flags: callerFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			content, err := jobClient(cmd).Result(ctx, cmd.Args().First(), job.ID(cmd.Args().Get(1)))
			if err != nil {
				return jobExitError(err)
			}
			_, err = cmd.Root().Writer.Write(content)
			return err
		},
	}
}
