package work_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"siskincross/core/work"
)

// updateDirectory has all workers register. If the model lists workers late, no scheduler knows of a restart before, unless
// the worker reports it.
func (m *model) updateDirectory() { m.directory = m.currentListings() }

// listings returns the directory as a scheduler reads it now.
func (m *model) listings() []work.WorkerInfo {
	if m.listsLate {
		return slices.Clone(m.directory)
	}
	return m.currentListings()
}

// currentListings returns the workers that are alive.
func (m *model) currentListings() []work.WorkerInfo {
	var list []work.WorkerInfo
	for _, w := range m.workers {
		if w.alive {
			list = append(list, work.WorkerInfo{
				Incarnation: w.incarnation, Address: w.incarnation.Worker, Pool: modelPool, Draining: w.draining,
				Capacity: work.Resources{MilliCores: w.listedCores(m.now) * 1000, MemoryMB: 1000},
			})
		}
	}
	return list
}

// isUnknowable reports whether an order is that of an earlier holder to an incarnation that has ended. If workers are listed
// late, the later incarnation may not have seen the newer epoch, and nobody can know of what it starts.
func (m *model) isUnknowable(o work.Order, w *modelWorker) bool {
	return m.listsLate && o.Epoch != m.epoch && w.incarnation != o.Incarnation
}

// TestInterleavingsOfLateListings runs random interleavings in which the directory lists restarts of workers late, and in
// which answers to orders don't tell which incarnation answered.
func TestInterleavingsOfLateListings(t *testing.T) {
	run := func(t *testing.T, allowsGivenUpJobs bool) {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t)
			m.listsLate, m.allowsGivenUpJobs = true, allowsGivenUpJobs
			m.updateDirectory()
			t.Repeat(m.actions())
		})
	}
	t.Run("starts", func(t *testing.T) { run(t, true) })
	t.Run("given up jobs", func(t *testing.T) { run(t, false) })
}
