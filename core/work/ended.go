package work

// endedJobs remembers the newest jobs that ended. The zero value remembers none.
type endedJobs struct {
	known map[JobID]bool
	order []JobID
}

// endedKept is how many ended jobs are remembered: at a hundred jobs a second those of half a minute,
// far longer than a reading of the store is on its way.
const endedKept = 4096

func (e *endedJobs) add(id JobID) {
	if e.known[id] {
		return
	}
	if e.known == nil {
		e.known = make(map[JobID]bool)
	}
	e.known[id] = true
	e.order = append(e.order, id)
	if len(e.order) > endedKept {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedJobs) has(id JobID) bool { return e.known[id] }
