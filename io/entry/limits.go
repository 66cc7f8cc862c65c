package entry

import "time"

// Limits bounds what callers and targets may ask of an entry host. Zero fields have defaults.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a caller; 32 KiB by default.
	HeaderBytes int
	// BodyBytes bounds a request body; 1 GiB by default. Bodies are streamed.
	BodyBytes int64
	// ReplayBytes bounds the part of a request body that is kept for another attempt; 64 KiB by default.
	ReplayBytes int
	// KeptBytes bounds these parts of all requests together; 8 MiB by default. Beyond it bodies are
	// streamed without being kept.
	KeptBytes int64
	// ReadHeader bounds the time in which a caller sends its headers; 5 s by default.
	ReadHeader time.Duration
	// Idle bounds how long a caller's connection is kept without a request; 60 s by default.
	Idle time.Duration
	// Dial bounds the time to connect to a target; 1 s by default.
	Dial time.Duration
	// Deadline bounds the time that a caller may ask for; 10 min by default.
	Deadline time.Duration
	// IdleConnections bounds the idle connections to all targets; 3072 by default.
	IdleConnections int
	// ClaimCommits bounds the commits a second for claims of Idempotency-Keys, of all entry hosts together; 100 by default.
	ClaimCommits float64
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
	setDefault(&l.ReplayBytes, 64*kib)
	setDefault(&l.KeptBytes, 8*mib)
	setDefault(&l.ReadHeader, 5*time.Second)
	setDefault(&l.Idle, time.Minute)
	setDefault(&l.Dial, time.Second)
	setDefault(&l.Deadline, 10*time.Minute)
	setDefault(&l.IdleConnections, 3072)
	setDefault(&l.ClaimCommits, 100)
	setDefault(&l.KeyRetention, 24*time.Hour)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
