package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	const quick, slow = 4 * time.Millisecond, 60 * time.Millisecond
	t.Run("losing a fifth of the answers does not change the timeout", func(t *testing.T) {
		is := is.New(t)
		var estimator latencyEstimator
		for i := range 500 {
			estimator.recordLatency(quick, i%5 != 0)
		}
		is.Equal(estimator.timeout(), minWorkerTimeout)
	})
	t.Run("timeout grows with the latency", func(t *testing.T) {
		is := is.New(t)
		var estimator latencyEstimator
		for range 100 {
			estimator.recordLatency(slow, true)
		}
		is.True(estimator.timeout() > 8*slow)
		is.True(estimator.renewInterval() > minRenewInterval) // and ends of more tasks arrive with each renewal
		for range 100 {
			estimator.recordLatency(quick, true)
		}
		is.Equal(estimator.timeout(), minWorkerTimeout)
		is.Equal(estimator.renewInterval(), minRenewInterval)
	})
	t.Run("timeout reaches its maximum without any answer", func(t *testing.T) {
		is := is.New(t)
		var estimator latencyEstimator
		for range 200 {
			estimator.recordLatency(0, false)
		}
		is.Equal(estimator.timeout(), maxWorkerTimeout)
	})
}
