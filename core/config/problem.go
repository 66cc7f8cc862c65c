package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a template or of parameters.
type Problem struct {
	// File is "template" or "parameters", or the name that the caller gave.
	File string `json:"file"`
	// Line counts from 1; zero when the fault has no place in the file.
	Line int `json:"line,omitempty"`
	// Key is the dotted path of the value, like "pools.port-louis.hosts".
	Key string `json:"key,omitempty"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Remedy says what to write instead.
	Remedy string `json:"remedy"`
}

// String returns the problem as one line of text.
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
