package replay

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Change is an operator's own record of one change of the configuration.
type Change struct {
	// Marker is a queue that only this change adds.
	Marker     string    `json:"marker"`
	Parameters string    `json:"parameters"`
	Begun      time.Time `json:"begun"`
	Ended      time.Time `json:"ended"`
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

// OperatorClient is how the replay's operators reach an entry host.
type OperatorClient struct {
	// Head returns the version in force; zero means none.
	Head func(ctx context.Context, address string) (uint64, error)
	// Apply proposes a template and parameters made from the version base.
	Apply func(ctx context.Context, address string, base uint64, template, parameters []byte) Applied
}

const (
	templateFile   = "template.toml"
	parametersFile = "parameters.toml"
	// probeInterval is the period of looking at each entry host for each change.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	// applyTimeout bounds one change.
	applyTimeout = 20 * time.Second
)

// operators make the changes of a trace and look for them at all entry hosts.
type operators struct {
	directory string
	cluster   *cluster
	client    OperatorClient
	http      *http.Client

	mu      sync.Mutex
	changes []Change
	probes  []Probe
	markers []string
}

// apply carries out an event of kind apply. Rivals apply at the same time at two entry hosts.
func (o *operators) apply(ctx context.Context, e Event) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	p, err := o.cluster.pick()
	if err != nil {
		return err
	}
	base, err := o.client.Head(ctx, p.Operators)
	if err != nil {
		return err
	}
	race := e.Rival != ""
	var group sync.WaitGroup
	group.Go(func() { o.change(ctx, base, Change{Marker: e.Marker, Parameters: e.Parameters, Race: race}) })
	if race {
		group.Go(func() { o.change(ctx, base, Change{Marker: e.RivalMarker, Parameters: e.Rival, Race: race}) })
	}
	group.Wait()
	return nil
}

// change applies one change at the next entry host and records it.
func (o *operators) change(ctx context.Context, base uint64, c Change) {
	c.Begun = time.Now()
	o.mu.Lock()
	o.markers = append(o.markers, c.Marker)
	o.mu.Unlock()
	template, parameters, err := o.read(c.Parameters)
	if err == nil {
		var p *process
		if p, err = o.cluster.pick(); err == nil {
			c.Applied = o.client.Apply(ctx, p.Operators, base, template, parameters)
		}
	}
	if err != nil {
		c.Error = err.Error()
	}
	c.Ended = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, c)
}

func (o *operators) read(name string) (template, parameters []byte, err error) {
	template, err = os.ReadFile(filepath.Join(o.directory, templateFile))
	if err != nil {
		return nil, nil, err
	}
	parameters, err = os.ReadFile(filepath.Join(o.directory, name))
	return template, parameters, err
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
		for _, p := range o.cluster.running() {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Callers+"/queues/"+marker+"/probe", nil)
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
