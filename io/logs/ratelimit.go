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

// RateLimitedLogger writes log lines in the background, so that logging never blocks, and limits their rate.
// Events of debug level share one limit. Every other event number has a limit of its own, so that a frequent
// event does not suppress a rare one. Dropped lines are counted and the count is logged.
type RateLimitedLogger struct {
	// Logger selects the events that are written and their destination.
	Logger Logger
	// LinesPerSecond and Burst are the rate limit and its burst size for events of debug level.
	// The limits of each other event number are a quarter of these.
	LinesPerSecond float64
	Burst          int
	// Process is the name of the process in the lines about dropped lines.
	Process string

	queue        chan event.Event
	dropped      atomic.Int64
	debugLimiter *rate.Limiter
	// mu guards limiters, which holds the limits of the event numbers above debug level.
	mu       sync.Mutex
	limiters map[event.Number]*rate.Limiter
}

const (
	// queueCapacity is the maximum number of events that wait while the reader of the logs is slow.
	queueCapacity = 2048
	// flushInterval is the maximum time that a line stays in the write buffer.
	flushInterval = 100 * time.Millisecond
	// droppedReportInterval is the minimum time between two lines about dropped lines.
	droppedReportInterval = time.Second
)

// Start starts the goroutine that writes lines until ctx is done. The channel then receives nil once the queued events
// are written, or the error that ended the goroutine.
func (b *RateLimitedLogger) Start(ctx context.Context) <-chan error {
	b.queue = make(chan event.Event, queueCapacity)
	b.debugLimiter = rate.NewLimiter(rate.Limit(b.LinesPerSecond), b.Burst)
	b.limiters = make(map[event.Number]*rate.Limiter)
	done := make(chan error, 1)
	go func() { done <- b.run(ctx) }()
	return done
}

// Sink queues an event, or counts it as dropped if it exceeds the rate limit or the queue is full. It never blocks.
func (b *RateLimitedLogger) Sink(e event.Event) {
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

// kindDivisor divides the limit of the debug events to give the limit of each other event number.
const kindDivisor = 4

// limiter returns the rate limiter of an event number.
func (b *RateLimitedLogger) limiter(n event.Number) *rate.Limiter {
	if n.Level() == event.LevelDebug {
		return b.debugLimiter
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiters[n]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(b.LinesPerSecond/kindDivisor), max(1, b.Burst/kindDivisor))
		b.limiters[n] = limiter
	}
	return limiter
}

// Dropped returns the number of dropped lines that are not reported yet.
func (b *RateLimitedLogger) Dropped() int64 { return b.dropped.Load() }

// run writes queued events and flushes the buffer at intervals.
func (b *RateLimitedLogger) run(ctx context.Context) error {
	buffer := bufio.NewWriter(b.Logger.destination())
	logger := b.Logger
	logger.Writer = buffer
	write := logger.Sink()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	lastReport := time.Now()
	for {
		select {
		case e := <-b.queue:
			write(e)
		case now := <-ticker.C:
			if now.Sub(lastReport) >= droppedReportInterval && b.writeDroppedCount(write) {
				lastReport = now
			}
			if err := buffer.Flush(); err != nil {
				return fmt.Errorf("write the logs: %w", err)
			}
		case <-ctx.Done():
			return b.drain(write, buffer)
		}
	}
}

// writeDroppedCount writes the number of dropped lines, if any, and resets it. It reports whether it wrote a line.
func (b *RateLimitedLogger) writeDroppedCount(write func(event.Event)) bool {
	n := b.dropped.Swap(0)
	if n == 0 {
		return false
	}
	write(event.Event{Number: event.LinesLeftOut, Process: b.Process, Detail: fmt.Sprintf("%d lines", n)})
	return true
}

// drain writes the queued events and the number of dropped lines, and flushes the buffer.
func (b *RateLimitedLogger) drain(write func(event.Event), buffer *bufio.Writer) error {
	for {
		select {
		case e := <-b.queue:
			write(e)
		default:
			b.writeDroppedCount(write)
			return buffer.Flush()
		}
	}
}

// destination returns the writer of the lines. A RateLimitedLogger whose Logger has no Writer discards its lines.
func (l Logger) destination() io.Writer {
	if l.Writer != nil {
		return l.Writer
	}
	return io.Discard
}
