package route

import (
	"sort"
	"time"
)

// answered returns the latencies of the answered requests that arrived in [from, to), in ascending order.
func (c *cluster) answered(from, to time.Duration) []time.Duration {
	var latencies []time.Duration
	for _, r := range c.done {
		if r.outcome == OutcomeAnswered && r.arrived >= from && r.arrived < to {
			latencies = append(latencies, r.latency)
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies
}

// goodput returns the answers a second in [from, to), as a share of the capacity.
func (c *cluster) goodput(from, to time.Duration) float64 {
	answers := 0
	for _, r := range c.done {
		ended := r.arrived + r.latency
		if r.outcome == OutcomeAnswered && ended >= from && ended < to {
			answers++
		}
	}
	return float64(answers) / (to - from).Seconds() / c.capacity()
}

// share returns the fraction of the requests that ended with an outcome.
func (c *cluster) share(o Outcome) float64 {
	n := 0
	for _, r := range c.done {
		if r.outcome == o {
			n++
		}
	}
	return float64(n) / float64(len(c.done))
}

// quantile returns a quantile of durations in ascending order, or zero if there are none.
func quantile(ascending []time.Duration, q float64) time.Duration {
	if len(ascending) == 0 {
		return 0
	}
	return ascending[min(len(ascending)-1, int(q*float64(len(ascending))))]
}
