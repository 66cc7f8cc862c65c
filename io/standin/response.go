package standin

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// TargetFaults switches the failures of one host's target and worker. The
// counts are numbers of coming answers; the zero value is a healthy host.
type TargetFaults struct {
	// Duplicate answers are sent twice on their connection.
	Duplicate int `json:"duplicate,omitempty"`
	// Cross answers carry the request ID and the content of the answer before.
	Cross int `json:"cross,omitempty"`
	// Cut answers end in the middle.
	Cut int `json:"cut,omitempty"`
	// Garbage answers are no HTTP.
	Garbage int `json:"garbage,omitempty"`
	// Late answers are sent after LateBy.
	Late   int           `json:"late,omitempty"`
	LateBy time.Duration `json:"late-by,omitempty"`
	// Slow is a pause before each chunk of all answers.
	Slow time.Duration `json:"slow,omitempty"`
	// FailTasks makes the worker fail every task that it starts.
	FailTasks bool `json:"fail-tasks,omitempty"`
	// NeverReturns makes the host's next reboots last for ever.
	NeverReturns bool `json:"never-returns,omitempty"`
}

// responseSpec is what a target sends.
type responseSpec struct {
	requestID string
	identity  string
	size      int
	stream    bool
}

// responseFault is the fault that one answer meets.
type responseFault struct {
	name             string
	delay            time.Duration
	chunkDelay       time.Duration
	previousIdentity string
}

// Names of the faults in records.
const (
	faultDuplicate = "duplicate"
	faultCross     = "cross"
	faultCut       = "cut"
	faultGarbage   = "garbage"
	faultLate      = "late"
)

// takeFault takes the fault of the next answer off the switches.
func (h *simulatedHost) takeFault() responseFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := responseFault{chunkDelay: h.faults.Slow, previousIdentity: h.previousIdentity}
	for _, c := range []struct {
		name  string
		count *int
	}{
		{faultDuplicate, &h.faults.Duplicate}, {faultCross, &h.faults.Cross}, {faultCut, &h.faults.Cut},
		{faultGarbage, &h.faults.Garbage}, {faultLate, &h.faults.Late},
	} {
		if *c.count > 0 {
			*c.count--
			f.name = c.name
			break
		}
	}
	if f.name == faultLate {
		f.delay = h.faults.LateBy
	}
	return f
}

// errFaultInjected tells that a fault switch spoilt an answer.
var errFaultInjected = errors.New("the answer was spoilt")

// sendResponse writes the answer with its fault. An error means that the whole answer was not sent.
func (h *simulatedHost) sendResponse(rw http.ResponseWriter, r *http.Request, a responseSpec, f responseFault) error {
	defer h.setPreviousIdentity(a.identity)
	if f.delay > 0 && !sleep(r.Context(), f.delay) {
		return r.Context().Err()
	}
	content := Answer(a.identity, a.size)
	switch f.name {
	case faultDuplicate:
		return writeRawAndClose(rw, append(rawResponse(a.requestID, content), rawResponse(a.requestID, content)...))
	case faultGarbage:
		return errors.Join(writeRawAndClose(rw, []byte("no HTTP at all\r\n\r\n")), errFaultInjected)
	case faultCross:
		rw.Header().Set(headerRequestID, "crossed-"+a.requestID)
		content = Answer(f.previousIdentity, a.size)
	case faultCut:
		return h.writeChunks(rw, r, a, content[:len(content)/2], len(content), f)
	}
	return h.writeChunks(rw, r, a, content, len(content), f)
}

func (h *simulatedHost) setPreviousIdentity(identity string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.previousIdentity = identity
}

// writeChunks writes content of an answer that has length bytes in full.
func (h *simulatedHost) writeChunks(rw http.ResponseWriter, r *http.Request, a responseSpec, content []byte, length int, f responseFault) error {
	if !a.stream {
		rw.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for piece := range chunks(content) {
		if f.chunkDelay > 0 && !sleep(r.Context(), f.chunkDelay) {
			return r.Context().Err()
		}
		if _, err := rw.Write(piece); err != nil {
			return err
		}
		if a.stream {
			_ = http.NewResponseController(rw).Flush()
		}
	}
	if len(content) < length {
		_ = http.NewResponseController(rw).Flush()
		return errFaultInjected
	}
	return nil
}

func chunks(content []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(content) > 0 {
			n := min(chunkBytes, len(content))
			if !yield(content[:n]) {
				return
			}
			content = content[n:]
		}
	}
}

// rawResponse returns a whole answer as it stands on the wire.
func rawResponse(request string, content []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", headerRequestID, request, len(content))
	b.Write(content)
	return b.Bytes()
}

// writeRawAndClose writes bytes in place of an answer and closes the connection.
func writeRawAndClose(rw http.ResponseWriter, content []byte) error {
	connection, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return err
	}
	_, err = connection.Write(content)
	return errors.Join(err, connection.Close())
}
