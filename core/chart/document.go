package chart

import (
	"fmt"
	"strings"
)

// Markdown returns the chart as a Mermaid diagram, a table of its transitions, and a matrix of the next state
// for each state and event.
func (c Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", c.Name)
	c.writeDiagram(&b)
	c.writeTransitions(&b)
	c.writeMatrix(&b)
	return b.String()
}

func (c Chart) writeDiagram(b *strings.Builder) {
	fmt.Fprintf(b, "```mermaid\nstateDiagram-v2\n    [*] --> %s\n", diagramName(c.Initial))
	for _, t := range c.Transitions {
		for _, from := range t.From {
			fmt.Fprintf(b, "    %s --> %s: %s\n", diagramName(from), diagramName(t.To), t.On)
		}
	}
	for _, s := range c.Final {
		fmt.Fprintf(b, "    %s --> [*]\n", diagramName(s))
	}
	b.WriteString("```\n\n")
}

// diagramName returns s without hyphens, which Mermaid does not allow in names.
func diagramName(s State) string {
	return strings.ReplaceAll(string(s), "-", "_")
}

func (c Chart) writeTransitions(b *strings.Builder) {
	b.WriteString("| on | from | to | meaning |\n|---|---|---|---|\n")
	for _, t := range c.Transitions {
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", t.On, joinStrings(t.From, ", "), t.To, t.Meaning)
	}
	b.WriteString("\n")
}

func (c Chart) writeMatrix(b *strings.Builder) {
	events := c.Events()
	fmt.Fprintf(b, "| state | %s |\n|---|%s\n", joinStrings(events, " | "), strings.Repeat("---|", len(events)))
	for _, s := range c.States() {
		fmt.Fprintf(b, "| %s |", s)
		for _, e := range events {
			cell := "refused"
			if to, err := c.Next(s, e); err == nil {
				cell = string(to)
			}
			fmt.Fprintf(b, " %s |", cell)
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

func joinStrings[T ~string](items []T, separator string) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, separator)
}
