package jobs

import (
	"time"

	"siskincross/core/job"
)

// expiry is a final job whose row is deleted some time after its end.
type expiry struct {
	id    job.ID
	ended time.Time
}

// retention holds the final jobs of a pool in the order of their ends, about.
type retention struct {
	queue []expiry
}

func (r *retention) add(id job.ID, ended time.Time) {
	r.queue = append(r.queue, expiry{id, ended})
}

// take removes up to limit jobs that ended before the given time.
func (r *retention) take(before time.Time, limit int) []expiry {
	n := 0
	for n < len(r.queue) && n < limit && r.queue[n].ended.Before(before) {
		n++
	}
	taken := append([]expiry(nil), r.queue[:n]...)
	r.queue = r.queue[n:]
	return taken
}

// giveBack returns what was taken and not deleted.
func (r *retention) giveBack(list []expiry) {
	r.queue = append(append([]expiry(nil), list...), r.queue...)
}
