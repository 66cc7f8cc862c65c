package work

// ProgressChange is the changed progress of one job, to be stored.
type ProgressChange struct {
	ID JobID
	// Organisation names the job's organisation; empty if it has none.
	Organisation string
	Version      uint64
	Progress     Progress
	// changeCount is the number of the job's changes that Progress includes.
	changeCount uint64
}

// BeginCommit returns up to limit changed jobs, final ones first, and marks them as being committed.
func (s *Scheduler) BeginCommit(limit int) []ProgressChange {
	var list []ProgressChange
	for _, final := range []bool{true, false} {
		for _, j := range s.dirty {
			if len(list) == limit {
				return list
			}
			if j.committing || j.isFinal() != final {
				continue
			}
			j.committing = true
			list = append(list, ProgressChange{ID: j.ID, Organisation: j.Organisation, Version: j.version, Progress: j.progress, changeCount: j.changeCount})
		}
	}
	return list
}

// HasPendingChanges reports whether BeginCommit would return any changes, and whether one of them is final.
func (s *Scheduler) HasPendingChanges() (changed, final bool) {
	for _, j := range s.dirty {
		if !j.committing {
			changed = true
			final = final || j.isFinal()
		}
	}
	return changed, final
}

// CompleteCommit records that the changes are stored with the given version.
func (s *Scheduler) CompleteCommit(changes []ProgressChange, version uint64) {
	for _, c := range changes {
		j := s.jobs[c.ID]
		if j == nil {
			continue
		}
		j.committing = false
		j.version = version
		j.storedChanges = c.changeCount
		if j.storedChanges == j.changeCount {
			s.dirty = withoutJob(s.dirty, j)
		}
		if c.Progress.State.IsFinal() {
			s.removeJob(j)
		}
	}
}

// AbortCommit records that the changes are not stored. BeginCommit returns them again.
func (s *Scheduler) AbortCommit(changes []ProgressChange) {
	for _, c := range changes {
		if j := s.jobs[c.ID]; j != nil {
			j.committing = false
		}
	}
}

// ResolveConflict processes the stored row of a job that was changed by another write. A cancellation by the
// caller is final. Otherwise the row is an earlier commit of this scheduler whose answer was lost, and the next
// commit builds on it.
func (s *Scheduler) ResolveConflict(id JobID, stored Progress, version uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.committing = false
	if stored.State.IsFinal() {
		s.stopAllRuns(j)
		j.progress = j.progress.WithState(stored.State)
		j.storedChanges = j.changeCount
		s.removeJob(j)
		return
	}
	j.version = version
}

func withoutJob(list []*job, j *job) []*job {
	kept := list[:0]
	for _, other := range list {
		if other != j {
			kept = append(kept, other)
		}
	}
	return kept
}

// JobsUpToVersion returns the jobs whose latest known stored row has at most this version.
func (s *Scheduler) JobsUpToVersion(version uint64) []JobID {
	var ids []JobID
	for id, j := range s.jobs {
		if j.version <= version {
			ids = append(ids, id)
		}
	}
	return ids
}
