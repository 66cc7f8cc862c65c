package job

import (
	"strings"
	"time"

	"siskincross/core/host"
)

// holderCommitPrefix begins the commit IDs of duty holders. Commits of callers never begin with it.
const holderCommitPrefix = "holder-"

// HolderCommitID returns a commit ID of a duty holder.
func HolderCommitID(unique string) string {
	return holderCommitPrefix + unique
}

// writeQueue holds the jobs whose rows are behind the memory, in two queues.
type writeQueue struct {
	urgent, normal []*entry
	// commands wait to be sent to workers.
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

// markDirty marks a job's row as behind the memory.
func (s *Scheduler) markDirty(e *entry) {
	e.job.Epoch = s.epoch
	s.writeQueue.add(e)
}

// PendingWrites returns up to limit jobs whose rows must be written, urgent ones first, oldest first.
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

// PendingWriteCount counts the jobs whose rows must be written.
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

// TaskStart is an attempt whose commit is known and whose task must be started.
type TaskStart struct {
	Host host.ID
	Job  Job
}

// HandleCommitted notes that rows were written as given. It returns the attempts to start.
func (s *Scheduler) HandleCommitted(rows []Job) []TaskStart {
	var launches []TaskStart
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
			launches = append(launches, TaskStart{Host: e.job.Host, Job: e.job})
		}
	}
	return launches
}

func sameDecision(a, b Job) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Checkpoint == b.Checkpoint && a.Reason == b.Reason
}

// ReconcileOutcome tells what a read row means for the write that is pending for it.
type ReconcileOutcome int

// Verdicts of Reconcile.
const (
	// ReconcileWrite rows are as expected; the write may go on with the row's version.
	ReconcileWrite ReconcileOutcome = iota
	// ReconcileApplied rows hold the pending write already.
	ReconcileApplied
	// ReconcileAdopted rows were changed by a caller, and the memory now follows them.
	ReconcileAdopted
)

// Reconcile compares a row with the write that was sent for it, and takes over a caller's change.
func (s *Scheduler) Reconcile(row, sent Job, now time.Time) ReconcileOutcome {
	e := s.jobs[row.ID]
	if e == nil {
		return ReconcileAdopted
	}
	ours := strings.HasPrefix(row.CommitID, holderCommitPrefix)
	switch {
	case ours && sameDecision(row, sent):
		return ReconcileApplied
	case IsFinal(row.State):
		s.LoadJob(row, now)
		return ReconcileAdopted
	case row.CommitID == e.storedCommitID || ours:
		e.job.Version = row.Version
		return ReconcileWrite
	}
	s.mergeCallerRow(e, row, now)
	return ReconcileAdopted
}

// ApplyCallerRow takes in a row that a caller wrote. Rows that are older than the memory change nothing.
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

// mergeCallerRow merges a caller's change of a row into the memory.
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

// InvalidateVersions forgets the versions of rows, so that they are read before they are written.
func (s *Scheduler) InvalidateVersions(rows []Job) {
	for _, row := range rows {
		if e := s.jobs[row.ID]; e != nil {
			e.job.Version = 0
		}
	}
}

// RemoveJob forgets a job whose row is gone.
func (s *Scheduler) RemoveJob(id ID) {
	if e := s.jobs[id]; e != nil {
		s.detachEntry(e)
		s.writeQueue.markWritten(e)
		s.deleteEntry(e)
	}
}
