// Package logs writes events as structured log lines, filtered by level and subsystem, and reads them back.
package logs

import (
	"io"
	"slices"

	"github.com/phuslu/log"

	"siskincross/core/event"
)

// Logger writes each event as a JSON object on a line of its own. The zero value
// writes every event to standard error.
type Logger struct {
	// Writer is the destination of the lines; nil means standard error.
	Writer io.Writer
	// Level is the lowest level written: "debug", "info", "warn" or "error"; empty means "debug".
	Level string
	// Subsystems are the subsystems whose events are written; empty means all.
	Subsystems []string
}

// Sink returns a function that writes events, for use as the Sink of a timeline.Recorder.
func (l Logger) Sink() func(event.Event) {
	logger := l.newLogger()
	return func(e event.Event) {
		if l.selects(e.Number) {
			writeLine(logger, e)
		}
	}
}

func (l Logger) newLogger() *log.Logger {
	logger := &log.Logger{Level: log.DebugLevel}
	if l.Level != "" {
		logger.Level = log.ParseLevel(l.Level)
	}
	if l.Writer != nil {
		logger.Writer = &log.IOWriter{Writer: l.Writer}
	}
	return logger
}

// selects reports whether the subsystem of n is logged.
func (l Logger) selects(n event.Number) bool {
	return len(l.Subsystems) == 0 || slices.Contains(l.Subsystems, n.Subsystem())
}

func writeLine(logger *log.Logger, e event.Event) {
	line := logger.WithLevel(logLevel(e.Number))
	line.Int("event", int(e.Number))
	line.Str("name", e.Number.String())
	line.Str("process", e.Process)
	line.Str("id", string(e.ID))
	addNonEmpty(line, "cause", string(e.Cause))
	addNonEmpty(line, "organisation", e.Organisation)
	addNonEmpty(line, "pool", e.Pool)
	addNonEmpty(line, "host", e.Host)
	addNonEmpty(line, "job", e.Job)
	addNonEmpty(line, "request", e.Request)
	line.Msg(e.Detail)
}

// addNonEmpty adds a field to a line unless its value is empty.
func addNonEmpty(line *log.Entry, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

func logLevel(n event.Number) log.Level {
	switch n.Level() {
	case event.LevelDebug:
		return log.DebugLevel
	case event.LevelWarn:
		return log.WarnLevel
	default:
		return log.InfoLevel
	}
}
