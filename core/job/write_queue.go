package job

import (
	"strings"
	"time"

	"siskincross/core/host"
)

// commitMark begins the commit IDs of duty holders. Commits of callers never begin with it.
const commitMark = "holder-"

// CommitID returns a commit ID of a duty holder.
func CommitID(unique string) string {
	return commitMark + unique
}

// ledger holds the jobs whose rows are behind the memory, in two queues.
type ledger struct {
	urgent, normal []*entry
	// commands wait to be sent to workers.
	commands []Command
}

func (l *ledger) add(e *entry) {
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

func (l *ledger) clean(e *entry) {
	e.dirty = false
}

// write marks a job's row as behind the memory.
func (s *Scheduler) write(e *entry) {
	e.job.Epoch = s.epoch
	s.ledger.add(e)
}

// Pending returns up to limit jobs whose rows must be written, urgent ones first, oldest first.
func (s *Scheduler) Pending(limit int) []Job {
	var list []Job
	for _, queue := range []*[]*entry{&s.ledger.urgent, &s.ledger.normal} {
		*queue = dropClean(*queue)
		for _, e := range *queue {
			if len(list) == limit {
				return list
			}
			list = append(list, e.job)
		}
	}
	return list
}

// Behind counts the jobs whose rows must be written.
func (s *Scheduler) Behind() int {
	s.ledger.urgent = dropClean(s.ledger.urgent)
	s.ledger.normal = dropClean(s.ledger.normal)
	return len(s.ledger.urgent) + len(s.ledger.normal)
}

func dropClean(queue []*entry) []*entry {
	kept := queue[:0]
	for _, e := range queue {
		if e.dirty {
			kept = append(kept, e)
		}
	}
	clear(queue[len(kept):])
	return kept
}

// Launch is an attempt whose commit is known and whose task must be started.
type Launch struct {
	Host host.ID
	Job  Job
}

// Committed notes that rows were written as given. It returns the attempts to start.
func (s *Scheduler) Committed(rows []Job) []Launch {
	var launches []Launch
	for _, row := range rows {
		e := s.jobs[row.ID]
		if e == nil {
			continue
		}
		e.base = row.Commit
		e.job.Version = 0
		if !sameDecision(e.job, row) {
			continue
		}
		e.dirty = false
		e.job.Commit = row.Commit
		if Final(e.job.State) {
			s.forget(e)
			continue
		}
		if t := e.task; t != nil && !t.dispatched && e.job.State == StateRunning {
			t.dispatched = true
			launches = append(launches, Launch{Host: e.job.Host, Job: e.job})
		}
	}
	return launches
}

func sameDecision(a, b Job) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Checkpoint == b.Checkpoint && a.Reason == b.Reason
}

// Verdict tells what a read row means for the write that is pending for it.
type Verdict int

// Verdicts of Reconcile.
const (
	// VerdictWrite rows are as expected; the write may go on with the row's version.
	VerdictWrite Verdict = iota
	// VerdictApplied rows hold the pending write already.
	VerdictApplied
	// VerdictAdopted rows were changed by a caller, and the memory now follows them.
	VerdictAdopted
)

// Reconcile compares a row with the write that was sent for it, and takes over a caller's change.
func (s *Scheduler) Reconcile(row, sent Job, now time.Time) Verdict {
	e := s.jobs[row.ID]
	if e == nil {
		return VerdictAdopted
	}
	ours := strings.HasPrefix(row.Commit, commitMark)
	switch {
	case ours && sameDecision(row, sent):
		return VerdictApplied
	case Final(row.State):
		s.Put(row, now)
		return VerdictAdopted
	case row.Commit == e.base || ours:
		e.job.Version = row.Version
		return VerdictWrite
	}
	s.adopt(e, row, now)
	return VerdictAdopted
}

// Adopt takes in a row that a caller wrote. Rows that are older than the memory change nothing.
func (s *Scheduler) Adopt(row Job, now time.Time) {
	s.init()
	e := s.jobs[row.ID]
	switch {
	case e == nil:
		s.Put(row, now)
	case row.Commit == e.base || strings.HasPrefix(row.Commit, commitMark):
		return
	case e.dirty:
		e.job.Version = 0
	default:
		s.adopt(e, row, now)
	}
}

// adopt merges a caller's change of a row into the memory.
func (s *Scheduler) adopt(e *entry, row Job, now time.Time) {
	merged, ok := Merge(row, e.job)
	if ok {
		e.base = row.Commit
		e.job = merged
		s.backlog.remove(e)
		s.write(e)
		return
	}
	if e.task != nil && row.State == StateCancelling && row.Attempt == e.job.Attempt {
		e.job, e.base = row, row.Commit
		s.ledger.clean(e)
		s.leave(e.task, leaveCancel, now)
		return
	}
	s.Put(row, now)
}

// Unread forgets the versions of rows, so that they are read before they are written.
func (s *Scheduler) Unread(rows []Job) {
	for _, row := range rows {
		if e := s.jobs[row.ID]; e != nil {
			e.job.Version = 0
		}
	}
}

// Drop forgets a job whose row is gone.
func (s *Scheduler) Drop(id ID) {
	if e := s.jobs[id]; e != nil {
		s.release(e)
		s.ledger.clean(e)
		s.forget(e)
	}
}
