package runner_test

import (
	"testing"
	"time"

	"siskincross/io/platform"
)

// The needs of all pools change many times a second, and each holder of a pool followed them all, though only the holder of the duty
// for hosts acts on them.
func TestHostsTable(t *testing.T) {
	counted := &usageCounter{}
	runFakeSite(t, fakeSite{usage: counted, extraPools: manyHostsPools - 1, movableHosts: true}, 7, 1, func(s *fakeSite) {
		counted.reset()
		const changes, pause = 200, 25 * time.Millisecond
		for i := range changes {
			s.store.put(platform.RowKey{Table: "hosts", Partition: "other", Key: "need"}, map[string]int{"ask": i})
			time.Sleep(pause)
		}
		// One call for each change by the holder of the duty for hosts, and one in 150 ms by each holder of a pool.
		s.is.True(counted.callsFor("feed of hosts") <= changes+manyHostsPools*int(changes*pause/(150*time.Millisecond)))
	})
}
