package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
)

// sample is the outcome of one request that was sent.
type sample struct {
	class   Class
	latency time.Duration
}

// generator runs one plan.
type generator struct {
	plan    Plan
	client  *http.Client
	samples chan sample
}

// Run sends the requests of the plan and returns a report of their outcomes. If ctx is done, Run
// waits for the requests in progress and returns the report up to then with the error of ctx.
func Run(ctx context.Context, plan Plan) (Report, error) {
	plan, err := plan.withDefaults()
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxOutstanding, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		plan:    plan,
		client:  &http.Client{Transport: transport, Timeout: plan.Timeout},
		samples: make(chan sample, plan.MaxOutstanding),
	}
	return g.run(ctx, plan.arrivals())
}

// run sends a request at each due time and records the samples until all requests are completed.
func (g *generator) run(ctx context.Context, due []time.Duration) (Report, error) {
	var report Report
	start := time.Now()
	outstanding := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := 0; i < len(due) && ctx.Err() == nil; {
		timer.Reset(time.Until(start.Add(due[i])))
		select {
		case s := <-g.samples:
			report.record(s.class, s.latency)
			outstanding--
		case <-timer.C:
			if outstanding >= g.plan.MaxOutstanding {
				report.record(ClassOverrun, 0)
			} else {
				outstanding++
				go g.call(ctx, g.plan.URLs[i%len(g.plan.URLs)], start.Add(due[i]))
			}
			i++
		case <-ctx.Done():
		}
	}
	for ; outstanding > 0; outstanding-- {
		s := <-g.samples
		report.record(s.class, s.latency)
	}
	report.Elapsed = time.Since(start)
	return report, ctx.Err()
}

// call sends one request and passes its sample to run.
func (g *generator) call(ctx context.Context, url string, due time.Time) {
	class := g.send(ctx, url)
	g.samples <- sample{class, time.Since(due)}
}

// send sends one request, reads its response and returns the class.
func (g *generator) send(ctx context.Context, url string) Class {
	r, err := http.NewRequestWithContext(ctx, g.plan.Method, url, bytes.NewReader(g.plan.Body))
	if err != nil {
		return ClassBroken
	}
	for name, values := range g.plan.Header {
		r.Header[name] = values
	}
	if g.plan.Keyed {
		r.Header.Set("Idempotency-Key", ulid.Make().String())
	}
	response, err := g.client.Do(r)
	if err != nil {
		return ClassBroken
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return ClassBroken
	}
	return classify(response)
}

// classify returns the class of a request with a complete response. A response without the outcome header
// counts as answered, since a target that is called directly doesn't set it.
func classify(response *http.Response) Class {
	switch response.Header.Get("Siskincross-Outcome") {
	case "not-run":
		return ClassNotRun
	case "unknown":
		return ClassUnknown
	}
	return ClassAnswered
}
