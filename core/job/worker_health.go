package job

import "time"

// evidence is one failed task on a worker.
type evidence struct {
	job   ID
	group string
	at    time.Time
	// age is how long the task ran before it failed.
	age time.Duration
	// convicted is true once the job ran well elsewhere, so that the worker was at fault.
	convicted bool
	// doubted is true once the job has failed on several workers, so that it is likely at fault.
	doubted bool
	// repeatable is false if the job never runs elsewhere, so that only its group can tell.
	repeatable bool
}

// record is what speaks for and against one worker.
type record struct {
	// proved is the latest start of a task that ran well.
	proved time.Time
	// evidence holds the failures since proved whose jobs are not known to fail everywhere.
	evidence []evidence
	// suspected workers get probes only.
	suspected bool
	// probes counts the tasks given while suspected or held; nextProbe is when the next may start.
	probes    int
	nextProbe time.Time
}

// prove notes that a task that started at the given time ran well.
func (r *record) prove(started time.Time) {
	if started.After(r.proved) {
		r.proved = started
	}
	kept := r.evidence[:0]
	for _, e := range r.evidence {
		if e.at.After(started) {
			kept = append(kept, e)
		}
	}
	r.evidence = kept
	if len(kept) == 0 {
		r.suspected, r.probes = false, 0
	}
}

// convict marks the evidence of a job that ran well elsewhere, and returns how long its tasks ran here.
func (r *record) convict(id ID) time.Duration {
	var longest time.Duration
	for i := range r.evidence {
		if r.evidence[i].job == id {
			r.evidence[i].convicted, r.evidence[i].doubted = true, false
			longest = max(longest, r.evidence[i].age)
		}
	}
	return longest
}

// doubt stops counting the evidence of a job that has failed on several
// workers, of which one had run another job well.
func (r *record) doubt(id ID) {
	for i := range r.evidence {
		if r.evidence[i].job == id {
			r.evidence[i].doubted = true
		}
	}
	if !r.suspected {
		r.probes = 0
	}
}

// failures counts the evidence that is not doubted.
func (r *record) failures() int {
	n := 0
	for _, e := range r.evidence {
		if !e.doubted {
			n++
		}
	}
	return n
}

// withdraw drops the evidence of a job that fails everywhere.
func (r *record) withdraw(id ID) {
	kept := r.evidence[:0]
	for _, e := range r.evidence {
		if e.job != id {
			kept = append(kept, e)
		}
	}
	r.evidence = kept
	if len(kept) == 0 {
		r.suspected, r.probes = false, 0
	}
}
