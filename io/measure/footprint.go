package measure

import (
	"bufio"
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settleTime is how long a cluster runs before it is measured, so that the
	// hosts are adopted and the duties are spread.
	settleTime = 15 * time.Second
	// measureTime is how long a cluster is measured.
	measureTime = 20 * time.Second
	// maxRows bounds the rows of one kind whose sizes are added up.
	maxRows = 10_000
	percent = 100
)

// footprint is what one entry host of a cluster without callers' work takes.
type footprint struct {
	// processor is processor time in percent of a core.
	processor float64
	// memory is the live heap in bytes.
	memory float64
	// sentBytes is the bytes a second sent to peers.
	sentBytes float64
	// writes and reads are rows a second of all entry hosts together.
	writes, reads float64
	// poolRows and memberRows are the sizes of all pools' and all members' rows in bytes.
	poolRows, memberRows float64
}

// Footprints measures a cluster once for each size and keeps the result. The zero value works.
type Footprints struct {
	bySize map[int]footprint
}

// Measurements returns the series of entry hosts without callers' work.
func (f *Footprints) Measurements(sizes []int) []Measurement {
	series := []struct {
		name, unit, meaning string
		value               func(footprint) float64
	}{
		{"control-processor", "% of a core", "Processor time of one entry host.", func(p footprint) float64 { return p.processor }},
		{"control-memory", "bytes", "Live heap of one entry host.", func(p footprint) float64 { return p.memory }},
		{"control-sent", "bytes/s", "What one entry host sends to its peers.", func(p footprint) float64 { return p.sentBytes }},
		{"store-writes", "rows/s", "Rows that all entry hosts write.", func(p footprint) float64 { return p.writes }},
		{"store-reads", "rows/s", "Rows that all entry hosts read.", func(p footprint) float64 { return p.reads }},
		{"pool-rows", "bytes", "All pools' rows.", func(p footprint) float64 { return p.poolRows }},
		{"member-rows", "bytes", "All members' rows.", func(p footprint) float64 { return p.memberRows }},
	}
	measurements := make([]Measurement, len(series))
	for i, s := range series {
		measurements[i] = Measurement{
			Name: s.name, Unit: s.unit, Meaning: s.meaning, Sizes: sizes,
			Run: func(ctx context.Context, size int) (float64, error) {
				p, err := f.forSize(ctx, size)
				return s.value(p), err
			},
		}
	}
	return measurements
}

func (f *Footprints) forSize(ctx context.Context, size int) (footprint, error) {
	if p, ok := f.bySize[size]; ok {
		return p, nil
	}
	p, err := measureFootprint(ctx, size)
	if err != nil {
		return p, err
	}
	if f.bySize == nil {
		f.bySize = make(map[int]footprint)
	}
	f.bySize[size] = p
	return p, nil
}

// counterSnapshot is the state of all counters at one time.
type counterSnapshot struct {
	at            time.Time
	processor     time.Duration
	sent          float64
	writes, reads float64
}

func measureFootprint(ctx context.Context, size int) (footprint, error) {
	before := liveHeap()
	c, err := startCluster(ctx, size)
	if err != nil {
		return footprint{}, err
	}
	time.Sleep(settleTime)
	first, err := c.snapshot(ctx)
	if err != nil {
		return footprint{}, errors.Join(err, c.kill())
	}
	time.Sleep(measureTime)
	second, err := c.snapshot(ctx)
	if err != nil {
		return footprint{}, errors.Join(err, c.kill())
	}
	memory := (liveHeap() - before) / entryHosts
	p := usageBetween(first, second)
	p.memory = memory
	p.poolRows, err = c.rowBytes(ctx, "pool/")
	if err != nil {
		return p, errors.Join(err, c.kill())
	}
	p.memberRows, err = c.rowBytes(ctx, "member/")
	return p, errors.Join(err, c.kill())
}

// rowBytes returns the size of all rows with a prefix.
func (c *cluster) rowBytes(ctx context.Context, prefix string) (float64, error) {
	rows, err := c.platform.Table.Scan(ctx, prefix, "", maxRows)
	if err != nil {
		return 0, errors.Wrapf(err, "scan %s", prefix)
	}
	total := 0
	for _, row := range rows {
		total += len(row.Key) + len(row.Value)
	}
	return float64(total), nil
}

func usageBetween(first, second counterSnapshot) footprint {
	seconds := second.at.Sub(first.at).Seconds()
	return footprint{
		processor: (second.processor - first.processor).Seconds() / seconds / entryHosts * percent,
		sentBytes: (second.sent - first.sent) / seconds / entryHosts,
		writes:    (second.writes - first.writes) / seconds,
		reads:     (second.reads - first.reads) / seconds,
	}
}

func (c *cluster) snapshot(ctx context.Context) (counterSnapshot, error) {
	r := counterSnapshot{at: time.Now()}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return r, errors.Wrap(err, "read the processor time")
	}
	r.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	counts := c.platform.Table.Counts()
	r.writes, r.reads = float64(counts.Writes), float64(counts.Reads)
	for _, n := range c.nodes {
		sent, err := scrapeMetric(ctx, n.Addresses().Operators, "siskincross_peer_sent_bytes")
		if err != nil {
			return r, err
		}
		r.sent += sent
	}
	return r, nil
}

// scrapeMetric returns the value of a metric without tags of its own.
func scrapeMetric(ctx context.Context, address, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "make the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "read the metrics")
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && strings.HasPrefix(fields[0], name+"{") {
			return strconv.ParseFloat(fields[len(fields)-1], 64)
		}
	}
	return 0, errors.Newf("there is no metric %s", name)
}

func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
