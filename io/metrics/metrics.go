// Package metrics makes the tally scope of a process and serves it in the Prometheus text form.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the scope hands its values to the reporter.
const reportInterval = time.Second

// Metrics is the root scope of one process. New makes one.
type Metrics struct {
	// Scope receives all metrics of the process.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text form.
	Handler http.Handler

	closer io.Closer
}

// New returns the metrics of a process. Tags are added to every metric. A metric
// whose name is in use with other tags is left out rather than ending the process.
func New(tags map[string]string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      prom.NewRegistry(),
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "siskincross",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),

		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "stop reporting metrics")
}

// sanitizeOptions keeps the values of tags as they are, since names of hosts and
// pools hold hyphens and slashes, and makes names fit for Prometheus.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges: []tally.SanitizeRange{{' ', '~'}},
	}
	return &options
}
