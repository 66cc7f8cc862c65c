package jobs

import (
	"time"

	"siskincross/core/job"
)

// expiringJob is a final job whose row is to be deleted.
type expiringJob struct {
	id    job.ID
	ended time.Time
}

// retentionQueue holds the final jobs of a pool, approximately in the order of their ends.
type retentionQueue struct {
	queue []expiringJob
}

func (r *retentionQueue) add(id job.ID, ended time.Time) {
	r.queue = append(r.queue, expiringJob{id, ended})
}

// takeExpired removes and returns up to limit jobs from the front that ended before the given time.
func (r *retentionQueue) takeExpired(before time.Time, limit int) []expiringJob {
	n := 0
	for n < len(r.queue) && n < limit && r.queue[n].ended.Before(before) {
		n++
	}
	taken := append([]expiringJob(nil), r.queue[:n]...)
	r.queue = r.queue[n:]
	return taken
}

// putBack returns jobs whose rows could not be deleted to the front of the queue.
func (r *retentionQueue) putBack(list []expiringJob) {
	r.queue = append(append([]expiringJob(nil), list...), r.queue...)
}
