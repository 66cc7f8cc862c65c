package runner

import (
	"math/rand/v2"
	"time"
)

// jitter returns between a half and the whole of d, so that entry hosts do not repeat in step.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
