package work

// ProgressChange is one job's progress to be stored.
type ProgressChange struct {
	ID       JobID
	Queue    string
	Version  uint64
	Progress Progress
	// mark is the job's count of changes that the progress holds.
	mark uint64
}

// BeginCommit returns up to limit changed jobs, final ones first, and marks them as being committed.
func (b *Scheduler) BeginCommit(limit int) []ProgressChange {
	var list []ProgressChange
	for _, final := range []bool{true, false} {
		for _, j := range b.dirty {
			if len(list) == limit {
				return list
			}
			if j.committing || j.final() != final {
				continue
			}
			j.committing = true
			list = append(list, ProgressChange{ID: j.ID, Queue: j.Queue, Version: j.version, Progress: j.progress, mark: j.changes})
		}
	}
	return list
}

// HasPendingChanges reports whether Changes would return any, and whether any of them is final.
func (b *Scheduler) HasPendingChanges() (changed, final bool) {
	for _, j := range b.dirty {
		if !j.committing {
			changed = true
			final = final || j.final()
		}
	}
	return changed, final
}

// CompleteCommit notes that changes are stored, as the version.
func (b *Scheduler) CompleteCommit(changes []ProgressChange, version uint64) {
	for _, c := range changes {
		j := b.jobs[c.ID]
		if j == nil {
			continue
		}
		j.committing = false
		j.version = version
		j.stored = c.mark
		if j.stored == j.changes {
			b.dirty = withoutJob(b.dirty, j)
		}
		if c.Progress.State.Final() {
			b.forget(j)
		}
	}
}

// AbortCommit notes that the changes are not stored and have to be tried again.
func (b *Scheduler) AbortCommit(changes []ProgressChange) {
	for _, c := range changes {
		if j := b.jobs[c.ID]; j != nil {
			j.committing = false
		}
	}
}

// ResolveConflict takes in the stored row of a job that another writer changed meanwhile. A caller's cancel
// stands. Else the row is an earlier commit of ours whose answer was lost, and the next one follows it.
func (b *Scheduler) ResolveConflict(id JobID, stored Progress, version uint64) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	j.committing = false
	if stored.State.Final() {
		b.abandon(j)
		j.progress = j.progress.WithState(stored.State)
		j.stored = j.changes
		b.forget(j)
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

// JobsUpToVersion returns the jobs whose newest stored row is not later than a version.
func (b *Scheduler) JobsUpToVersion(version uint64) []JobID {
	var ids []JobID
	for id, j := range b.jobs {
		if j.version <= version {
			ids = append(ids, id)
		}
	}
	return ids
}
