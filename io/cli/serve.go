package cli

import (
	"context"
	"net/http"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/io/node"
	"siskincross/io/platform"
	"siskincross/io/settings"
)

// platformTimeout limits the duration of one call to the platform.
const platformTimeout = 10 * time.Second

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:      "settings",
		Aliases:   []string{"s"},
		Usage:     "read the entry host's settings from this TOML `FILE`",
		Required:  true,
		TakesFile: true,
		Sources:   cli.EnvVars("SISKINCROSS_SETTINGS"),
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs one entry host until SIGTERM or SIGINT",
		Description: "On SIGTERM or SIGINT the health check fails first. New requests are then answered not-run, requests in\n" +
			"progress are completed and the duties are handed over. A second signal ends the process immediately.",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	debug.SetMemoryLimit(s.Limits.MemoryBytes)
	n := node.New(s, platform.NewHTTPClient(s.Platform.Address, &http.Client{Timeout: platformTimeout}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop) // restores the default handling, so that a second signal ends the process
	if err := <-n.Start(ctx); err != nil {
		return exitErrorf(ExitFailure, "the entry host ended: %w", err)
	}
	return nil
}
