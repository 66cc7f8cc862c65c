package replay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// Options say what to replay and how.
type Options struct {
	// Directory holds the trace, the template and the parameters.
	Directory string
	// Speed divides the times of the trace; zero means 1.
	Speed float64
	// Seed makes the callers' choices reproducible; zero means 1.
	Seed uint64
	// Progress receives a line a second; nil means none.
	Progress io.Writer
	// EntryHosts is the number of entry hosts at the start; zero means 3.
	EntryHosts int

	// StartEntryHost starts an entry host; nil means one of the real code in this process.
	StartEntryHost func(ctx context.Context, spec EntryHostSpec) (EntryHost, error)
	// Operator is how operators reach entry hosts; the zero value means their HTTP API.
	Operator OperatorClient
	// Jobs is how callers reach the job API; the zero value means its HTTP API.
	Jobs JobClient
	// Queues returns the pool of each queue of a template with parameters; nil means what the real code expands.
	Queues func(organisation, template, parameters string) (map[string]string, error)
}

const (
	defaultEntryHosts = 3
	defaultSeed       = 1
	// adoptTimeout bounds the time until the entry hosts have adopted all hosts.
	adoptTimeout = 30 * time.Second
	adoptPoll    = 50 * time.Millisecond
	// jobsGrace bounds the wait for jobs behind the end of the trace.
	jobsGrace        = 20 * time.Second
	progressInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Seed == 0 {
		o.Seed = defaultSeed
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.EntryHosts == 0 {
		o.EntryHosts = defaultEntryHosts
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCallers}}
	if o.StartEntryHost == nil {
		o.StartEntryHost = startNode
	}
	if o.Operator.Apply == nil {
		o.Operator = newOperatorClient(client)
	}
	if o.Queues == nil {
		o.Queues = queuesOf
	}
	if o.Jobs.Submit == nil {
		o.Jobs = newJobClient(client)
	}
	return o
}

// stage is everything that takes part in one replay.
type stage struct {
	options    Options
	trace      Trace
	fleet      standin.Fleet
	platform   *standin.Platform
	ownership  *ownership
	cluster    *cluster
	callers    *callers
	submitters *submitters
	operators  *operators
	begun      time.Time
	// events counts the events in progress.
	events sync.WaitGroup
	mu     sync.Mutex
	// failure is the first event that could not be carried out.
	failure error
}

// Run replays the trace of a directory and judges it. The error tells that the
// replay could not be carried out; broken properties are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	defer silence()()
	trace, err := Load(options.Directory)
	if err != nil {
		return Report{}, err
	}
	texts, err := loadTexts(options.Directory)
	if err != nil {
		return Report{}, err
	}
	s := newStage(options, trace, texts)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := s.platform.Start(ctx)
	if s.platform.Address() == "" {
		return Report{}, fmt.Errorf("start the stand-in of the platform: %w", <-ended)
	}
	s.cluster.platform = s.platform.Address()
	evidence, err := s.play(ctx)
	cancel()
	if endErr := <-ended; err == nil && endErr != nil {
		err = fmt.Errorf("the stand-in of the platform: %w", endErr)
	}
	if err != nil {
		return Report{}, err
	}
	return newReport(evidence, options), nil
}

// silence keeps what net/http says of spoilt answers away from the progress, until the returned function is called.
func silence() (restore func()) {
	previous := log.Writer()
	log.SetOutput(io.Discard)
	return func() { log.SetOutput(previous) }
}

func newStage(options Options, trace Trace, texts texts) *stage {
	fleet := trace.Fleet(options.Seed)
	homes := make(map[host.ID]string)
	zones := make(map[string]bool)
	s := &stage{options: options, trace: trace, fleet: fleet, platform: standin.New(fleet)}
	s.cluster = &cluster{start: options.StartEntryHost}
	for _, spec := range fleet.Hosts {
		homes[spec.ID] = spec.HomePool
		if !zones[spec.Place.Zone] {
			zones[spec.Place.Zone] = true
			s.cluster.zones = append(s.cluster.zones, spec.Place.Zone)
		}
	}
	for _, e := range trace.of(KindSettings) {
		s.cluster.settings = e
	}
	s.ownership = newOwnership(homes)
	s.platform.Table.Observe(s.ownership.observe)
	prefix := fmt.Sprintf("s%d", options.Seed)
	s.callers = newCallers(s.cluster, prefix)
	s.submitters = &submitters{cluster: s.cluster, client: options.Jobs, prefix: prefix}
	s.operators = &operators{
		cluster: s.cluster, client: options.Operator, texts: texts,
		http: &http.Client{Transport: &http.Transport{}},
	}
	return s
}

// play sets everything up, carries out the events, waits for what they started and gathers the evidence.
func (s *stage) play(ctx context.Context) (Evidence, error) {
	if err := s.setUp(ctx); err != nil {
		return Evidence{}, err
	}
	defer s.cluster.stopAll(context.WithoutCancel(ctx))
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchers sync.WaitGroup
	watchers.Go(func() { _ = s.cluster.check(background) })
	watchers.Go(func() { _ = s.operators.probe(background) })
	watchers.Go(func() { s.report(background) })
	s.begun = time.Now()
	jobs, stopJobs := context.WithTimeout(ctx, scaled(s.trace.Length(), s.options.Speed)+jobsGrace)
	defer stopJobs()
	for _, e := range s.trace.Events {
		if !sleep(ctx, time.Until(s.begun.Add(scaled(e.At, s.options.Speed)))) {
			return Evidence{}, ctx.Err()
		}
		s.begin(jobs, e)
	}
	ended := time.Now()
	s.events.Wait()
	e := Evidence{Trace: s.trace, speed: s.options.Speed, Begun: s.begun, Ended: ended, ownership: s.ownership, fleet: s.fleet}
	e.Calls = s.callers.wait()
	e.Jobs = s.submitters.wait()
	s.callers.client.CloseIdleConnections()
	cancel()
	watchers.Wait()
	s.cluster.stopAll(ctx)
	return s.gather(e)
}

// setUp starts the entry hosts, applies the first configuration and waits until all hosts are adopted.
func (s *stage) setUp(ctx context.Context) error {
	for index := range s.options.EntryHosts {
		if _, err := s.cluster.launch(ctx, index, ""); err != nil {
			return err
		}
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for _, p := range s.cluster.running() {
		if err := s.cluster.await(ctx, p); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for s.ownership.adopted() < len(s.fleet.Hosts) {
		if !sleep(ctx, adoptPoll) {
			return fmt.Errorf("after %s, %d of %d hosts are adopted", adoptTimeout, s.ownership.adopted(), len(s.fleet.Hosts))
		}
	}
	return nil
}

// configure applies the first configuration.
func (s *stage) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	first := s.operators.texts
	applied := s.options.Operator.Apply(ctx, s.cluster.running()[0].Operators, Proposal{
		Organisation: first.organisation, Template: first.template, Parameters: first.parameters,
	})
	if !applied.Accepted {
		return fmt.Errorf("the first configuration was not accepted: %s", applied.Error)
	}
	return nil
}

// begin starts an event. Events that last go on while the next ones begin.
func (s *stage) begin(jobs context.Context, e Event) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(e.Line)))
	s.events.Go(func() {
		if err := s.carryOut(jobs, e, random); err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.failure == nil {
				s.failure = fmt.Errorf("trace line %d: %w", e.Line, err)
			}
		}
	})
}

func (s *stage) gather(e Evidence) (Evidence, error) {
	e.Changes, e.Probes = s.operators.records()
	e.Stops, e.Killed = s.cluster.records()
	e.Records = s.platform.Records()
	var err error
	last := s.operators.texts
	e.pools, err = s.options.Queues(last.organisation, last.template, last.parameters)
	return e, errors.Join(s.failure, err)
}

// report writes a line a second.
func (s *stage) report(ctx context.Context) {
	for sleep(ctx, progressInterval) {
		counts := s.callers.counts()
		var parts []string
		for _, outcome := range OutcomeValues() {
			if counts[outcome] > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", outcome, counts[outcome]))
			}
		}
		elapsed := time.Since(s.begun).Round(time.Second)
		fmt.Fprintf(s.options.Progress, "%s of %s: %s\n", elapsed, scaled(s.trace.Length(), s.options.Speed), strings.Join(parts, ", "))
	}
}

func organisationOf(queue string) string {
	organisation, _, _ := strings.Cut(queue, "/")
	return organisation
}
