package runner

import (
	"math/rand/v2"
	"time"
)

// jitter returns a random duration between half of d and d, so that entry hosts do not retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
