package work

// MissingEnds describes ends of an incarnation that it has forgotten and never listed to this holder. First and Last are their numbers.
type MissingEnds struct {
	Incarnation Incarnation
	First, Last uint64
}

// noteMissingEnds reports the ends before a new one that the worker has not listed. Those that an earlier holder may have acknowledged
// are not missing.
func (s *Scheduler) noteMissingEnds(w *worker, number uint64) {
	if number == w.lastEnd+1 || (w.lastEnd == 0 && !w.knownFromStart) || s.OnMissingEnds == nil {
		return
	}
	s.OnMissingEnds(MissingEnds{Incarnation: w.Incarnation, First: w.lastEnd + 1, Last: number - 1})
}
