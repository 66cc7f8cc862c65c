package logs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"siskincross/core/event"
)

// Bounded writes log lines without ever blocking those who log, and bounds their number. Debug events
// share one bound, every other kind has a bound of its own, so that no frequent kind pushes out a rare one.
// What is left out is counted in a line of its own.
type Bounded struct {
	// Logger tells what is written, and where.
	Logger Logger
	// Lines bounds the lines a second of debug events, Burst how many may come at once. Each other kind may have a quarter of that.
	Lines float64
	Burst int
	// Process names the process in the lines about lines that were left out.
	Process string

	queue   chan event.Event
	dropped atomic.Int64
	detail  *rate.Limiter
	// mu guards others, the bounds of the kinds that are not debug.
	mu     sync.Mutex
	others map[event.Number]*rate.Limiter
}

const (
	// boundedQueue is how many lines may wait for a slow reader of the logs.
	boundedQueue = 2048
	// flushEvery bounds how long a line waits in the buffer.
	flushEvery = 100 * time.Millisecond
	// tellEvery is the least time between two lines about lines that were left out.
	tellEvery = time.Second
)

// Start begins to write until ctx ends. The channel reports the end once, after what was queued is written.
func (b *Bounded) Start(ctx context.Context) <-chan error {
	b.queue = make(chan event.Event, boundedQueue)
	b.detail = rate.NewLimiter(rate.Limit(b.Lines), b.Burst)
	b.others = make(map[event.Number]*rate.Limiter)
	done := make(chan error, 1)
	go func() { done <- b.run(ctx) }()
	return done
}

// Sink queues an event, or counts it as left out. It never blocks.
func (b *Bounded) Sink(e event.Event) {
	if !b.limiter(e.Number).Allow() {
		b.dropped.Add(1)
		return
	}
	select {
	case b.queue <- e:
	default:
		b.dropped.Add(1)
	}
}

// kindShare is the part of the bound of debug events that each other kind may have.
const kindShare = 4

// limiter returns the bound of a kind of event.
func (b *Bounded) limiter(n event.Number) *rate.Limiter {
	if n.Level() == event.LevelDebug {
		return b.detail
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.others[n]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(b.Lines/kindShare), max(1, b.Burst/kindShare))
		b.others[n] = limiter
	}
	return limiter
}

// Dropped is how many lines were left out and not told yet.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run(ctx context.Context) error {
	buffer := bufio.NewWriter(b.Logger.writer())
	logger := b.Logger
	logger.Writer = buffer
	write := logger.Sink()
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	told := time.Now()
	for {
		select {
		case e := <-b.queue:
			write(e)
		case now := <-ticker.C:
			if now.Sub(told) >= tellEvery && b.tell(write) {
				told = now
			}
			if err := buffer.Flush(); err != nil {
				return fmt.Errorf("write the logs: %w", err)
			}
		case <-ctx.Done():
			return b.finish(write, buffer)
		}
	}
}

// tell writes how many lines were left out, if any were.
func (b *Bounded) tell(write func(event.Event)) bool {
	n := b.dropped.Swap(0)
	if n == 0 {
		return false
	}
	write(event.Event{Number: event.LinesLeftOut, Process: b.Process, Detail: fmt.Sprintf("%d lines", n)})
	return true
}

// finish writes what is queued.
func (b *Bounded) finish(write func(event.Event), buffer *bufio.Writer) error {
	for {
		select {
		case e := <-b.queue:
			write(e)
		default:
			b.tell(write)
			return buffer.Flush()
		}
	}
}

// writer is where the lines go.
func (l Logger) writer() io.Writer {
	if l.Writer != nil {
		return l.Writer
	}
	return io.Discard
}
