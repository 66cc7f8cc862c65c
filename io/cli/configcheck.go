package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"siskincross/core/inspect"
	"siskincross/core/resource"
	"siskincross/platform"
)

// Flags and output formats of the configuration's check.
const (
	flagAgainst = "against"
	flagOutput  = "output"
	flagTask    = "task"

	outputTable = "table"
	outputJSON  = "json"
)

// outputs are the output formats.
var outputs = []string{outputTable, outputJSON}

// configurationReport is the output of the check.
type configurationReport struct {
	Version  uint64            `json:"version"`
	Errors   int               `json:"errors"`
	Findings []inspect.Finding `json:"findings"`
	// Against is the version in force, and Changes is what differs from it; zero and empty if there is none to compare with.
	Against uint64           `json:"against,omitempty"`
	Changes []inspect.Change `json:"changes,omitempty"`
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "checks a configuration of the users' platform before it is sent", ArgsUsage: "FILE",
		Description: "FILE holds the configuration as operators write it to the platform's store, in JSON. Exit code 0 means that there is no\n" +
			"error (there may be warnings), 1 that there are errors, 2 that a file can't be read or the command line is invalid.\n" +
			"An error is what has no effect or can't be served; a warning is what is served but probably not meant.\n" +
			"Keys are never printed: sha256:1a2b3c4d is the beginning of a key's digest.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, TakesFile: true, Usage: "show what differs from the version in force, in this `FILE`"},
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "print `FORMAT`, " + strings.Join(outputs, " or ")},
			&cli.StringSliceFlag{
				Name:  flagTask,
				Usage: "the largest task that is submitted to a queue, as `QUEUE=CPU:MEMORY[:ACCELERATORS]` in thousandths of a core and MB; may be repeated",
			},
		},
		ShellComplete: completeConfigCheck,
		Action:        runConfigCheck,
	}
}

// completeConfigCheck completes the output formats and the flags. Files are completed by the shell.
func completeConfigCheck(ctx context.Context, cmd *cli.Command) {
	args := cmd.Args().Slice()
	if len(args) > 0 && slices.Contains([]string{"--" + flagOutput, "-o"}, args[len(args)-1]) {
		fmt.Fprintln(cmd.Root().Writer, strings.Join(outputs, "\n"))
		return
	}
	cli.DefaultCompleteWithFlags(ctx, cmd)
}

func runConfigCheck(_ context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	if path == "" || cmd.Args().Len() > 1 {
		return exitErrorf(ExitUsage, "check requires one FILE")
	}
	if !slices.Contains(outputs, cmd.String(flagOutput)) {
		return exitErrorf(ExitUsage, "--%s must be %s, not %q", flagOutput, strings.Join(outputs, " or "), cmd.String(flagOutput))
	}
	demands, err := parseTaskDemands(cmd.StringSlice(flagTask))
	if err != nil {
		return err
	}
	next, err := readConfiguration(path)
	if err != nil {
		return err
	}
	if err := checkQueuesExist(next, demands); err != nil {
		return err
	}
	report := configurationReport{Version: next.Configuration.Version, Findings: next.Findings(inspect.Options{TaskDemands: demands})}
	if against := cmd.String(flagAgainst); against != "" {
		inForce, err := readConfiguration(against)
		if err != nil {
			return err
		}
		if !inForce.Readable() {
			return exitErrorf(ExitUsage, "%s: line %d: %s", against, inForce.Findings(inspect.Options{})[0].Line, inForce.Findings(inspect.Options{})[0])
		}
		report.Against = inForce.Configuration.Version
		if next.Readable() {
			report.Findings = append(report.Findings, next.FindingsAgainst(inForce.Configuration)...)
			inspect.SortFindings(report.Findings)
			report.Changes = inForce.Configuration.Changes(next.Configuration)
		}
	}
	if report.Findings == nil {
		report.Findings = []inspect.Finding{} // A list also in JSON.
	}
	report.Errors = inspect.CountErrors(report.Findings)
	if err := report.write(cmd); err != nil {
		return err
	}
	if report.Errors > 0 {
		return exitErrorf(ExitFailure, "%s has %d errors", path, report.Errors)
	}
	return nil
}

func readConfiguration(path string) (platform.InspectedConfiguration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return platform.InspectedConfiguration{}, exitErrorf(ExitUsage, "read the configuration: %w", err)
	}
	return platform.InspectConfiguration(text), nil
}

// parseTaskDemands returns the resources of tasks by queue.
func parseTaskDemands(texts []string) (map[string]resource.Amount, error) {
	demands := make(map[string]resource.Amount)
	for _, text := range texts {
		queue, amounts, found := strings.Cut(text, "=")
		var parsed [3]int
		fields := strings.Split(amounts, ":")
		valid := found && queue != "" && len(fields) >= 2 && len(fields) <= len(parsed)
		for i := 0; valid && i < len(fields); i++ {
			n, err := strconv.Atoi(fields[i])
			valid, parsed[i] = err == nil && n >= 0, n
		}
		if !valid {
			return nil, exitErrorf(ExitUsage, "--%s must be QUEUE=CPU:MEMORY[:ACCELERATORS] in whole numbers, not %q", flagTask, text)
		}
		demands[queue] = resource.Amount{MilliCores: parsed[0], MemoryMB: parsed[1], Accelerators: parsed[2]}
	}
	return demands, nil
}

// checkQueuesExist returns an error for a task of a queue that a readable configuration doesn't have.
func checkQueuesExist(c platform.InspectedConfiguration, demands map[string]resource.Amount) error {
	for queue := range demands {
		if c.Readable() && !slices.ContainsFunc(c.Configuration.Queues, func(q inspect.Queue) bool { return q.Name == queue }) {
			return exitErrorf(ExitUsage, "--%s names queue %q, which is not in the configuration", flagTask, queue)
		}
	}
	return nil
}

// write prints the report in the format that the command line asks for.
func (r configurationReport) write(cmd *cli.Command) error {
	w := cmd.Root().Writer
	if cmd.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	r.writeTables(w, cmd.String(flagAgainst) != "")
	return nil
}

func (r configurationReport) writeTables(w io.Writer, compared bool) {
	fmt.Fprintf(w, "version %d: %d errors, %d warnings\n", r.Version, r.Errors, len(r.Findings)-r.Errors)
	if len(r.Findings) > 0 {
		t := newTable(w, "line", "path", "severity", "finding", "subject", "message")
		for _, f := range r.Findings {
			line := ""
			if f.Line > 0 {
				line = strconv.Itoa(f.Line)
			}
			t.AppendRow([]any{line, f.Path, f.Severity.String(), f.Kind.String(), f.Subject, f.Message})
		}
		t.Render()
	}
	if !compared {
		return
	}
	fmt.Fprintf(w, "%d differences to version %d\n", len(r.Changes), r.Against)
	if len(r.Changes) > 0 {
		t := newTable(w, "difference", "subject", "setting", "before", "after")
		for _, c := range r.Changes {
			t.AppendRow([]any{c.Kind.String(), c.Subject, c.Setting, c.Before, c.After})
		}
		t.Render()
	}
}
