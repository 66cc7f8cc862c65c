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

// lockedBuffer is a buffer that is written and read by different goroutines.
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

func withBounded(out io.Writer, log func(*logs.Bounded)) <-chan error {
	b := &logs.Bounded{Logger: logs.Logger{Writer: out}, Lines: 1, Burst: 10, Process: "edge-1"}
	ctx, cancel := context.WithCancel(context.Background())
	done := b.Start(ctx)
	log(b)
	cancel()
	return done
}

func TestBounded(t *testing.T) {
	t.Run("lines of tasks beyond the bound are left out and counted, others are not", func(t *testing.T) {
		is := is.New(t)
		out := &lockedBuffer{}
		is.NoErr(<-withBounded(out, func(b *logs.Bounded) {
			for range 1000 {
				b.Sink(event.Event{Number: event.WorkStarted})
			}
			b.Sink(event.Event{Number: event.WorkDutyTaken})
		}))
		is.True(strings.Count(out.String(), "work-started") < 20)
		is.Equal(strings.Count(out.String(), "work-duty-taken"), 1)
		is.True(strings.Contains(out.String(), "lines-left-out"))
	})
	t.Run("kind that is frequent does not push out another", func(t *testing.T) {
		is := is.New(t)
		out := &lockedBuffer{}
		is.NoErr(<-withBounded(out, func(b *logs.Bounded) {
			for range 1000 {
				b.Sink(event.Event{Number: event.WorkStartUnsure})
			}
			b.Sink(event.Event{Number: event.WorkGivenUp})
		}))
		is.Equal(strings.Count(out.String(), "work-given-up"), 1)
	})
	t.Run("reader that stands still blocks nobody", func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe() // nobody reads yet
		done := withBounded(writer, func(b *logs.Bounded) {
			for range 100_000 {
				b.Sink(event.Event{Number: event.WorkDutyTaken})
			}
			is.True(b.Dropped() > 0)
		})
		_, err := io.CopyN(io.Discard, reader, 1)
		is.NoErr(err)
		is.NoErr(reader.Close())
		is.True(<-done != nil) // the pipe was closed under it
	})
}
