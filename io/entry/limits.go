package entry

import "time"

// Limits bounds the resources that callers and targets may use at an entry host. Zero fields take their defaults.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a request; 32 KiB by default.
	HeaderBytes int
	// BodyBytes bounds a request body; 1 GiB by default. Bodies are streamed.
	BodyBytes int64
	// RequestReplayBytes bounds the prefix of a request body that is buffered for a retry; 64 KiB by default.
	RequestReplayBytes int
	// TotalReplayBytes bounds the buffered prefixes of all requests in total; 8 MiB by default. Beyond it, bodies
	// are streamed without a buffer.
	TotalReplayBytes int64
	// ReadHeaderTimeout bounds the time to receive the headers of a request; 5 s by default.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds how long an idle connection of a caller is kept open; 60 s by default.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to connect to a target; 1 s by default.
	DialTimeout time.Duration
	// MaxTimeout bounds the timeout of a request, whether set by the caller or by its queue; 10 min by default.
	MaxTimeout time.Duration
	// IdleConnections bounds the idle connections to all targets in total; 3072 by default.
	IdleConnections int
	// ClaimCommitsPerSecond bounds the rate of commits for claims of Idempotency-Keys, summed over all entry hosts;
	// 100 by default.
	ClaimCommitsPerSecond float64
	// KeyRetention is how long an Idempotency-Key and its stored response are kept; 24 h by default. After that, a
	// request with the key is run again.
	KeyRetention time.Duration
}

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// withDefaults returns l with zero fields set to their defaults.
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
