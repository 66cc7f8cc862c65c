package duty_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

func TestChosen(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	capacities := map[string]duty.Capacity{"c": {MilliCores: 800}, "d": {MilliCores: 400}, "a": {MilliCores: 100}}
	t.Run("those with the most capacity stay, and of equal ones the first by name", func(t *testing.T) {
		is.New(t).Equal(duty.Chosen(members, nil, capacities, 3), []string{"c", "d", "a"})
	})
	t.Run("holders stay", func(t *testing.T) {
		is.New(t).Equal(duty.Chosen(members, map[string]bool{"b": true}, capacities, 2), []string{"b", "c"})
	})
	t.Run("all stay if there are not enough", func(t *testing.T) {
		is.New(t).Equal(len(duty.Chosen(members, nil, capacities, 9)), 4)
	})
}

func TestCallFor(t *testing.T) {
	is := is.New(t)
	wanted := duty.Wanted(5)
	is.Equal(duty.CallFor(wanted+3, wanted), duty.CallNone)
	is.Equal(duty.CallFor(wanted, wanted), duty.CallNone)
	is.Equal(duty.CallFor(wanted-1, wanted), duty.CallSome)
	is.Equal(duty.CallFor(wanted/2, wanted), duty.CallAll)
	is.Equal(duty.CallFor(0, wanted), duty.CallAll)
}

// The store was away, and members whose calls were given up later were taken as gone by those that were back first.
func TestReturn(t *testing.T) {
	const lease, allowed = 2 * time.Second, 1500 * time.Millisecond
	row := func(version uint64) []duty.Sighting {
		return []duty.Sighting{{Member: duty.Member{Name: "a"}, Version: version}}
	}
	stale := duty.Ledger{Lease: lease}.WithPoll(row(1), 0).WithPoll(row(1), 1900*time.Millisecond)
	t.Run("member has time to renew its row after a return", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithReturn(allowed)
		is.Equal(len(back.WithPoll(row(1), allowed-1).Lapsed()), 0)
		is.Equal(len(back.WithPoll(row(1), allowed).Lapsed()), 1)
	})
	t.Run("member that renews nothing lapses, however often its owner is cut off", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithReturn(allowed).WithPoll(row(1), time.Second).WithReturn(allowed)
		is.Equal(len(back.WithPoll(row(1), 500*time.Millisecond).Lapsed()), 1)
	})
	t.Run("member that has renewed its row is spared again", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithReturn(allowed).WithPoll(row(2), 0).WithPoll(row(2), 1900*time.Millisecond).WithReturn(allowed)
		is.Equal(len(back.WithPoll(row(2), time.Second).Lapsed()), 0)
	})
	t.Run("member that has lapsed stays so", func(t *testing.T) {
		is := is.New(t)
		lapsed := stale.WithPoll(row(1), time.Second)
		is.Equal(len(lapsed.WithReturn(allowed).Lapsed()), 1)
	})
}
