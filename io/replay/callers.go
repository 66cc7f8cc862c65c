package replay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskincross/io/standin"
)

// Headers between callers and entry hosts.
const (
	headerTeam       = "Siskincross-Team"
	headerTimeout    = "Siskincross-Timeout"
	headerIdempotent = "Siskincross-Idempotent"
	headerUrgent     = "Siskincross-Urgent"
	headerOutcome    = "Siskincross-Outcome"
	// headerKey is spelt so that net/http's transport does not repeat requests that have it.
	headerKey = "idempotency-key"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Outcome -transform=kebab -text -json -trimprefix=Outcome -output=outcome_enumer.go

// Outcome is what a caller was told of its request.
type Outcome int

// Outcomes of calls, as the caller saw them.
const (
	// OutcomeNone calls ended without a word of the system: the connection broke before the header of an answer.
	OutcomeNone Outcome = iota
	// OutcomeNotSent calls reached no entry host.
	OutcomeNotSent
	OutcomeAnswered
	// OutcomeAborted calls were answered and the answer broke off visibly.
	OutcomeAborted
	OutcomeNotRun
	OutcomeUnknown
)

// Call is a caller's own record of one request.
type Call struct {
	// Serial is unique over all calls.
	Serial     string    `json:"serial"`
	Queue      string    `json:"queue"`
	Key        string    `json:"key,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Process    string    `json:"process"`
	Begun      time.Time `json:"begun"`
	Ended      time.Time `json:"ended"`
	Outcome    Outcome   `json:"outcome"`
	Status     int       `json:"status"`
	// Wrong tells in what an answer that looked whole was not the answer to this call; empty if it was.
	Wrong string `json:"wrong,omitempty"`
	Error string `json:"error,omitempty"`
}

const (
	defaultBytes = 1000
	// callTimeout bounds a call whose demand states no timeout.
	callTimeout = 10 * time.Second
	// patience is how much longer than its stated timeout a caller waits for a word of the system.
	patience = 5 * time.Second
	// maxCallers bounds the idle connections that callers keep to one entry host.
	maxCallers = 256
	// repeatAfter is how long a caller waits until it sends a keyed request again.
	repeatAfter = 300 * time.Millisecond
)

// callers sends the requests of a trace and keeps their records.
type callers struct {
	cluster *cluster
	client  *http.Client
	prefix  string

	mu     sync.Mutex
	calls  []Call
	serial int
	// group counts the calls in progress.
	group sync.WaitGroup
}

func newCallers(c *cluster, prefix string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxCallers, DisableCompression: true}
	return &callers{cluster: c, client: &http.Client{Transport: transport}, prefix: prefix}
}

// demand sends requests at random moments for the time of the event. speed divides all times.
func (c *callers) demand(ctx context.Context, e Event, random *rand.Rand, speed float64) error {
	ctx, cancel := context.WithTimeout(ctx, scaled(e.For, speed))
	defer cancel()
	for {
		gap := time.Duration(random.ExpFloat64() / (e.Rate * speed) * float64(time.Second))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gap):
		}
		c.send(context.WithoutCancel(ctx), e, random)
	}
}

// send begins one request, or two with the same key.
func (c *callers) send(ctx context.Context, e Event, random *rand.Rand) {
	key := ""
	if random.Float64() < e.Keyed {
		key = c.nextSerial("key")
	}
	stream := random.Float64() < e.Stream
	twice := key != "" && random.Float64() < e.Duplicates
	atOnce := random.Float64() < 0.5
	c.group.Go(func() { c.call(ctx, e, key, stream) })
	if !twice {
		return
	}
	c.group.Go(func() {
		if !atOnce {
			time.Sleep(repeatAfter)
		}
		c.call(ctx, e, key, stream)
	})
}

func (c *callers) nextSerial(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("%s-%s-%d", c.prefix, kind, c.serial)
}

// call sends one request and records it.
func (c *callers) call(ctx context.Context, e Event, key string, stream bool) {
	record := Call{Serial: c.nextSerial("call"), Queue: e.Queue, Key: key, Idempotent: e.Idempotent, Begun: time.Now()}
	p, err := c.cluster.pick()
	if err != nil {
		record.Outcome, record.Error = OutcomeNotSent, err.Error()
	} else {
		record.Process = p.name
		c.exchange(ctx, p.callers, e, stream, &record)
	}
	record.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, record)
}

// exchange sends the request and judges the answer's bytes.
func (c *callers) exchange(ctx context.Context, address string, e Event, stream bool, record *Call) {
	timeout := e.Timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/queues/"+e.Queue+"/work", nil)
	if err != nil {
		record.Error = err.Error()
		return
	}
	setHeaders(request.Header, e, stream, record, timeout)
	response, err := c.client.Do(request)
	if err != nil {
		record.Outcome, record.Error = outcomeOf(err), err.Error()
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	record.Status = response.StatusCode
	switch response.Header.Get(headerOutcome) {
	case "answered":
		record.Outcome = OutcomeAnswered
		record.Wrong = wrong(body, e, record)
	case "not-run":
		record.Outcome = OutcomeNotRun
	case "unknown":
		record.Outcome = OutcomeUnknown
	}
	if err != nil && record.Outcome == OutcomeAnswered {
		record.Outcome, record.Error, record.Wrong = OutcomeAborted, err.Error(), ""
	}
	if record.Outcome == OutcomeNotRun || record.Outcome == OutcomeUnknown {
		record.Error = string(bytes.TrimSpace(body))
	}
}

func setHeaders(h http.Header, e Event, stream bool, record *Call, timeout time.Duration) {
	h.Set(standin.HeaderCaller, record.Serial)
	h.Set(standin.HeaderWork, e.Work.String())
	h.Set(standin.HeaderAnswerBytes, strconv.Itoa(answerBytes(e)))
	h.Set(standin.HeaderStream, strconv.FormatBool(stream))
	h.Set(headerTimeout, timeout.String())
	h.Set(headerIdempotent, strconv.FormatBool(e.Idempotent))
	if e.Team != "" {
		h.Set(headerTeam, e.Team)
	}
	if e.Urgent {
		h.Set(headerUrgent, "true")
	}
	if record.Key != "" {
		h[headerKey] = []string{record.Key}
	}
}

func answerBytes(e Event) int {
	if e.Bytes == 0 {
		return defaultBytes
	}
	return e.Bytes
}

// wrong tells in what a body differs from the answer to the call, or "".
func wrong(body []byte, e Event, record *Call) string {
	want := standin.Answer(standin.Identity(record.Key, record.Serial), answerBytes(e))
	if bytes.Equal(body, want) {
		return ""
	}
	if bytes.HasPrefix(want, body) {
		return fmt.Sprintf("%d of %d bytes came as a whole answer", len(body), len(want))
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return fmt.Sprintf("the answer begins with %.60q", line)
}

// outcomeOf tells whether a failed call can have reached an entry host.
func outcomeOf(err error) Outcome {
	var refused *net.OpError
	if errors.As(err, &refused) && refused.Op == "dial" {
		return OutcomeNotSent
	}
	return OutcomeNone
}

// wait waits for all calls in progress and returns the records.
func (c *callers) wait() []Call {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// counts returns how many calls ended with each outcome so far.
func (c *callers) counts() map[Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[Outcome]int)
	for _, call := range c.calls {
		counts[call.Outcome]++
	}
	return counts
}

// scaled divides a time of the trace by the speed.
func scaled(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) / speed)
}
