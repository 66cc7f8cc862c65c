package duty_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

// spreadEvenly spreads duties of equal weight over members of unknown capacity.
func spreadEvenly(holders map[string]string, live, steady []string) map[string]string {
	return duty.Spread(duties(holders), duty.Fleet{Live: live, Steady: steady})
}

func duties(holders map[string]string) map[string]duty.Duty {
	result := make(map[string]duty.Duty, len(holders))
	for name, holder := range holders {
		result[name] = duty.Duty{Holder: holder}
	}
	return result
}

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
			for _, held := range count(spreadEvenly(unheld(n), live, live)) {
				is.True(held <= (n+3)/4)
			}
		}
	})
	t.Run("result is a fixed point", func(t *testing.T) {
		is := is.New(t)
		once := spreadEvenly(unheld(7), live, live)
		is.Equal(spreadEvenly(once, live, live), once)
	})
	t.Run("duties of a member that is gone alone move", func(t *testing.T) {
		is := is.New(t)
		before := spreadEvenly(unheld(4), live, live)
		after := spreadEvenly(before, live[1:], live[1:])
		for name, member := range before {
			is.True(after[name] == member || member == "a")
			is.True(after[name] != "a")
		}
	})
	t.Run("member that comes gets what another has too much of, and no more", func(t *testing.T) {
		is := is.New(t)
		before := spreadEvenly(unheld(4), live[1:], live[1:])
		after := spreadEvenly(before, live, live)
		moved := 0
		for name, member := range before {
			if after[name] != member {
				moved++
				is.Equal(after[name], "a")
			}
		}
		is.Equal(moved, 1)
	})
	t.Run("duties of members that are gone go to steady members only", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "gone", "q": "gone", "r": "gone", "s": "b", "t": "c"}
		after := spreadEvenly(holders, live, []string{"b"})
		is.Equal(after, map[string]string{"p": "b", "q": "b", "r": "b", "s": "b", "t": "c"})
	})
	t.Run("duties of members that are gone go to new members when all are new", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "gone", "q": "gone"}
		is.Equal(len(count(spreadEvenly(holders, live, nil))), 2)
	})
	t.Run("nobody is there", func(t *testing.T) {
		is.New(t).Equal(len(spreadEvenly(unheld(3), nil, nil)), 0)
	})
}
