package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
)

// Change is an operator's own record of one change of the configuration.
type Change struct {
	// Marker is the full name of a queue that only this change adds.
	Marker string    `json:"marker"`
	Begun  time.Time `json:"begun"`
	Ended  time.Time `json:"ended"`
	// Race tells that a second operator applied another change made from the same version.
	Race bool `json:"race,omitempty"`
	Applied
}

// Applied is what an operator was told of a change.
type Applied struct {
	Accepted bool `json:"accepted,omitempty"`
	// Conflict tells that another change came first and this one has no effect.
	Conflict bool   `json:"conflict,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Probe is one look at whether an entry host knows a queue.
type Probe struct {
	Marker  string    `json:"marker"`
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	Known   bool      `json:"known"`
}

// Proposal is a change as an operator sends it.
type Proposal struct {
	// ID makes the change recognisable when it is sent again after a lost answer.
	ID string
	// Base is the organisation's version that the change was made from; zero for the first.
	Base         uint64
	Organisation string
	// Template and Parameters are TOML texts.
	Template, Parameters string
}

// OperatorClient is how the replay's operators reach an entry host.
type OperatorClient struct {
	// Head returns the organisation's version in force; zero means none.
	Head  func(ctx context.Context, address, organisation string) (uint64, error)
	Apply func(ctx context.Context, address string, proposal Proposal) Applied
}

const (
	// probeInterval is the period of looking at each entry host for each change.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	// applyTimeout bounds one change.
	applyTimeout = 20 * time.Second
	// applyTries bounds the proposals of a change while entry hosts or the platform are unavailable.
	applyTries = 8
	applyPause = 500 * time.Millisecond
)

// operators make the changes of a trace and look for them at all entry hosts.
type operators struct {
	cluster *cluster
	client  OperatorClient
	http    *http.Client

	mu sync.Mutex
	// texts is the configuration that was accepted last.
	texts   texts
	changes []Change
	probes  []Probe
	markers []string
}

// apply carries out an event of kind apply. Rivals apply at the same time at two entry hosts.
func (o *operators) apply(ctx context.Context, e Event) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	o.mu.Lock()
	texts := o.texts
	o.mu.Unlock()
	base, err := o.head(ctx, texts.organisation)
	if err != nil {
		return err
	}
	race := e.RivalMarker != ""
	var group sync.WaitGroup
	group.Go(func() {
		o.change(ctx, base, texts.with(e.Marker, e.Pool, e.Values), Change{Marker: texts.full(e.Marker), Race: race})
	})
	if race {
		group.Go(func() {
			o.change(ctx, base, texts.with(e.RivalMarker, e.Pool, e.RivalValues), Change{Marker: texts.full(e.RivalMarker), Race: race})
		})
	}
	group.Wait()
	return nil
}

// head asks entry hosts in turn for the version in force.
func (o *operators) head(ctx context.Context, organisation string) (version uint64, err error) {
	for range applyTries {
		var p *process
		if p, err = o.cluster.pick(); err == nil {
			version, err = o.client.Head(ctx, p.Operators, organisation)
		}
		if err == nil || !sleep(ctx, applyPause) {
			break
		}
	}
	return version, err
}

// change applies one change at the next entry host and records it.
func (o *operators) change(ctx context.Context, base uint64, next texts, c Change) {
	c.Begun = time.Now()
	o.mu.Lock()
	o.markers = append(o.markers, c.Marker)
	o.mu.Unlock()
	c.Applied = o.propose(ctx, Proposal{
		ID: ulid.Make().String(), Base: base, Organisation: next.organisation, Template: next.template, Parameters: next.parameters,
	})
	c.Ended = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, c)
	if c.Accepted {
		o.texts = next
	}
}

// propose sends a change until it was accepted or lost its race.
func (o *operators) propose(ctx context.Context, proposal Proposal) (applied Applied) {
	for range applyTries {
		p, err := o.cluster.pick()
		if err != nil {
			applied.Error = err.Error()
		} else {
			applied = o.client.Apply(ctx, p.Operators, proposal)
		}
		if applied.Accepted || applied.Conflict || !sleep(ctx, applyPause) {
			break
		}
	}
	return applied
}

// probe looks at all entry hosts for all changes until ctx ends.
func (o *operators) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		o.mu.Lock()
		markers := append([]string(nil), o.markers...)
		o.mu.Unlock()
		var group sync.WaitGroup
		for _, p := range o.cluster.accepting() {
			for _, marker := range markers {
				group.Go(func() { o.look(ctx, p, marker) })
			}
		}
		group.Wait()
	}
}

// look asks one entry host for the queue as a caller does. An entry host
// that does not know a queue answers 404; looks without an answer tell nothing.
func (o *operators) look(ctx context.Context, p *process, marker string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	at := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/queues/"+marker+"/probe", nil)
	if err != nil {
		return
	}
	request.Header.Set(headerIdempotent, "true")
	response, err := o.http.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes = append(o.probes, Probe{Marker: marker, Process: p.name, At: at, Known: response.StatusCode != http.StatusNotFound})
}

func (o *operators) records() ([]Change, []Probe) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Change(nil), o.changes...), append([]Probe(nil), o.probes...)
}
