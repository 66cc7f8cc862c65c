package duty_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

func TestPreferredActive(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	capacities := map[string]duty.Capacity{"c": {MilliCores: 800}, "d": {MilliCores: 400}, "a": {MilliCores: 100}}
	t.Run("largest capacity first, then by name", func(t *testing.T) {
		is.New(t).Equal(duty.PreferredActive(members, nil, capacities, 3), []string{"c", "d", "a"})
	})
	t.Run("holders first", func(t *testing.T) {
		is.New(t).Equal(duty.PreferredActive(members, map[string]bool{"b": true}, capacities, 2), []string{"b", "c"})
	})
	t.Run("all members if there are fewer than wanted", func(t *testing.T) {
		is.New(t).Equal(len(duty.PreferredActive(members, nil, capacities, 9)), 4)
	})
}

func TestRequiredPromotion(t *testing.T) {
	is := is.New(t)
	wanted := duty.ActiveTarget(5)
	is.Equal(duty.RequiredPromotion(wanted+3, wanted), duty.PromoteNone)
	is.Equal(duty.RequiredPromotion(wanted, wanted), duty.PromoteNone)
	is.Equal(duty.RequiredPromotion(wanted-1, wanted), duty.PromoteSome)
	is.Equal(duty.RequiredPromotion(wanted/2, wanted), duty.PromoteAll)
	is.Equal(duty.RequiredPromotion(0, wanted), duty.PromoteAll)
}

// Guards against failing over from live members after an outage of the table service: members whose calls timed
// out later renew their rows later, and the first members to recover considered them failed.
func TestReturn(t *testing.T) {
	const lease, allowed = 2 * time.Second, 1500 * time.Millisecond
	row := func(version uint64) []duty.MemberRow {
		return []duty.MemberRow{{Member: duty.Member{Name: "a"}, Version: version}}
	}
	stale := duty.FailureDetector{Lease: lease}.WithPoll(row(1), 0).WithPoll(row(1), 1900*time.Millisecond)
	t.Run("member has time to renew its row after an outage", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(1), allowed-1).Lapsed()), 0)
		is.Equal(len(back.WithPoll(row(1), allowed).Lapsed()), 1)
	})
	t.Run("member that does not renew its row lapses, however often the observer is cut off", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed).WithPoll(row(1), time.Second).WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(1), 500*time.Millisecond).Lapsed()), 1)
	})
	t.Run("member that has renewed its row gets another grace period", func(t *testing.T) {
		is := is.New(t)
		back := stale.WithRenewalGrace(allowed).WithPoll(row(2), 0).WithPoll(row(2), 1900*time.Millisecond).WithRenewalGrace(allowed)
		is.Equal(len(back.WithPoll(row(2), time.Second).Lapsed()), 0)
	})
	t.Run("lapsed member stays lapsed", func(t *testing.T) {
		is := is.New(t)
		lapsed := stale.WithPoll(row(1), time.Second)
		is.Equal(len(lapsed.WithRenewalGrace(allowed).Lapsed()), 1)
	})
}
