package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a template or in parameters.
type Problem struct {
	// File is "template" or "parameters", or the file name given by the caller.
	File string `json:"file"`
	// Line is the line number, starting at 1; zero if the problem has no position in the file.
	Line int `json:"line,omitempty"`
	// Key is the dotted path of the value, such as "pools.port-louis.hosts".
	Key string `json:"key,omitempty"`
	// Reason describes the error.
	Reason string `json:"reason"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String returns the problem as a line of text.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		place += ": " + p.Key
	}
	return fmt.Sprintf("%s: %s; %s", place, p.Reason, p.Remedy)
}

// ErrInvalid is returned for a template or parameters that can't be expanded.
type ErrInvalid struct {
	// Problems holds at least one entry.
	Problems []Problem `json:"problems"`
}

// Error implements error.
func (e ErrInvalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
