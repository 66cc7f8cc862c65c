package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"siskincross/core/chart"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/node"
)

const (
	documentDirectoryMode = 0o755
	documentFileMode      = 0o644
)

// document is a generated file of the docs directory.
type document struct {
	// path is relative to the docs directory.
	path    string
	content []byte
}

func documentsCommand() *cli.Command {
	return &cli.Command{
		Name:      "documents",
		Usage:     "writes the generated pages of the documentation",
		ArgsUsage: "DIRECTORY",
		Hidden:    true,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "fail if a page is out of date, and write nothing"},
		},
		Action: runDocuments,
	}
}

func runDocuments(_ context.Context, cmd *cli.Command) error {
	directory := cmd.Args().First()
	if directory == "" {
		return exitErrorf(ExitUsage, "documents requires a DIRECTORY")
	}
	for _, doc := range generatedDocuments(cmd.Root()) {
		path := filepath.Join(directory, doc.path)
		if err := writeDocument(path, doc.content, cmd.Bool("check")); err != nil {
			return err
		}
	}
	return nil
}

// writeDocument writes a page. With check it compares the page with the file and writes nothing.
func writeDocument(path string, content []byte, check bool) error {
	if check {
		current, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(current, content) {
			return exitErrorf(ExitFailure, "%s is out of date: run _scripts/generate", path)
		}
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), documentDirectoryMode); err != nil {
		return exitErrorf(ExitFailure, "create the directory of %s: %w", path, err)
	}
	if err := os.WriteFile(path, content, documentFileMode); err != nil {
		return exitErrorf(ExitFailure, "write %s: %w", path, err)
	}
	return nil
}

// generatedDocuments returns the pages of the commands, the events and the state charts.
func generatedDocuments(root *cli.Command) []document {
	return append(usageDocuments(root),
		document{path: "EVENTS.md", content: eventsDocument()},
		document{path: "CHARTS.md", content: chartsDocument()},
	)
}

func chartsDocument() []byte {
	var b bytes.Buffer
	b.WriteString("# State charts\n\nThe program interprets these state charts; this page is generated from the same files.\n\n")
	for _, c := range append([]chart.Chart{host.Chart, node.Chart}, job.Charts()...) {
		b.WriteString(c.Markdown())
	}
	return b.Bytes()
}

func eventsDocument() []byte {
	var b bytes.Buffer
	b.WriteString("# Events\n\nEvery entry of the logs and of the time line has one of these event numbers.\n\n")
	b.WriteString("| number | name | subsystem | meaning |\n|---|---|---|---|\n")
	for _, entry := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", int(entry.Number), entry.Number, entry.Subsystem, entry.Meaning)
	}
	return b.Bytes()
}

// usageDocuments returns a page for each visible command and an index of them.
func usageDocuments(root *cli.Command) []document {
	index := &bytes.Buffer{}
	index.WriteString("# Commands\n\n")
	var pages []document
	for _, cmd := range root.Commands {
		if cmd.Hidden {
			continue
		}
		page := "usage/siskincross-" + cmd.Name + ".md"
		fmt.Fprintf(index, "- [`siskincross %s`](%s): %s\n", cmd.Name, strings.TrimPrefix(page, "usage/"), cmd.Usage)
		pages = append(pages, document{path: page, content: usagePage("siskincross", cmd)})
	}
	return append(pages, document{path: "usage/README.md", content: index.Bytes()})
}

func usagePage(parent string, cmd *cli.Command) []byte {
	var b bytes.Buffer
	writeUsage(&b, parent, cmd, 1)
	return b.Bytes()
}

// writeUsage writes a command and its visible subcommands; level is the depth of the heading.
func writeUsage(b *bytes.Buffer, parent string, cmd *cli.Command, level int) {
	name := parent + " " + cmd.Name
	fmt.Fprintf(b, "%s `%s`\n\n%s.\n\n", strings.Repeat("#", level), name, capitalised(cmd.Usage))
	fmt.Fprintf(b, "    %s\n\n", strings.TrimSpace(name+" [options] "+cmd.ArgsUsage))
	if cmd.Description != "" {
		fmt.Fprintf(b, "%s\n\n", strings.TrimSpace(cmd.Description))
	}
	writeFlags(b, cmd.Flags)
	for _, sub := range cmd.Commands {
		if !sub.Hidden && sub.Name != "help" {
			writeUsage(b, name, sub, level+1)
		}
	}
}

func writeFlags(b *bytes.Buffer, flags []cli.Flag) {
	if len(flags) == 0 {
		return
	}
	b.WriteString("| option | meaning |\n|---|---|\n")
	for _, flag := range flags {
		fmt.Fprintf(b, "| %s |\n", strings.ReplaceAll(flagRow(flag), "\t", " | "))
	}
	b.WriteString("\n")
}

// flagRow returns a flag's names and its usage, separated by a tab.
func flagRow(flag cli.Flag) string {
	names := "`--" + strings.Join(flag.Names(), "`, `-") + "`"
	documented, ok := flag.(cli.DocGenerationFlag)
	if !ok {
		return names + "\t"
	}
	usage := documented.GetUsage()
	if documented.TakesValue() && documented.GetDefaultText() != "" {
		usage += " (default: " + documented.GetDefaultText() + ")"
	}
	return names + "\t" + usage
}

// capitalised returns text with an upper-case first letter and without a full stop.
func capitalised(text string) string {
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + strings.TrimSuffix(text[1:], ".")
}
