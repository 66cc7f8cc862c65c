package work

// endedJobs holds the IDs of the jobs that ended most recently. The zero value is empty.
type endedJobs struct {
	known map[JobID]bool
	order []JobID
}

// maxEndedJobs is the number of IDs kept. At 100 jobs a second they cover about 40 s, far longer than a read of
// the store takes.
const maxEndedJobs = 4096

func (e *endedJobs) add(id JobID) {
	if e.known[id] {
		return
	}
	if e.known == nil {
		e.known = make(map[JobID]bool)
	}
	e.known[id] = true
	e.order = append(e.order, id)
	if len(e.order) > maxEndedJobs {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedJobs) has(id JobID) bool { return e.known[id] }
