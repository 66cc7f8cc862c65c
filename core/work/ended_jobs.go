package work

// endedJobs remembers the newest jobs that ended. The zero value remembers none.
type endedJobs struct {
	known map[ID]bool
	order []ID
}

// endedKept is how many ended jobs are remembered: at a hundred jobs a second those of half a minute,
// far longer than a reading of the store is on its way.
const endedKept = 4096

func (e *endedJobs) add(id ID) {
	if e.known[id] {
		return
	}
	if e.known == nil {
		e.known = make(map[ID]bool)
	}
	e.known[id] = true
	e.order = append(e.order, id)
	if len(e.order) > endedKept {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedJobs) has(id ID) bool { return e.known[id] }
