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
		is.New(t).Equal(duty.PreferredActive(members, nil, capacities, 3), []string{"c", "d", "a"})
	})
	t.Run("holders stay", func(t *testing.T) {
		is.New(t).Equal(duty.PreferredActive(members, map[string]bool{"b": true}, capacities, 2), []string{"b", "c"})
	})
	t.Run("all stay if there are not enough", func(t *testing.T) {
		is.New(t).Equal(len(duty.PreferredActive(members, nil, capacities, 9)), 4)
	})
}

func TestCallFor(t *testing.T) {
	is := is.New(t)
	wanted := duty.ActiveTarget(5)
	is.Equal(duty.RequiredPromotion(wanted+3, wanted), duty.PromoteNone)
	is.Equal(duty.RequiredPromotion(wanted, wanted), duty.PromoteNone)
	is.Equal(duty.RequiredPromotion(wanted-1, wanted), duty.PromoteSome)
	is.Equal(duty.RequiredPromotion(wanted/2, wanted), duty.PromoteAll)
	is.Equal(duty.RequiredPromotion(0, wanted), duty.PromoteAll)
}

// The store was away, and members whose calls were given up later were taken as gone by those that were back first.
func TestReturn(t *testing.T) {
	const lease, allowed = 2 * time.Second, 1500 * time.Millisecond
	row := func(version uint64) []duty.MemberRow {
		return []duty.MemberRow{{Member: duty.Member{Name: "a"}, Version: version}}
	}
	stale := duty.FailureDetector{Lease: lease}.WithPoll(row(1), 0).WithPoll(row(1), 1900*time.Millisecond)
	t.Run("member has time to renew its row after a return", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(1), allowed-1).Lapsed()), 0)
		is.Equal(len(back.WithPoll(row(1), allowed).Lapsed()), 1)
	})
	t.Run("member that renews nothing lapses, however often its owner is cut off", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed).WithPoll(row(1), time.Second).WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(1), 500*time.Millisecond).Lapsed()), 1)
	})
	t.Run("member that has renewed its row is spared again", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed).WithPoll(row(2), 0).WithPoll(row(2), 1900*time.Millisecond).WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(2), time.Second).Lapsed()), 0)
	})
	t.Run("member that has lapsed stays so", func(t *testing.T) {
		is := is.New(t)
		lapsed := stale.WithPoll(row(1), time.Second)
		is.Equal(len(lapsed.WithRenewalGrace(allowed).Lapsed()), 1)
	})
}
