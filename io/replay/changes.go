package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
)

// Change is an operator's record of one change of the configuration.
type Change struct {
	// Marker is the full name of a queue that only this change adds.
	Marker  string    `json:"marker"`
	Started time.Time `json:"begun"`
	Ended   time.Time `json:"ended"`
	// Race tells that a second operator concurrently applied another change based on the same version.
	Race bool `json:"race,omitempty"`
	ApplyResult
}

// ApplyResult is the response to an operator who applied a change.
type ApplyResult struct {
	Accepted bool `json:"accepted,omitempty"`
	// Conflict tells that another change was accepted first and this one has no effect.
	Conflict bool   `json:"conflict,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Probe records whether an entry host knew a queue at one moment.
type Probe struct {
	Marker  string    `json:"marker"`
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	Known   bool      `json:"known"`
}

// Proposal is a change that an operator sends.
type Proposal struct {
	// ID identifies the change when it is sent again after a lost response.
	ID string
	// BaseVersion is the version of the organisation's configuration that the change is based on; zero for the first.
	BaseVersion  uint64
	Organisation string
	// Template and Parameters are TOML documents.
	Template, Parameters string
}

// OperatorClient is the client that the replay's operators use.
type OperatorClient struct {
	// CurrentVersion returns the version of the organisation's configuration in force; zero means none.
	CurrentVersion func(ctx context.Context, address, organisation string) (uint64, error)
	// Apply sends a change to the entry host at address.
	Apply func(ctx context.Context, address string, proposal Proposal) ApplyResult
}

const (
	// probeInterval is the period of probing each entry host for each change.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	// applyTimeout limits the execution of one event of kind apply, with all attempts.
	applyTimeout = 20 * time.Second
	// maxApplyAttempts limits the attempts to apply a change while entry hosts or the platform are unavailable.
	maxApplyAttempts = 8
	applyRetryDelay  = 500 * time.Millisecond
)

// operators applies the changes of a trace and probes all entry hosts for them.
type operators struct {
	cluster    *cluster
	client     OperatorClient
	httpClient *http.Client

	mu sync.Mutex
	// configuration is the last accepted configuration.
	configuration configuration
	changes       []Change
	probes        []Probe
	markers       []string
}

// apply executes an event of kind apply. Rival changes are applied
// concurrently through different entry hosts.
func (o *operators) apply(ctx context.Context, e Event) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current := o.lastAccepted()
	base, err := o.currentVersion(ctx, current.organisation)
	if err != nil {
		return err
	}
	race := e.RivalMarker != ""
	var group sync.WaitGroup
	group.Go(func() {
		o.applyChange(ctx, base, current.withQueue(e.Marker, e.Pool, e.Values), Change{Marker: current.qualifiedName(e.Marker), Race: race})
	})
	if race {
		group.Go(func() {
			o.applyChange(ctx, base, current.withQueue(e.RivalMarker, e.Pool, e.RivalValues), Change{Marker: current.qualifiedName(e.RivalMarker), Race: race})
		})
	}
	group.Wait()
	return nil
}

// lastAccepted returns the last accepted configuration.
func (o *operators) lastAccepted() configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.configuration
}

// currentVersion asks entry hosts for the version in force until one responds.
func (o *operators) currentVersion(ctx context.Context, organisation string) (version uint64, err error) {
	for range maxApplyAttempts {
		var p *process
		if p, err = o.cluster.nextHealthy(); err == nil {
			version, err = o.client.CurrentVersion(ctx, p.OperatorAddress, organisation)
		}
		if err == nil || !sleep(ctx, applyRetryDelay) {
			break
		}
	}
	return version, err
}

// applyChange applies one change and records it.
func (o *operators) applyChange(ctx context.Context, base uint64, next configuration, c Change) {
	c.Started = time.Now()
	o.mu.Lock()
	o.markers = append(o.markers, c.Marker)
	o.mu.Unlock()
	c.ApplyResult = o.sendProposal(ctx, Proposal{
		ID: ulid.Make().String(), BaseVersion: base, Organisation: next.organisation, Template: next.template, Parameters: next.parameters,
	})
	c.Ended = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, c)
	if c.Accepted {
		o.configuration = next
	}
}

// sendProposal sends a change to entry hosts in turn until it is accepted or conflicts with another one.
func (o *operators) sendProposal(ctx context.Context, proposal Proposal) (result ApplyResult) {
	for range maxApplyAttempts {
		p, err := o.cluster.nextHealthy()
		if err != nil {
			result.Error = err.Error()
		} else {
			result = o.client.Apply(ctx, p.OperatorAddress, proposal)
		}
		if result.Accepted || result.Conflict || !sleep(ctx, applyRetryDelay) {
			break
		}
	}
	return result
}

// probePeriodically probes all entry hosts for all changes until ctx ends.
func (o *operators) probePeriodically(ctx context.Context) error {
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
		for _, p := range o.cluster.acceptingCallers() {
			for _, marker := range markers {
				group.Go(func() { o.probeQueue(ctx, p, marker) })
			}
		}
		group.Wait()
	}
}

// probeQueue sends a request to the queue through one entry host, as a caller
// does, and records whether the entry host knows the queue. An entry host that
// does not know it responds with 404. A probe without a response shows nothing and
// is not recorded.
func (o *operators) probeQueue(ctx context.Context, p *process, marker string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	at := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerAddress+"/queues/"+marker+"/probe", nil)
	if err != nil {
		return
	}
	request.Header.Set(headerIdempotent, "true")
	response, err := o.httpClient.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes = append(o.probes, Probe{Marker: marker, Process: p.name, At: at, Known: response.StatusCode != http.StatusNotFound})
}

// records returns the changes and probes so far.
func (o *operators) records() ([]Change, []Probe) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Change(nil), o.changes...), append([]Probe(nil), o.probes...)
}
