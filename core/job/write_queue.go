package job

import (
	"strings"
	"time"

	"siskincross/core/host"
)

// holderCommitPrefix begins the commit IDs of duty holders. Commit IDs of callers never begin with it.
const holderCommitPrefix = "holder-"

// HolderCommitID returns a commit ID for a write of a duty holder.
func HolderCommitID(unique string) string {
	return holderCommitPrefix + unique
}

// writeQueue holds the jobs whose rows must be written, urgent jobs separately.
type writeQueue struct {
	urgent, normal []*entry
	// commands holds the throttle commands that are not sent yet.
	commands []Command
}

func (l *writeQueue) add(e *entry) {
	if e.dirty {
		return
	}
	e.dirty = true
	if e.job.Spec.Urgent {
		l.urgent = append(l.urgent, e)
	} else {
		l.normal = append(l.normal, e)
	}
}

func (l *writeQueue) markWritten(e *entry) {
	e.dirty = false
}

// markDirty marks a job's row for writing.
func (s *Scheduler) markDirty(e *entry) {
	e.job.Epoch = s.epoch
	s.writeQueue.add(e)
}

// PendingWrites returns up to limit jobs whose rows must be written. Urgent jobs come first, and within each
// class the oldest change.
func (s *Scheduler) PendingWrites(limit int) []Job {
	var list []Job
	for _, queue := range []*[]*entry{&s.writeQueue.urgent, &s.writeQueue.normal} {
		*queue = removeWritten(*queue)
		for _, e := range *queue {
			if len(list) == limit {
				return list
			}
			list = append(list, e.job)
		}
	}
	return list
}

// PendingWriteCount returns the number of jobs whose rows must be written.
func (s *Scheduler) PendingWriteCount() int {
	s.writeQueue.urgent = removeWritten(s.writeQueue.urgent)
	s.writeQueue.normal = removeWritten(s.writeQueue.normal)
	return len(s.writeQueue.urgent) + len(s.writeQueue.normal)
}

func removeWritten(queue []*entry) []*entry {
	kept := queue[:0]
	for _, e := range queue {
		if e.dirty {
			kept = append(kept, e)
		}
	}
	clear(queue[len(kept):])
	return kept
}

// TaskStart is a committed attempt whose task must be started.
type TaskStart struct {
	Host host.ID
	Job  Job
}

// HandleCommitted processes the successful commit of rows. It returns the attempts to start.
func (s *Scheduler) HandleCommitted(rows []Job) []TaskStart {
	var starts []TaskStart
	for _, row := range rows {
		e := s.jobs[row.ID]
		if e == nil {
			continue
		}
		e.storedCommitID = row.CommitID
		e.job.Version = 0
		if !sameDecision(e.job, row) {
			continue
		}
		e.dirty = false
		e.job.CommitID = row.CommitID
		if IsFinal(e.job.State) {
			s.deleteEntry(e)
			continue
		}
		if t := e.task; t != nil && !t.dispatched && e.job.State == StateRunning {
			t.dispatched = true
			starts = append(starts, TaskStart{Host: e.job.Host, Job: e.job})
		}
	}
	return starts
}

func sameDecision(a, b Job) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Checkpoint == b.Checkpoint && a.Reason == b.Reason
}

// ReconcileOutcome is what a row read from the store means for a pending write.
type ReconcileOutcome int

// Outcomes of Reconcile.
const (
	// ReconcileWrite means that the row is as expected, and that the write may be retried with its version.
	ReconcileWrite ReconcileOutcome = iota
	// ReconcileApplied means that the row already holds the pending write.
	ReconcileApplied
	// ReconcileAdopted means that a caller changed the row and that memory was updated.
	ReconcileAdopted
)

// Reconcile compares a row read from the store with the write that was sent for it. It merges a caller's
// change into memory.
func (s *Scheduler) Reconcile(row, sent Job, now time.Time) ReconcileOutcome {
	e := s.jobs[row.ID]
	if e == nil {
		return ReconcileAdopted
	}
	byHolder := strings.HasPrefix(row.CommitID, holderCommitPrefix)
	switch {
	case byHolder && sameDecision(row, sent):
		return ReconcileApplied
	case IsFinal(row.State):
		s.LoadJob(row, now)
		return ReconcileAdopted
	case row.CommitID == e.storedCommitID || byHolder:
		e.job.Version = row.Version
		return ReconcileWrite
	}
	s.mergeCallerRow(e, row, now)
	return ReconcileAdopted
}

// ApplyCallerRow merges a row that a caller wrote into memory. Rows older than memory are ignored.
func (s *Scheduler) ApplyCallerRow(row Job, now time.Time) {
	s.init()
	e := s.jobs[row.ID]
	switch {
	case e == nil:
		s.LoadJob(row, now)
	case row.CommitID == e.storedCommitID || strings.HasPrefix(row.CommitID, holderCommitPrefix):
		return
	case e.dirty:
		e.job.Version = 0
	default:
		s.mergeCallerRow(e, row, now)
	}
}

// mergeCallerRow merges a caller's change of a row with pending decisions.
func (s *Scheduler) mergeCallerRow(e *entry, row Job, now time.Time) {
	merged, ok := Merge(row, e.job)
	if ok {
		e.storedCommitID = row.CommitID
		e.job = merged
		s.backlog.remove(e)
		s.markDirty(e)
		return
	}
	if e.task != nil && row.State == StateCancelling && row.Attempt == e.job.Attempt {
		e.job, e.storedCommitID = row, row.CommitID
		s.writeQueue.markWritten(e)
		s.evict(e.task, evictCancel, now)
		return
	}
	s.LoadJob(row, now)
}

// InvalidateVersions clears the versions of rows, so that the rows are read again before they are written.
func (s *Scheduler) InvalidateVersions(rows []Job) {
	for _, row := range rows {
		if e := s.jobs[row.ID]; e != nil {
			e.job.Version = 0
		}
	}
}

// RemoveJob removes a job whose row no longer exists.
func (s *Scheduler) RemoveJob(id ID) {
	if e := s.jobs[id]; e != nil {
		s.detachEntry(e)
		s.writeQueue.markWritten(e)
		s.deleteEntry(e)
	}
}
