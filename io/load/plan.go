// Package load is an open-loop load generator: requests begin when they are due, whether
// or not earlier ones have ended, and their latency counts from that moment. A
// slow server therefore can't hide its latency by slowing the generator down.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Plan says what load to put on which addresses.
type Plan struct {
	// URLs are called in turn.
	URLs []string
	// Phases follow each other.
	Phases []Phase
	// Method is GET if empty.
	Method string
	Header http.Header
	Body   []byte
	// Keyed gives every request an Idempotency-Key of its own.
	Keyed bool
	// Timeout bounds one request; 10 s if zero.
	Timeout time.Duration
	// MaxOutstanding bounds the requests under way; 10,000 if zero. Requests due beyond it count as overrun.
	MaxOutstanding int
	// Seed makes the arrivals repeatable.
	Seed uint64
}

// Phase is a time of steady load.
type Phase struct {
	// Rate is the mean number of requests a second. Gaps between them are exponential.
	Rate   float64
	Length time.Duration
}

// ErrInvalidPlan is returned when a plan can't be run.
type ErrInvalidPlan struct {
	Reason string
}

// Error implements error.
func (e ErrInvalidPlan) Error() string {
	return fmt.Sprintf("the load plan is invalid: %s", e.Reason)
}

const (
	defaultTimeout        = 10 * time.Second
	defaultMaxOutstanding = 10000
)

func (p Plan) withDefaults() (Plan, error) {
	if len(p.URLs) == 0 {
		return p, ErrInvalidPlan{"there is no URL"}
	}
	for _, phase := range p.Phases {
		if phase.Rate <= 0 || phase.Length <= 0 {
			return p, ErrInvalidPlan{"a phase needs a positive rate and length"}
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

// arrivals returns when the requests are due, counted from the beginning.
func (p Plan) arrivals() []time.Duration {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	var due []time.Duration
	begin := time.Duration(0)
	for _, phase := range p.Phases {
		end := begin + phase.Length
		at := begin
		for {
			at += time.Duration(rng.ExpFloat64() / phase.Rate * float64(time.Second))
			if at >= end {
				break
			}
			due = append(due, at)
		}
		begin = end
	}
	return due
}
