package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	const quick, slow = 4 * time.Millisecond, 60 * time.Millisecond
	t.Run("a fifth of the answers lost changes nothing", func(t *testing.T) {
		is := is.New(t)
		var p latencyEstimator
		for i := range 500 {
			p.recordLatency(quick, i%5 != 0)
		}
		is.Equal(p.timeout(), minWorkerTimeout)
	})
	t.Run("answers that all take long are waited for", func(t *testing.T) {
		is := is.New(t)
		var p latencyEstimator
		for range 100 {
			p.recordLatency(slow, true)
		}
		is.True(p.timeout() > 8*slow)
		is.True(p.renewInterval() > minRenewInterval) // and asked for in larger groups
		for range 100 {
			p.recordLatency(quick, true)
		}
		is.Equal(p.timeout(), minWorkerTimeout)
		is.Equal(p.renewInterval(), minRenewInterval)
	})
	t.Run("no answer at all has the longest wait", func(t *testing.T) {
		is := is.New(t)
		var p latencyEstimator
		for range 200 {
			p.recordLatency(0, false)
		}
		is.Equal(p.timeout(), maxWorkerTimeout)
	})
}
