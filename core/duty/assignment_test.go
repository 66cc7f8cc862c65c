package duty_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

// assignEqual assigns duties of equal weight to members of unknown capacity.
func assignEqual(holders map[string]string, live, stable []string) map[string]string {
	return duty.Assignment(duties(holders), duty.Membership{Live: live, Stable: stable})
}

// duties returns duties of equal weight with the given holders.
func duties(holders map[string]string) map[string]duty.Duty {
	result := make(map[string]duty.Duty, len(holders))
	for name, holder := range holders {
		result[name] = duty.Duty{Holder: holder}
	}
	return result
}

func TestSpread(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	count := func(assignment map[string]string) map[string]int {
		counts := make(map[string]int)
		for _, member := range assignment {
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
			for _, held := range count(assignEqual(unheld(n), live, live)) {
				is.True(held <= (n+3)/4)
			}
		}
	})
	t.Run("result is a fixed point", func(t *testing.T) {
		is := is.New(t)
		once := assignEqual(unheld(7), live, live)
		is.Equal(assignEqual(once, live, live), once)
	})
	t.Run("only the duties of a failed member move", func(t *testing.T) {
		is := is.New(t)
		before := assignEqual(unheld(4), live, live)
		after := assignEqual(before, live[1:], live[1:])
		for name, member := range before {
			is.True(after[name] == member || member == "a")
			is.True(after[name] != "a")
		}
	})
	t.Run("joining member takes only what exceeds the share of another", func(t *testing.T) {
		is := is.New(t)
		before := assignEqual(unheld(4), live[1:], live[1:])
		after := assignEqual(before, live, live)
		moved := 0
		for name, member := range before {
			if after[name] != member {
				moved++
				is.Equal(after[name], "a")
			}
		}
		is.Equal(moved, 1)
	})
	t.Run("duties of failed members go to stable members only", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "gone", "q": "gone", "r": "gone", "s": "b", "t": "c"}
		after := assignEqual(holders, live, []string{"b"})
		is.Equal(after, map[string]string{"p": "b", "q": "b", "r": "b", "s": "b", "t": "c"})
	})
	t.Run("duties of failed members go to new members if all are new", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "gone", "q": "gone"}
		is.Equal(len(count(assignEqual(holders, live, nil))), 2)
	})
	t.Run("no members", func(t *testing.T) {
		is.New(t).Equal(len(assignEqual(unheld(3), nil, nil)), 0)
	})
}
