package logs_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/io/logs"
)

// lockedBuffer is a buffer for concurrent use by several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// runLogger starts a logger with a low limit, calls log and stops the logger. The channel reports its end.
func runLogger(out io.Writer, log func(*logs.RateLimitedLogger)) <-chan error {
	b := &logs.RateLimitedLogger{Logger: logs.Logger{Writer: out}, LinesPerSecond: 1, Burst: 10, Process: "edge-1"}
	ctx, cancel := context.WithCancel(context.Background())
	done := b.Start(ctx)
	log(b)
	cancel()
	return done
}

func TestRateLimitedLogger(t *testing.T) {
	t.Run("debug events beyond the limit are dropped and counted, others are not", func(t *testing.T) {
		is := is.New(t)
		out := &lockedBuffer{}
		is.NoErr(<-runLogger(out, func(b *logs.RateLimitedLogger) {
			for range 1000 {
				b.Sink(event.Event{Number: event.WorkStarted})
			}
			b.Sink(event.Event{Number: event.WorkDutyTaken})
		}))
		is.True(strings.Count(out.String(), "work-started") < 20)
		is.Equal(strings.Count(out.String(), "work-duty-taken"), 1)
		is.True(strings.Contains(out.String(), "lines-left-out"))
	})
	t.Run("a frequent event does not suppress a rare one", func(t *testing.T) {
		is := is.New(t)
		out := &lockedBuffer{}
		is.NoErr(<-runLogger(out, func(b *logs.RateLimitedLogger) {
			for range 1000 {
				b.Sink(event.Event{Number: event.WorkStartUnsure})
			}
			b.Sink(event.Event{Number: event.WorkGivenUp})
		}))
		is.Equal(strings.Count(out.String(), "work-given-up"), 1)
	})
	t.Run("a stalled reader does not block logging", func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe() // nobody reads yet
		done := runLogger(writer, func(b *logs.RateLimitedLogger) {
			for range 100_000 {
				b.Sink(event.Event{Number: event.WorkDutyTaken})
			}
			is.True(b.Dropped() > 0)
		})
		_, err := io.CopyN(io.Discard, reader, 1)
		is.NoErr(err)
		is.NoErr(reader.Close())
		is.True(<-done != nil) // the writer got an error because the pipe was closed
	})
}
