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

// Headers of the requests and responses between callers and entry hosts.
const (
	headerTeam       = "Siskincross-Team"
	headerTimeout    = "Siskincross-Timeout"
	headerIdempotent = "Siskincross-Idempotent"
	headerUrgent     = "Siskincross-Urgent"
	headerOutcome    = "Siskincross-Outcome"
	// headerKey is in lower case because net/http's transport repeats requests that
	// have the canonical header Idempotency-Key.
	headerKey = "idempotency-key"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Outcome -transform=kebab -text -json -trimprefix=Outcome -output=outcome_enumer.go

// Outcome is the outcome of a request as its caller observed it.
type Outcome int

// Outcomes of calls.
const (
	// OutcomeNone means that the call ended without an outcome: the connection broke before the header of a response.
	OutcomeNone Outcome = iota
	// OutcomeNotSent means that the call reached no entry host.
	OutcomeNotSent
	OutcomeAnswered
	// OutcomeAborted means that the response was visibly cut off.
	OutcomeAborted
	OutcomeNotRun
	OutcomeUnknown
)

// Call is a caller's record of one request.
type Call struct {
	// Serial is unique over all calls.
	Serial     string    `json:"serial"`
	Queue      string    `json:"queue"`
	Key        string    `json:"key,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Process    string    `json:"process"`
	Started    time.Time `json:"begun"`
	Ended      time.Time `json:"ended"`
	Outcome    Outcome   `json:"outcome"`
	Status     int       `json:"status"`
	// Mismatch tells how a response that seemed complete differs from the response to this call; empty if it doesn't.
	Mismatch string `json:"wrong,omitempty"`
	Error    string `json:"error,omitempty"`
}

const (
	defaultAnswerBytes = 1000
	// callTimeout limits a call whose demand states no timeout.
	callTimeout = 10 * time.Second
	// responseGrace is the time that a caller waits for a response beyond the timeout that it states.
	responseGrace = 5 * time.Second
	// maxIdleConnections limits the idle connections that callers keep to one entry host.
	maxIdleConnections = 256
	// repeatDelay is the delay after which a caller repeats a keyed request.
	repeatDelay = 300 * time.Millisecond
)

// callers sends the requests of a trace and records the calls.
type callers struct {
	cluster *cluster
	client  *http.Client
	prefix  string

	mu     sync.Mutex
	calls  []Call
	serial int
	// inProgress waits for the calls in progress.
	inProgress sync.WaitGroup
}

func newCallers(c *cluster, prefix string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &callers{cluster: c, client: &http.Client{Transport: transport}, prefix: prefix}
}

// sendRequests sends requests with exponentially distributed gaps for the duration
// of the event. speed divides all times.
func (c *callers) sendRequests(ctx context.Context, e Event, random *rand.Rand, speed float64) error {
	ctx, cancel := context.WithTimeout(ctx, scaled(e.For, speed))
	defer cancel()
	c.sendUntilDone(ctx, e, random, speed)
	return nil
}

// sendUntilDone is sendRequests until ctx ends.
func (c *callers) sendUntilDone(ctx context.Context, e Event, random *rand.Rand, speed float64) {
	for {
		gap := time.Duration(random.ExpFloat64() / (e.Rate * speed) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		c.startRequest(context.WithoutCancel(ctx), e, random)
	}
}

// startRequest starts one request, or two with the same key, at the same time or one after repeatDelay.
func (c *callers) startRequest(ctx context.Context, e Event, random *rand.Rand) {
	key := ""
	if random.Float64() < e.Keyed {
		key = c.nextSerial("key")
	}
	stream := random.Float64() < e.Stream
	duplicate := key != "" && random.Float64() < e.Duplicates
	concurrent := random.Float64() < 0.5
	c.inProgress.Go(func() { c.sendRequest(ctx, e, key, stream) })
	if !duplicate {
		return
	}
	c.inProgress.Go(func() {
		if !concurrent {
			time.Sleep(repeatDelay)
		}
		c.sendRequest(ctx, e, key, stream)
	})
}

// nextSerial returns a name that is unique within the replay.
func (c *callers) nextSerial(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("%s-%s-%d", c.prefix, kind, c.serial)
}

// sendRequest sends one request to a healthy entry host and records the call.
func (c *callers) sendRequest(ctx context.Context, e Event, key string, stream bool) {
	record := Call{Serial: c.nextSerial("call"), Queue: e.Queue, Key: key, Idempotent: e.Idempotent, Started: time.Now()}
	p, err := c.cluster.nextHealthy()
	if err != nil {
		record.Outcome, record.Error = OutcomeNotSent, err.Error()
	} else {
		record.Process = p.name
		c.roundTrip(ctx, p.callerAddress, e, stream, &record)
	}
	record.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, record)
}

// roundTrip sends the request, reads the response and fills in the outcome of record.
func (c *callers) roundTrip(ctx context.Context, address string, e Event, stream bool, record *Call) {
	timeout := e.Timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+responseGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/queues/"+e.Queue+"/work", nil)
	if err != nil {
		record.Error = err.Error()
		return
	}
	setHeaders(request.Header, e, stream, record, timeout)
	response, err := c.client.Do(request)
	if err != nil {
		record.Outcome, record.Error = failedCallOutcome(err), err.Error()
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	record.Status = response.StatusCode
	switch response.Header.Get(headerOutcome) {
	case "answered":
		record.Outcome = OutcomeAnswered
		record.Mismatch = responseMismatch(body, e, record)
	case "not-run":
		record.Outcome = OutcomeNotRun
	case "unknown":
		record.Outcome = OutcomeUnknown
	}
	if err != nil && record.Outcome == OutcomeAnswered {
		record.Outcome, record.Error, record.Mismatch = OutcomeAborted, err.Error(), ""
	}
	if record.Outcome == OutcomeNotRun || record.Outcome == OutcomeUnknown {
		record.Error = string(bytes.TrimSpace(body))
	}
}

// setHeaders sets the headers that entry hosts and the stand-in's targets read.
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

// answerBytes returns the size of the response or result that an event asks for.
func answerBytes(e Event) int {
	if e.Bytes == 0 {
		return defaultAnswerBytes
	}
	return e.Bytes
}

// responseMismatch tells how a body differs from the expected response to the call; empty if it doesn't.
func responseMismatch(body []byte, e Event, record *Call) string {
	want := standin.ResponseBody(standin.RequestIdentity(record.Key, record.Serial), answerBytes(e))
	if bytes.Equal(body, want) {
		return ""
	}
	if bytes.HasPrefix(want, body) {
		return fmt.Sprintf("response of %d of %d bytes seemed complete", len(body), len(want))
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return fmt.Sprintf("response begins with %.60q", line)
}

// failedCallOutcome returns the outcome of a call that failed with err: not sent if the connection was not
// established, as the request then can't have reached an entry host.
func failedCallOutcome(err error) Outcome {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return OutcomeNotSent
	}
	return OutcomeNone
}

// wait waits for all calls in progress and returns their records.
func (c *callers) wait() []Call {
	c.inProgress.Wait()
	return c.records()
}

// records returns the records of the calls that have ended.
func (c *callers) records() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// outcomeCounts returns the number of ended calls by outcome.
func (c *callers) outcomeCounts() map[Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[Outcome]int)
	for _, call := range c.calls {
		counts[call.Outcome]++
	}
	return counts
}

// scaled returns a duration of the trace divided by the speed of the replay.
func scaled(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) / speed)
}
