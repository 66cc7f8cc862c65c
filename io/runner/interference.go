package runner

import (
	"fmt"

	"siskincross/core/event"
	"siskincross/core/interference"
)

// maxKindInLog is the maximum number of characters of a kind in a log line. Callers choose the names.
const maxKindInLog = 60

// learnsInterference reports whether tasks that slow each other down are kept apart: by choice, or because organisations
// share the workers, none of which knows the tasks of the others.
func (m *Manager) learnsInterference() bool {
	return m.LearnInterference || !m.Catalogue().Organisations.IsEmpty()
}

// recordInterference records that two kinds of tasks are kept apart from now on, or no longer.
func (h *poolHolder) recordInterference(v interference.Verdict) {
	change, word := "dropped", "no longer slows down"
	if v.Harmful {
		change, word = "reached", "slows down"
	}
	h.manager.scope.Tagged(map[string]string{"verdict": change}).Counter("interference_verdicts").Inc(1)
	h.manager.record(event.Event{Number: event.InterferenceJudged, Pool: h.pool, Detail: fmt.Sprintf(
		"%.*q %s %.*q: factor %.2f, by %.0f observations beside it and %.0f without", maxKindInLog, v.Neighbour, word, maxKindInLog, v.Slowed, v.Factor, v.With, v.Without)})
}
