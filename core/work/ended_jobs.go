package work

// endedJobs holds the jobs that ended most recently. The zero value is empty.
type endedJobs struct {
	known map[JobID]endedJob
	order []JobID
}

// endedJob is what is kept of a job that has ended.
type endedJob struct {
	// organisation is the job's organisation, if ownerKnown.
	organisation string
	// ownerKnown is false for a job that the scheduler never held.
	ownerKnown bool
}

// maxEndedJobs is the number of jobs kept. At 100 jobs a second they cover about 40 s, far longer than a read of
// the store takes.
const maxEndedJobs = 4096

// add adds a job. What was known of it before is replaced only by an owner.
func (e *endedJobs) add(id JobID, job endedJob) {
	if _, ok := e.known[id]; ok {
		if job.ownerKnown {
			e.known[id] = job
		}
		return
	}
	if e.known == nil {
		e.known = make(map[JobID]endedJob)
	}
	e.known[id] = job
	e.order = append(e.order, id)
	if len(e.order) > maxEndedJobs {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedJobs) has(id JobID) bool {
	_, ok := e.known[id]
	return ok
}

// hasOf reports whether a job is held that belongs to the organisation.
func (e *endedJobs) hasOf(id JobID, organisation string) bool {
	j := e.known[id]
	return j.ownerKnown && j.organisation == organisation
}
