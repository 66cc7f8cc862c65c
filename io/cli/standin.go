package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"siskincross/io/replay"
	"siskincross/io/standin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "runs the stand-in of the platform with its workers and targets",
		Description: "The hosts are read from a trace's directory. Faults are injected over HTTP; see docs/operators/stand-in.md.\n" +
			"The stand-in keeps all data in memory and is for trying siskincross out only.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "fleet", Usage: "take the hosts from the trace in this `DIRECTORY`", Value: "_fixtures/mauritius", TakesFile: true},
			&cli.StringFlag{Name: "listen", Usage: "serve the platform's interface at this `IP:PORT`", Value: "127.0.0.1:7000"},
			&cli.Uint64Flag{Name: "seed", Usage: "make the flapping of the host list reproducible by this `SEED`", Value: 1},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, cmd *cli.Command) error {
	trace, err := replay.Load(cmd.String("fleet"))
	if err != nil {
		return exitErrorf(ExitUsage, "read the fleet: %w", err)
	}
	fleet := trace.Fleet(cmd.Uint64("seed"))
	fleet.Address = cmd.String("listen")
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := standin.New(fleet)
	ended := p.Start(ctx)
	fmt.Fprintf(cmd.Root().Writer, "the platform's stand-in with %d hosts is at %s\n", len(fleet.Hosts), p.Address())
	if err := <-ended; err != nil {
		return exitErrorf(ExitFailure, "the stand-in ended: %w", err)
	}
	return nil
}
