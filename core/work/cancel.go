package work

// CancelJob removes a job that its caller cancelled and stops its runs. The cancellation is already stored.
func (s *Scheduler) CancelJob(id JobID) {
	s.initialise()
	s.recentlyEnded.add(id, endedJob{})
	j := s.jobs[id]
	if j == nil || j.isFinal() {
		return
	}
	s.stopAllRuns(j)
	j.progress = j.progress.WithState(StateCancelled)
	j.storedChanges = j.changeCount
	s.removeJob(j)
}

// GiveUpJob makes a job fail whose progress can't be stored. The end is to be stored like other changes.
func (s *Scheduler) GiveUpJob(id JobID) {
	if j := s.jobs[id]; j != nil && !j.isFinal() {
		s.finishJob(j, StateFailed)
	}
}

// RequestCancel cancels a held job unless it is final, and reports whether it is held. The cancellation is to be stored
// like other changes.
func (s *Scheduler) RequestCancel(id JobID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.isFinal() {
		s.finishJob(j, StateCancelled)
	}
	return true
}
