package work

import "fmt"

// Inconsistencies returns what is wrong with the scheduler's record of its runs, given the orders that have no answer yet:
// runs that nothing will stop, and counts and marks of unanswered orders that no answer will reset.
func (s *Scheduler) Inconsistencies(unanswered []Order) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	starts, stops := countOrders(unanswered)
	total := 0
	for _, w := range s.sortedWorkers {
		expected := 0
		for _, o := range unanswered {
			if o.Kind == OrderStart && o.Incarnation == w.Incarnation {
				expected++
			}
		}
		if w.startsInFlight != expected {
			report("%v counts %d unanswered starts instead of %d", w.Incarnation, w.startsInFlight, expected)
		}
		for _, r := range sortedRuns(w) {
			key := orderKey{w.Incarnation, r.id}
			if reason := s.runProblem(r, starts[key], stops[key]); reason != "" {
				report("%s on %v %s", r.id, w.Incarnation, reason)
			}
		}
	}
	for _, n := range starts {
		total += n
	}
	if s.startsInFlight != total {
		report("%d starts are unanswered instead of %d", s.startsInFlight, total)
	}
	for r := range s.runsToStop {
		if s.workers[r.worker.Incarnation] != r.worker || r.worker.runs[r.id] != r {
			report("%s is to be stopped and is not a run of a known worker", r.id)
		}
	}
	return found
}

// orderKey identifies the orders about one run on one incarnation.
type orderKey struct {
	incarnation Incarnation
	run         RunID
}

// countOrders counts the start and stop orders by run and incarnation.
func countOrders(orders []Order) (starts, stops map[orderKey]int) {
	starts, stops = make(map[orderKey]int), make(map[orderKey]int)
	for _, o := range orders {
		switch o.Kind {
		case OrderStart:
			starts[orderKey{o.Incarnation, o.Run}]++
		case OrderStop:
			stops[orderKey{o.Incarnation, o.Run}]++
		}
	}
	return starts, stops
}

// runProblem returns what is wrong with a run that has this number of unanswered start and stop orders; empty if nothing
// is.
func (s *Scheduler) runProblem(r *run, starts, stops int) string {
	switch {
	case r.task == nil && s.runsToStop[r] == 0:
		return "is not needed and is not to be stopped"
	case r.task != nil && (s.jobs[r.id.Task.Job] == nil || r.task.group.job.isFinal() || r.task.done):
		return "belongs to a task that needs no runs"
	case r.phase == phaseStarting && starts == 0 && !r.repeatStart:
		return "waits for the answer to a start that nobody sent"
	case r.phase == phaseUncertain && s.runsToStop[r] == 0:
		return "may start at any time and is not to be stopped"
	case r.stopInFlight && stops == 0:
		return "waits for the answer to a stop that nobody sent"
	}
	return ""
}
