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

// measurementTime is how long the use of the store is counted.
const measurementTime = 30 * time.Second

// settlingTime is how long a deployment is left alone before its use of the store is counted.
const settlingTime = 20 * time.Second

// hostStartInterval is the time between the starts of two entry hosts: they do not renew their rows in step.
const hostStartInterval = 37 * time.Millisecond

// idleStoreUse returns the use of the store a second by the control of a deployment without jobs.
func idleStoreUse(t *testing.T, hosts, pools int) (use map[string]storeUsage, sum storeUsage) {
	t.Helper()
	counted := &usageCounter{}
	runFakeSite(t, fakeSite{usage: counted, extraPools: pools - 1, movableHosts: true, startInterval: hostStartInterval}, hosts, 2, func(s *fakeSite) {
		time.Sleep(settlingTime)
		counted.reset()
		time.Sleep(measurementTime)
		use, sum = counted.usageByPurpose(), counted.totalUsage()
	})
	return use, sum
}

// perSecond tells a use of the store a second.
func (t storeUsage) perSecond() string {
	seconds := measurementTime.Seconds()
	return fmt.Sprintf("%.1f calls, %.0f rows, %.1f KB a second", float64(t.calls)/seconds, float64(t.rows)/seconds, float64(t.bytes)/seconds/1000)
}

// logUse logs a use of the store by purpose.
func logUse(t *testing.T, hosts int, use map[string]storeUsage, sum storeUsage) {
	t.Helper()
	t.Logf("%d entry hosts: %s", hosts, sum.perSecond())
	for _, purpose := range slices.Sorted(maps.Keys(use)) {
		t.Logf("  %-18s %s", purpose, use[purpose].perSecond())
	}
}

// catalogueWithPools returns a configuration with further pools beside the one that has a queue.
func catalogueWithPools(queue work.Queue, morePools int) work.Catalogue {
	pools := map[string]work.Pool{fakePool: {Name: fakePool, EnforcesCapacity: true}}
	for i := range morePools {
		name := fmt.Sprintf("desk%02d", i)
		pools[name] = work.Pool{Name: name, EnforcesCapacity: true}
	}
	return work.Catalogue{Version: 1, Pools: pools}.WithQueues([]work.Queue{queue})
}

// Each entry host logged a line for each other one at a start of all.
func TestLinesAtStart(t *testing.T) {
	const readings = 3
	runFakeSite(t, fakeSite{extraPools: manyHostsPools - 1}, largeSiteHosts, 1, func(s *fakeSite) {
		s.is.True(s.eventCount(event.MemberAppeared) <= largeSiteHosts*readings)
	})
}

// maxControlWrites is how many rows a second the control of all entry hosts may write, by the brief.
const maxControlWrites = 60

// Every entry host renewed its row, and heard of the renewals of all: the control's cost grew with the square of their number.
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
