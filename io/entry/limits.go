package entry

import "time"

// Limits bounds what callers and targets may ask of an entry host. Zero fields have defaults.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a caller; 32 KiB by default.
	HeaderBytes int
	// BodyBytes bounds a request body; 1 GiB by default. Bodies are streamed.
	BodyBytes int64
	// RequestReplayBytes bounds the part of a request body that is kept for another attempt; 64 KiB by default.
	RequestReplayBytes int
	// TotalReplayBytes bounds these parts of all requests together; 8 MiB by default. Beyond it bodies are
	// streamed without being kept.
	TotalReplayBytes int64
	// ReadHeaderTimeout bounds the time in which a caller sends its headers; 5 s by default.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds how long a caller's connection is kept without a request; 60 s by default.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to connect to a target; 1 s by default.
	DialTimeout time.Duration
	// MaxTimeout bounds the time that a caller may ask for; 10 min by default.
	MaxTimeout time.Duration
	// IdleConnections bounds the idle connections to all targets; 3072 by default.
	IdleConnections int
	// ClaimCommitsPerSecond bounds the commits a second for claims of Idempotency-Keys, of all entry hosts together; 100 by default.
	ClaimCommitsPerSecond float64
	// KeyRetention is how long an Idempotency-Key and its answer are kept; 24 h by default. Afterwards it may run again.
	KeyRetention time.Duration
}

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// withDefaults returns l with its zero fields filled in.
func (l Limits) withDefaults() Limits {
	setDefault(&l.HeaderBytes, 32*kib)
	setDefault(&l.BodyBytes, gib)
	setDefault(&l.RequestReplayBytes, 64*kib)
	setDefault(&l.TotalReplayBytes, 8*mib)
	setDefault(&l.ReadHeaderTimeout, 5*time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.DialTimeout, time.Second)
	setDefault(&l.MaxTimeout, 10*time.Minute)
	setDefault(&l.IdleConnections, 3072)
	setDefault(&l.ClaimCommitsPerSecond, 100)
	setDefault(&l.KeyRetention, 24*time.Hour)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
