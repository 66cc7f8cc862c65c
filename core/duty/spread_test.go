package duty_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

func TestSpread(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	count := func(proposed map[string]string) map[string]int {
		counts := make(map[string]int)
		for _, member := range proposed {
			counts[member]++
		}
		return counts
	}
	unheld := func(n int) map[string]string {
		holders := make(map[string]string)
		for i := range n {
			holders[fmt.Sprintf("pool%02d", i)] = ""
		}
		return holders
	}
	t.Run("no member has more than its share", func(t *testing.T) {
		is := is.New(t)
		for n := range 20 {
			for _, held := range count(duty.Spread(unheld(n), live)) {
				is.True(held <= (n+3)/4)
			}
		}
	})
	t.Run("result is a fixed point", func(t *testing.T) {
		is := is.New(t)
		once := duty.Spread(unheld(7), live)
		is.Equal(duty.Spread(once, live), once)
	})
	t.Run("duties of a member that is gone alone move", func(t *testing.T) {
		is := is.New(t)
		before := duty.Spread(unheld(4), live)
		after := duty.Spread(before, live[1:])
		for name, member := range before {
			is.True(after[name] == member || member == "a")
			is.True(after[name] != "a")
		}
	})
	t.Run("member that comes gets what another has too much of, and no more", func(t *testing.T) {
		is := is.New(t)
		before := duty.Spread(unheld(4), live[1:])
		after := duty.Spread(before, live)
		moved := 0
		for name, member := range before {
			if after[name] != member {
				moved++
				is.Equal(after[name], "a")
			}
		}
		is.Equal(moved, 1)
	})
	t.Run("nobody is there", func(t *testing.T) {
		is.New(t).Equal(len(duty.Spread(unheld(3), nil)), 0)
	})
}
