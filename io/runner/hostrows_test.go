package runner_test

import (
	"testing"
	"time"

	"siskincross/io/platform"
)

// TestHostsTable guards against holders of pools that read every change of the pools' needs. These change many times
// a second, and only the holder of the duty for hosts acts on them.
func TestHostsTable(t *testing.T) {
	usage := &usageCounter{}
	runFakeSite(t, fakeSite{usage: usage, extraPools: manyHostsPools - 1, movableHosts: true}, 7, 1, func(s *fakeSite) {
		usage.reset()
		const changes, pause = 200, 25 * time.Millisecond
		for i := range changes {
			s.store.put(platform.RowKey{Table: "hosts", Partition: "other", Key: "need"}, map[string]int{"ask": i})
			time.Sleep(pause)
		}
		// The holder of the duty for hosts makes one call per change, and each holder of a pool one every 150 ms.
		s.is.True(usage.callsFor("feed of hosts") <= changes+manyHostsPools*int(changes*pause/(150*time.Millisecond)))
	})
}
