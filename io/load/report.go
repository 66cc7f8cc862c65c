package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Class -transform=kebab -trimprefix=Class -output=report_enumer.go

// Class is how a request ended, as its caller saw it.
type Class int

// Classes of ended requests.
const (
	// ClassAnswered requests got a whole answer of a target.
	ClassAnswered Class = iota
	ClassNotRun
	ClassUnknown
	// ClassBroken requests got no answer or a cut one.
	ClassBroken
	// ClassOverrun requests were due while too many were under way, and not sent.
	ClassOverrun
)

const (
	// maxTrackedLatency bounds the histograms; longer latencies count as this.
	maxTrackedLatency = time.Minute
	significantDigits = 3
	// columnGap is the number of spaces between the columns of the table.
	columnGap = 2
)

// Report holds the latencies of a run, from the moment that each request was due.
type Report struct {
	// Elapsed is the time from the first request due to the last that ended.
	Elapsed time.Duration
	classes [ClassOverrun + 1]*hdrhistogram.Histogram
}

// Count returns the number of requests of a class.
func (r Report) Count(c Class) int64 {
	if r.classes[c] == nil {
		return 0
	}
	return r.classes[c].TotalCount()
}

// Total returns the number of requests due.
func (r Report) Total() int64 {
	total := int64(0)
	for _, c := range ClassValues() {
		total += r.Count(c)
	}
	return total
}

// Latency returns a quantile in [0, 1] of the latencies of a class.
func (r Report) Latency(c Class, quantile float64) time.Duration {
	if r.classes[c] == nil {
		return 0
	}
	return time.Duration(r.classes[c].ValueAtQuantile(quantile*100)) * time.Microsecond
}

// Print writes a table of the latencies by class.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "outcome\trequests\tper second\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, c := range ClassValues() {
		if r.Count(c) == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%.1f\t", c, r.Count(c), float64(r.Count(c))/r.Elapsed.Seconds())
		for _, quantile := range []float64{0.5, 0.9, 0.99, 0.999, 1} {
			fmt.Fprintf(t, "%s\t", r.Latency(c, quantile))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func (r *Report) record(c Class, latency time.Duration) {
	if r.classes[c] == nil {
		r.classes[c] = hdrhistogram.New(1, maxTrackedLatency.Microseconds(), significantDigits)
	}
	micros := min(max(latency, time.Microsecond), maxTrackedLatency).Microseconds()
	// The value is within the histogram's bounds, so recording it can't fail.
	_ = r.classes[c].RecordValue(micros)
}
