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
		var p patience
		for i := range 500 {
			p.took(quick, i%5 != 0)
		}
		is.Equal(p.limit(), leastPatience)
	})
	t.Run("answers that all take long are waited for", func(t *testing.T) {
		is := is.New(t)
		var p patience
		for range 100 {
			p.took(slow, true)
		}
		is.True(p.limit() > 8*slow)
		is.True(p.pause() > renewGap) // and asked for in larger groups
		for range 100 {
			p.took(quick, true)
		}
		is.Equal(p.limit(), leastPatience)
		is.Equal(p.pause(), renewGap)
	})
	t.Run("no answer at all has the longest wait", func(t *testing.T) {
		is := is.New(t)
		var p patience
		for range 200 {
			p.took(0, false)
		}
		is.Equal(p.limit(), mostPatience)
	})
}
