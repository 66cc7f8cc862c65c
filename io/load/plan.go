// Package load implements an open-loop load generator. It sends each request at its scheduled
// time, whether or not earlier requests have completed, and measures latency from that
// time. This avoids coordinated omission: a slow server can't hide its latency by
// slowing the generator down.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Plan describes the load and the URLs that receive it.
type Plan struct {
	// URLs receive the requests in turn.
	URLs []string
	// Phases run one after another.
	Phases []Phase
	// Method is the HTTP method; GET if empty.
	Method string
	Header http.Header
	Body   []byte
	// Keyed adds a unique Idempotency-Key header to every request.
	Keyed bool
	// Timeout is the time limit of one request; 10 s if zero.
	Timeout time.Duration
	// MaxOutstanding is the maximum number of requests in progress; 10,000 if zero. A request that is due while
	// this many are in progress is not sent and counts as ClassOverrun.
	MaxOutstanding int
	// Seed is the seed of the random arrival times. The same seed gives the same arrival times.
	Seed uint64
}

// Phase is a period of constant mean load.
type Phase struct {
	// Rate is the mean number of requests per second. The intervals between requests are exponentially distributed.
	Rate float64
	// Length is the duration of the phase.
	Length time.Duration
}

// ErrInvalidPlan is returned for a plan that can't be run.
type ErrInvalidPlan struct {
	Reason string
}

// Error implements error.
func (e ErrInvalidPlan) Error() string {
	return fmt.Sprintf("invalid load plan: %s", e.Reason)
}

const (
	defaultTimeout        = 10 * time.Second
	defaultMaxOutstanding = 10000
)

// withDefaults validates the plan and returns it with the defaults of empty fields.
func (p Plan) withDefaults() (Plan, error) {
	if len(p.URLs) == 0 {
		return p, ErrInvalidPlan{"no URL is given"}
	}
	for _, phase := range p.Phases {
		if phase.Rate <= 0 || phase.Length <= 0 {
			return p, ErrInvalidPlan{"a phase must have a positive rate and length"}
		}
	}
	if p.Method == "" {
		p.Method = http.MethodGet
	}
	if p.Timeout == 0 {
		p.Timeout = defaultTimeout
	}
	if p.MaxOutstanding == 0 {
		p.MaxOutstanding = defaultMaxOutstanding
	}
	return p, nil
}

// arrivals returns the times at which requests are due, relative to the start of the run.
func (p Plan) arrivals() []time.Duration {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	var due []time.Duration
	start := time.Duration(0)
	for _, phase := range p.Phases {
		end := start + phase.Length
		at := start
		for {
			at += time.Duration(rng.ExpFloat64() / phase.Rate * float64(time.Second))
			if at >= end {
				break
			}
			due = append(due, at)
		}
		start = end
	}
	return due
}
