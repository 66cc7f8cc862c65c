package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/core/config"
	"siskincross/io/operator"
)

// progressPollInterval is the interval at which --wait queries the roll-out's progress.
const progressPollInterval = 200 * time.Millisecond

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "checks configurations, and plans, applies and shows templates and parameters",
		Commands: []*cli.Command{
			configCheckCommand(), planCommand(), applyCommand(), rollbackCommand(), historyCommand(), showCommand(), progressCommand(),
		},
	}
}

// changeFlags returns the flags of the commands that read a change from files.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "template", Usage: "the organisation's template, a TOML `FILE`", Required: true, TakesFile: true},
		&cli.StringFlag{Name: "parameters", Usage: "the organisation's parameters, a TOML `FILE`", Required: true, TakesFile: true},
		fromFlag(),
	}, more...)...)
}

func fromFlag() cli.Flag {
	return &cli.Int64Flag{
		Name:  "from",
		Usage: "the `VERSION` that the change is based on",
		Value: -1, DefaultText: "the organisation's newest",
	}
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: "wait", Usage: "show the progress until the version is in force everywhere"}
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "shows the effects of a change without committing it", ArgsUsage: "ORGANISATION",
		Flags: changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			change, err := readChange(ctx, cmd)
			if err != nil {
				return err
			}
			plan, err := operatorClient(cmd).Plan(ctx, change)
			if err != nil {
				return operatorExitError(err)
			}
			return printValue(cmd, plan, func(w io.Writer) error { return writePlan(w, plan) })
		},
	}
}

func writePlan(w io.Writer, plan operator.Plan) error {
	if len(plan.Differences) == 0 {
		_, err := fmt.Fprintf(w, "no difference to version %d\n", plan.From)
		return err
	}
	fmt.Fprintf(w, "compared with version %d:\n  %s\n", plan.From, strings.Join(plan.Differences, "\n  "))
	fmt.Fprintf(w, "%d hosts would change pools\n", plan.Moves)
	for _, effect := range plan.Effects {
		fmt.Fprintf(w, "  %s\n", effect)
	}
	return nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "commits a change", ArgsUsage: "ORGANISATION",
		Description: "A change names the version that it is based on. If another change was accepted since that version, this one\n" +
			"is refused and the differences are shown.",
		Flags: changeFlags(waitFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			change, err := readChange(ctx, cmd)
			if err != nil {
				return err
			}
			accepted, err := operatorClient(cmd).Apply(ctx, change)
			return reportAcceptedChange(ctx, cmd, accepted, err)
		},
	}
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "commits an earlier version's template and parameters as a new version", ArgsUsage: "ORGANISATION VERSION",
		Flags: operatorFlags(fromFlag(), waitFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			to, err := parseVersion(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			organisation := cmd.Args().First()
			from, err := baseVersion(ctx, cmd, organisation)
			if err != nil {
				return err
			}
			r := operator.Rollback{Organisation: organisation, To: to, From: from}
			accepted, err := operatorClient(cmd).Rollback(ctx, r)
			return reportAcceptedChange(ctx, cmd, accepted, err)
		},
	}
}

// reportAcceptedChange prints an accepted change. With --wait it waits until the version is in force
// and prints the progress instead. It returns the exit error for err if that isn't nil.
func reportAcceptedChange(ctx context.Context, cmd *cli.Command, accepted operator.AcceptedChange, err error) error {
	if err != nil {
		return operatorExitError(err)
	}
	if !cmd.Bool("wait") {
		return printValue(cmd, accepted, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "accepted as version %d\n", accepted.Version)
			return err
		})
	}
	progress, err := waitUntilInForce(ctx, cmd, accepted.Version)
	if err != nil {
		return err
	}
	return printValue(cmd, progress, func(w io.Writer) error { return writeProgress(w, progress) })
}

// waitUntilInForce polls the progress of a version until it is in force at every live entry host.
func waitUntilInForce(ctx context.Context, cmd *cli.Command, version config.Version) (operator.Progress, error) {
	for {
		progress, err := operatorClient(cmd).Progress(ctx, version)
		if err != nil {
			return progress, operatorExitError(err)
		}
		if progress.InForce {
			return progress, nil
		}
		fmt.Fprintf(cmd.Root().ErrWriter, "version %d waits for %s\n", version, strings.Join(progress.Waiting, ", "))
		select {
		case <-time.After(progressPollInterval):
		case <-ctx.Done():
			return progress, exitErrorf(ExitFailure, "stopped waiting: %w", ctx.Err())
		}
	}
}

func writeProgress(w io.Writer, p operator.Progress) error {
	if !p.InForce {
		_, err := fmt.Fprintf(w, "version %d waits for %s\n", p.Version, strings.Join(p.Waiting, ", "))
		return err
	}
	_, err := fmt.Fprintf(w, "version %d is in force at %d entry hosts; roll-out time %s\n",
		p.Version, len(p.Acknowledged), time.Duration(p.RollOutMillis)*time.Millisecond)
	return err
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "lists the accepted changes, newest first", ArgsUsage: "[ORGANISATION]",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			history, err := operatorClient(cmd).History(ctx, cmd.Args().First())
			if err != nil {
				return operatorExitError(err)
			}
			return printValue(cmd, history, func(w io.Writer) error { return writeHistory(w, history) })
		},
	}
}

func writeHistory(w io.Writer, history []operator.HistoryEntry) error {
	t := newTable(w, "version", "organisation", "made from", "accepted (UTC)", "by entry host")
	for _, e := range history {
		t.AppendRow([]any{e.Version, e.Organisation, e.From, time.UnixMilli(e.AcceptedMillis).UTC().Format(time.RFC3339), e.Member})
	}
	t.Render()
	return nil
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "prints the template and parameters of a version", ArgsUsage: "VERSION",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			version, err := parseVersion(cmd.Args().First())
			if err != nil {
				return err
			}
			source, err := operatorClient(cmd).Show(ctx, version)
			if err != nil {
				return operatorExitError(err)
			}
			return printValue(cmd, source, func(w io.Writer) error { return writeSource(w, source) })
		},
	}
}

func writeSource(w io.Writer, s operator.Source) error {
	_, err := fmt.Fprintf(w, "# version %d of %s: template\n%s\n# parameters\n%s", s.Version, s.Organisation, s.Template, s.Parameters)
	return err
}

func progressCommand() *cli.Command {
	return &cli.Command{
		Name: "progress", Usage: "shows which entry hosts a version is in force at", ArgsUsage: "VERSION",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			version, err := parseVersion(cmd.Args().First())
			if err != nil {
				return err
			}
			progress, err := operatorClient(cmd).Progress(ctx, version)
			if err != nil {
				return operatorExitError(err)
			}
			return printValue(cmd, progress, func(w io.Writer) error { return writeProgress(w, progress) })
		},
	}
}

func parseVersion(text string) (config.Version, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, exitErrorf(ExitUsage, "VERSION must be a positive integer, not %q", text)
	}
	return config.Version(version), nil
}

// readChange returns the change that the flags and the organisation's argument describe.
func readChange(ctx context.Context, cmd *cli.Command) (operator.Change, error) {
	organisation := cmd.Args().First()
	template, err := os.ReadFile(cmd.String("template"))
	if err != nil {
		return operator.Change{}, exitErrorf(ExitUsage, "read the template: %w", err)
	}
	parameters, err := os.ReadFile(cmd.String("parameters"))
	if err != nil {
		return operator.Change{}, exitErrorf(ExitUsage, "read the parameters: %w", err)
	}
	from, err := baseVersion(ctx, cmd, organisation)
	return operator.Change{
		Organisation: organisation,
		Template:     string(template),
		Parameters:   string(parameters),
		From:         from,
	}, err
}

// baseVersion returns the version that a change is based on: the value of --from if
// it is set, else the organisation's newest version, or 0 if it has none.
func baseVersion(ctx context.Context, cmd *cli.Command, organisation string) (config.Version, error) {
	if organisation == "" {
		return 0, exitErrorf(ExitUsage, "%s requires an ORGANISATION", cmd.Name)
	}
	if stated := cmd.Int64("from"); stated >= 0 {
		return config.Version(stated), nil
	}
	history, err := operatorClient(cmd).History(ctx, organisation)
	if err != nil || len(history) == 0 {
		return 0, operatorExitError(err)
	}
	return history[0].Version, nil
}
