package work_test

import (
	"time"

	"pgregory.net/rapid"

	"siskincross/core/work"
)

// modelMaxListingDelay is the longest time until the directory lists a change of a worker's capacity.
const modelMaxListingDelay = 1500 * time.Millisecond

// modelCapacity is a number of cores that a worker offers from a time on, and that the directory lists from another.
type modelCapacity struct {
	cores           int
	since, listedAt time.Time
}

// changeCapacity changes the number of cores of a worker. The directory lists the change later.
func (m *model) changeCapacity(t *rapid.T) {
	w := m.drawWorker()
	delay := time.Duration(rapid.IntRange(0, int(modelMaxListingDelay.Milliseconds())).Draw(t, "listed after")) * time.Millisecond
	cores := rapid.IntRange(0, modelCores).Draw(t, "cores")
	m.log("%v has %d cores, listed in %s", w.incarnation, cores, delay)
	listedAt := m.now.Add(delay)
	if last := w.capacities[len(w.capacities)-1]; listedAt.Before(last.listedAt) {
		listedAt = last.listedAt
	}
	w.capacities = append(w.capacities, modelCapacity{cores: cores, since: m.now, listedAt: listedAt})
}

// cores returns the number of cores that the worker offers now.
func (w *modelWorker) cores() int { return w.capacities[len(w.capacities)-1].cores }

// listedCores returns the number of cores that the directory lists.
func (w *modelWorker) listedCores(now time.Time) int {
	cores := 0
	for _, c := range w.capacities {
		if !now.Before(c.listedAt) {
			cores = c.cores
		}
	}
	return cores
}

// highestCores returns the highest number of cores that a start may count on: that of now, or one that the directory can
// still list.
func (w *modelWorker) highestCores(now time.Time) int {
	highest := w.cores()
	for i, c := range w.capacities[:len(w.capacities)-1] {
		if now.Sub(w.capacities[i+1].since) <= modelMaxListingDelay {
			highest = max(highest, c.cores)
		}
	}
	return highest
}

// checkCapacity checks that a start leaves the worker within its capacity. Orders that are carried out late may exceed it,
// since the capacity may have changed since.
func (m *model) checkCapacity(w *modelWorker, o work.Order, late bool) {
	if highest := w.highestCores(m.now); !late && len(w.runs) >= highest {
		m.t.Fatalf("%s starts on %v beside %d runs, with %d cores", o.Run, w.incarnation, len(w.runs), highest)
	}
}
