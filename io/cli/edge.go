package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"siskincross/platform"
)

// memoryLimitShare is the share of the boot settings' memory limit that becomes the soft memory limit of the
// Go runtime. Above it the garbage collector runs more often.
const memoryLimitShare = 0.6

// gcPercent is the heap growth in percent between garbage collections below the soft memory limit. It is high because the holder of
// a duty allocates tens of megabytes per second, and memory is cheaper than processor time on a small entry host.
const gcPercent = 300

const flagLearnInterference = "learn-interference"

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "runs one entry host on the users' platform until SIGTERM or SIGINT",
		Description: "Reads the platform's boot settings from the file that the environment variable " + platform.BootSettingsEnvVar + "\n" +
			"names. On SIGTERM the readiness check fails first, the duties are handed over, and requests in progress are finished.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagLearnInterference, Usage: "keep tasks that slow each other down apart also where the configuration names no organisations"},
		},
		Action: runEdge,
	}
}

func runEdge(ctx context.Context, command *cli.Command) error {
	boot, err := platform.LoadBootSettings(os.Getenv(platform.BootSettingsEnvVar))
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(boot.MemoryLimitBytes) * memoryLimitShare))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	if err := platform.NewEntryHost(boot, platform.Options{LearnInterference: command.Bool(flagLearnInterference)}).Run(ctx); err != nil {
		return exitErrorf(ExitFailure, "the entry host ended: %w", err)
	}
	return nil
}
