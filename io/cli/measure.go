package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"siskincross/io/measure"
)

// resultFile is the name of the file with the measured rows and the fitted lines.
const resultFile = "measure.json"

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measures the figures that the documentation quotes",
		Description: "Runs entry hosts in this process against stand-in platforms of several sizes, prints each row, and\n" +
			"writes the rows, the fitted lines and plots.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write measure.json and the plots into this `DIRECTORY`", Value: "out"},
			&cli.StringSliceFlag{Name: "only", Usage: "measure only this `SERIES`; may be repeated"},
			&cli.StringFlag{Name: "benchmarks", Usage: "add the rows of this `FILE`, an output of go test -bench", TakesFile: true},
			&cli.BoolFlag{Name: "short", Usage: "measure small fleets only, to check that the measurements run"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	sizes := measure.Sizes
	if cmd.Bool("short") {
		sizes = measure.ShortSizes
	}
	result, err := measure.Run(ctx, measure.SelectByName(measure.AllMeasurements(sizes), cmd.StringSlice("only")), cmd.Root().Writer)
	if err != nil {
		return exitErrorf(ExitFailure, "%w", err)
	}
	if result.Benchmarks, err = readBenchmarks(cmd.String("benchmarks")); err != nil {
		return err
	}
	return writeResult(cmd.String("out"), result)
}

func readBenchmarks(path string) ([]measure.Row, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "open the benchmark output: %w", err)
	}
	defer func() { _ = file.Close() }()
	rows, err := measure.ReadBenchmarks(file, path)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%w", err)
	}
	return rows, nil
}

func writeResult(directory string, result measure.Result) error {
	if err := os.MkdirAll(directory, documentDirectoryMode); err != nil {
		return exitErrorf(ExitFailure, "create %s: %w", directory, err)
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return exitErrorf(ExitFailure, "encode the result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(directory, resultFile), encoded, documentFileMode); err != nil {
		return exitErrorf(ExitFailure, "write the result: %w", err)
	}
	if err := measure.WritePlots(result, directory); err != nil {
		return exitErrorf(ExitFailure, "%w", err)
	}
	return nil
}
