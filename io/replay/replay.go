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

// Options configure a replay.
type Options struct {
	// Directory holds the trace, the template and the parameters.
	Directory string
	// Speed divides the times of the trace; zero means 1.
	Speed float64
	// Seed initialises the random choices of the callers; zero means 1.
	Seed uint64
	// Progress receives a line per second; nil means that no progress is written.
	Progress io.Writer
	// EntryHosts is the number of entry hosts at the start; zero means 3.
	EntryHosts int
	// Until holds back the end of the trace until it returns true for the verdicts on what was recorded so far, or until
	// the entry hosts have done several times as much as the trace takes; nil means that the end is not held back.
	Until func([]Verdict) bool

	// StartEntryHost starts an entry host; nil means that a complete entry host is started
	// in this process.
	StartEntryHost func(ctx context.Context, spec EntryHostSpec) (EntryHost, error)
	// Operator is the client that operators use; the zero value means a client of the HTTP API.
	Operator OperatorClient
	// Jobs is the client that callers submit jobs with; the zero value means a client of the HTTP API.
	Jobs JobClient
	// QueuePools returns the pool of each queue of a template with parameters; nil means that they are expanded as
	// an entry host does.
	QueuePools func(organisation, template, parameters string) (map[string]string, error)
}

const (
	defaultEntryHosts = 3
	defaultSeed       = 1
	// adoptionTimeout limits the time that the entry hosts take to adopt all hosts.
	adoptionTimeout      = 30 * time.Second
	adoptionPollInterval = 50 * time.Millisecond
	// jobsGrace limits the wait for unfinished jobs after the end of the trace.
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
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	if o.StartEntryHost == nil {
		o.StartEntryHost = startNode
	}
	if o.Operator.Apply == nil {
		o.Operator = newOperatorClient(client)
	}
	if o.QueuePools == nil {
		o.QueuePools = queuePools
	}
	if o.Jobs.Submit == nil {
		o.Jobs = newJobClient(client)
	}
	return o
}

// replayer holds the participants and the state of one replay.
type replayer struct {
	options    Options
	trace      Trace
	fleet      standin.Fleet
	platform   *standin.Platform
	ownership  *ownership
	cluster    *cluster
	callers    *callers
	submitters *submitters
	operators  *operators
	started    time.Time
	// inProgress waits for the events in progress.
	inProgress sync.WaitGroup
	mu         sync.Mutex
	// firstError is the error of the first event that could not be executed.
	firstError error
}

// Run replays the trace of a directory and checks the properties on what was
// recorded. It returns an error if the replay could not be executed; violated
// properties are part of the report.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	defer discardLogs()()
	trace, err := Load(options.Directory)
	if err != nil {
		return Report{}, err
	}
	initial, err := loadConfiguration(options.Directory)
	if err != nil {
		return Report{}, err
	}
	r := newReplayer(options, trace, initial)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := r.platform.Start(ctx)
	if r.platform.Address() == "" {
		return Report{}, fmt.Errorf("start the platform stand-in: %w", <-ended)
	}
	r.cluster.platformAddress = r.platform.Address()
	history, err := r.run(ctx)
	cancel()
	if endErr := <-ended; err == nil && endErr != nil {
		err = fmt.Errorf("platform stand-in: %w", endErr)
	}
	if err != nil {
		return Report{}, err
	}
	return newReport(history, options), nil
}

// discardLogs discards the output of the standard logger until the returned
// function is called. Otherwise net/http would log each corrupted response among
// the lines of the progress.
func discardLogs() (restore func()) {
	previous := log.Writer()
	log.SetOutput(io.Discard)
	return func() { log.SetOutput(previous) }
}

// newReplayer creates the platform stand-in, and the cluster, callers and operators that use it. It starts none of them.
func newReplayer(options Options, trace Trace, initial configuration) *replayer {
	fleet := trace.Fleet(options.Seed)
	homes := make(map[host.ID]string)
	zones := make(map[string]bool)
	r := &replayer{options: options, trace: trace, fleet: fleet, platform: standin.New(fleet)}
	r.cluster = &cluster{startEntryHost: options.StartEntryHost}
	for _, spec := range fleet.Hosts {
		homes[spec.ID] = spec.HomePool
		if !zones[spec.Place.Zone] {
			zones[spec.Place.Zone] = true
			r.cluster.zones = append(r.cluster.zones, spec.Place.Zone)
		}
	}
	for _, e := range trace.eventsOfKind(KindSettings) {
		r.cluster.settings = e
	}
	r.ownership = newOwnership(homes)
	r.platform.Table.SetCommitObserver(r.ownership.observe)
	prefix := fmt.Sprintf("s%d", options.Seed)
	r.callers = newCallers(r.cluster, prefix)
	r.submitters = &submitters{cluster: r.cluster, client: options.Jobs, prefix: prefix}
	r.operators = &operators{
		cluster: r.cluster, client: options.Operator, configuration: initial,
		httpClient: &http.Client{Transport: &http.Transport{}},
	}
	return r
}

// run sets the deployment up, executes the events, waits for the work that they
// started and returns the recorded history.
func (r *replayer) run(ctx context.Context) (History, error) {
	if err := r.setUp(ctx); err != nil {
		return History{}, err
	}
	defer r.cluster.stopAll(context.WithoutCancel(ctx))
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchers sync.WaitGroup
	watchers.Go(func() { _ = r.cluster.runHealthChecks(background) })
	watchers.Go(func() { _ = r.operators.probePeriodically(background) })
	watchers.Go(func() { r.reportProgress(background) })
	r.started = time.Now()
	jobsCtx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	for _, e := range r.trace.Events {
		if !sleep(ctx, time.Until(r.started.Add(scaled(e.At, r.options.Speed)))) {
			return History{}, ctx.Err()
		}
		r.startEvent(jobsCtx, e)
	}
	if err := r.holdEnd(ctx); err != nil {
		return History{}, err
	}
	ended := time.Now()
	defer time.AfterFunc(jobsGrace, stopJobs).Stop()
	r.inProgress.Wait()
	h := History{Trace: r.trace, speed: r.options.Speed, Started: r.started, Ended: ended, ownership: r.ownership, fleet: r.fleet}
	h.Calls = r.callers.wait()
	h.Jobs = r.submitters.wait()
	r.callers.client.CloseIdleConnections()
	cancel()
	watchers.Wait()
	r.cluster.stopAll(ctx)
	return r.collectHistory(h)
}

// setUp starts the entry hosts, applies the initial configuration and waits until the entry hosts have adopted all hosts.
func (r *replayer) setUp(ctx context.Context) error {
	for index := range r.options.EntryHosts {
		if _, err := r.cluster.launch(ctx, index, ""); err != nil {
			return err
		}
	}
	if err := r.applyInitialConfiguration(ctx); err != nil {
		return err
	}
	for _, p := range r.cluster.running() {
		if err := r.cluster.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, adoptionTimeout)
	defer cancel()
	for r.ownership.adoptedCount() < len(r.fleet.Hosts) {
		if !sleep(ctx, adoptionPollInterval) {
			return fmt.Errorf("after %s, only %d of %d hosts are adopted", adoptionTimeout, r.ownership.adoptedCount(), len(r.fleet.Hosts))
		}
	}
	return nil
}

// applyInitialConfiguration applies the configuration of the replayed directory.
func (r *replayer) applyInitialConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	initial := r.operators.configuration
	applied := r.options.Operator.Apply(ctx, r.cluster.running()[0].OperatorAddress, Proposal{
		Organisation: initial.organisation, Template: initial.template, Parameters: initial.parameters,
	})
	if !applied.Accepted {
		return fmt.Errorf("initial configuration was not accepted: %s", applied.Error)
	}
	return nil
}

// startEvent executes an event concurrently, so that an event that lasts overlaps with those that follow it.
func (r *replayer) startEvent(jobsCtx context.Context, e Event) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(e.Line)))
	r.inProgress.Go(func() {
		if err := r.execute(jobsCtx, e, random); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.firstError == nil {
				r.firstError = fmt.Errorf("trace line %d: %w", e.Line, err)
			}
		}
	})
}

// collectHistory completes h with what the platform, the operators and the cluster recorded.
func (r *replayer) collectHistory(h History) (History, error) {
	h.Changes, h.Probes = r.operators.records()
	h.Stops, h.Killed = r.cluster.records()
	h.Records = r.platform.Records()
	last := r.operators.lastAccepted()
	var err error
	h.pools, err = r.options.QueuePools(last.organisation, last.template, last.parameters)
	r.mu.Lock()
	defer r.mu.Unlock()
	return h, errors.Join(r.firstError, err)
}

// reportProgress writes the number of calls by outcome once per second.
func (r *replayer) reportProgress(ctx context.Context) {
	for sleep(ctx, progressInterval) {
		counts := r.callers.outcomeCounts()
		var parts []string
		for _, outcome := range OutcomeValues() {
			if counts[outcome] > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", outcome, counts[outcome]))
			}
		}
		elapsed := time.Since(r.started).Round(time.Second)
		fmt.Fprintf(r.options.Progress, "%s of %s: %s\n", elapsed, scaled(r.trace.Duration(), r.options.Speed), strings.Join(parts, ", "))
	}
}

// queueOrganisation returns the organisation in the full name of a queue.
func queueOrganisation(queue string) string {
	organisation, _, _ := strings.Cut(queue, "/")
	return organisation
}
