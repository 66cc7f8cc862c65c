package work

// PendingJobCounts returns, by queue, the number of jobs without a schedule of their own of which no task has
// started.
func (s *Scheduler) PendingJobCounts() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		if !j.started && j.Repeat.Count == 0 {
			counts[j.Queue]++
		}
	}
	return counts
}

// HasNoJobs reports whether the scheduler holds no job that is not final.
func (s *Scheduler) HasNoJobs() bool { return len(s.jobs) == 0 }

// HoldsJob reports whether the scheduler holds the job: it is not final, or that is not stored yet.
func (s *Scheduler) HoldsJob(id JobID) bool { return s.jobs[id] != nil }

// JobState returns the state of a job, and false if the scheduler does not hold it.
func (s *Scheduler) JobState(id JobID) (State, bool) {
	j := s.jobs[id]
	if j == nil || j.isFinal() {
		return StateQueued, false
	}
	if j.started {
		return StateRunning, true
	}
	return StateQueued, true
}

// JobOrganisation returns the organisation of a job; empty if the job has none or the scheduler does not hold it.
func (s *Scheduler) JobOrganisation(id JobID) string {
	if j := s.jobs[id]; j != nil {
		return j.Organisation
	}
	return ""
}

// findTask returns the task if its job is known and its step is not done. The step is activated if it is not
// active yet: a worker that reports a run of the step proves that an earlier holder saw the ends of its
// dependencies.
func (s *Scheduler) findTask(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || j.isFinal() || id.Step >= len(j.Steps) || id.Occurrence >= j.OccurrenceCount() {
		return nil
	}
	key := stepKey{id.Occurrence, id.Step}
	if !j.activated[key] {
		s.activateStep(j, key)
	}
	return s.activeTask(id)
}

// activeTask returns the task if its step is active.
func (s *Scheduler) activeTask(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	for _, g := range j.groups {
		if g.occurrence == id.Occurrence && g.step == id.Step && id.Index < len(g.tasks) {
			return g.tasks[id.Index]
		}
	}
	return nil
}
