package runner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/core/work"
)

// measurementTime is how long the load on the store is measured.
const measurementTime = 30 * time.Second

// settlingTime is how long a deployment runs before the load on the store is measured.
const settlingTime = 20 * time.Second

// hostStartInterval is the time between the starts of two entry hosts. It keeps their heartbeats out of phase.
const hostStartInterval = 37 * time.Millisecond

// idleStoreUse returns the load on the store by the control plane of a deployment without jobs, by purpose and in
// total.
func idleStoreUse(t *testing.T, hosts, pools int) (use map[string]storeUsage, sum storeUsage) {
	t.Helper()
	usage := &usageCounter{}
	runFakeSite(t, fakeSite{usage: usage, extraPools: pools - 1, movableHosts: true, startInterval: hostStartInterval}, hosts, 2, func(s *fakeSite) {
		time.Sleep(settlingTime)
		usage.reset()
		time.Sleep(measurementTime)
		use, sum = usage.usageByPurpose(), usage.totalUsage()
	})
	return use, sum
}

// perSecond formats the load per second.
func (t storeUsage) perSecond() string {
	seconds := measurementTime.Seconds()
	return fmt.Sprintf("%.1f calls, %.0f rows, %.1f KB a second", float64(t.calls)/seconds, float64(t.rows)/seconds, float64(t.bytes)/seconds/1000)
}

// logUse logs the load on the store by purpose.
func logUse(t *testing.T, hosts int, use map[string]storeUsage, sum storeUsage) {
	t.Helper()
	t.Logf("%d entry hosts: %s", hosts, sum.perSecond())
	for _, purpose := range slices.Sorted(maps.Keys(use)) {
		t.Logf("  %-18s %s", purpose, use[purpose].perSecond())
	}
}

// catalogueWithPools returns a configuration with the pool of the queue and further pools.
func catalogueWithPools(queue work.Queue, extraPools int) work.Catalogue {
	pools := map[string]work.Pool{fakePool: {Name: fakePool, EnforcesCapacity: true}}
	for i := range extraPools {
		name := fmt.Sprintf("desk%02d", i)
		pools[name] = work.Pool{Name: name, EnforcesCapacity: true}
	}
	return work.Catalogue{Version: 1, Pools: pools}.WithQueues([]work.Queue{queue})
}

// TestMemberEventsAtStart guards against an event per pair of entry hosts when all of them start at once.
func TestMemberEventsAtStart(t *testing.T) {
	const readings = 3
	runFakeSite(t, fakeSite{extraPools: manyHostsPools - 1}, largeSiteHosts, 1, func(s *fakeSite) {
		s.is.True(s.eventCount(event.MemberAppeared) <= largeSiteHosts*readings)
	})
}

// maxControlWrites is the maximum number of rows per second that the control plane of all entry hosts may write, as
// required by the specification.
const maxControlWrites = 60

// TestControlOfIdleEntryHosts guards against a load of the control plane that grows with the square of the number of
// entry hosts. It did so when every entry host renewed its row and received the renewals of all others.
func TestControlOfIdleEntryHosts(t *testing.T) {
	rowsEach := make(map[int]float64)
	for _, hosts := range []int{7, 29, 44, 100} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			use, sum := idleStoreUse(t, hosts, manyHostsPools)
			logUse(t, hosts, use, sum)
			rowsEach[hosts] = float64(sum.rows) / float64(hosts)
			is.True(use["heartbeat"].calls <= maxControlWrites*int(measurementTime.Seconds()))
		})
	}
	t.Run("rows delivered to each do not grow with their number", func(t *testing.T) {
		is := is.New(t)
		is.True(rowsEach[44] <= rowsEach[29])
		is.True(rowsEach[100] <= rowsEach[44])
	})
}
