package standin

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// TargetFaults holds the fault switches of the target and worker on one host. The zero value is a healthy host.
//
// The counts apply to the next responses of the target. A response gets at most one of the counted faults; if several counts
// are set, the one declared first is used up first.
type TargetFaults struct {
	// DuplicatedResponses is the number of responses to send twice on their connection.
	DuplicatedResponses int `json:"duplicate,omitempty"`
	// CrossedResponses is the number of responses to send with a wrong request ID and the content of the previous response.
	CrossedResponses int `json:"cross,omitempty"`
	// TruncatedResponses is the number of responses to cut off halfway through the body.
	TruncatedResponses int `json:"cut,omitempty"`
	// MalformedResponses is the number of responses to replace by bytes that are not HTTP.
	MalformedResponses int `json:"garbage,omitempty"`
	// DelayedResponses is the number of responses to delay.
	DelayedResponses int `json:"late,omitempty"`
	// ResponseDelay is the delay of these responses.
	ResponseDelay time.Duration `json:"late-by,omitempty"`
	// ChunkDelay is a delay before each chunk of every response, whatever the counts.
	ChunkDelay time.Duration `json:"slow,omitempty"`
	// FailTasks makes the worker fail every task that it starts.
	FailTasks bool `json:"fail-tasks,omitempty"`
	// RebootsHang makes reboots that start from now on never end.
	RebootsHang bool `json:"never-returns,omitempty"`
}

// responseSpec describes the response that a request asks for.
type responseSpec struct {
	requestID string
	// identity identifies the request; the body repeats it.
	identity string
	// size is the length of the body in bytes.
	size int
	// stream is set for a chunked response without a Content-Length.
	stream bool
}

// responseFault is the fault to inject into one response.
type responseFault struct {
	name             string
	delay            time.Duration
	chunkDelay       time.Duration
	previousIdentity string
}

// Names of the counted faults in records; they equal the names of the fault switches.
const (
	faultDuplicate = "duplicate"
	faultCross     = "cross"
	faultCut       = "cut"
	faultGarbage   = "garbage"
	faultLate      = "late"
)

// takeFault returns the fault of the next response and decrements its count.
func (h *simulatedHost) takeFault() responseFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault := responseFault{chunkDelay: h.faults.ChunkDelay, previousIdentity: h.previousIdentity}
	for _, counted := range []struct {
		name  string
		count *int
	}{
		{faultDuplicate, &h.faults.DuplicatedResponses}, {faultCross, &h.faults.CrossedResponses}, {faultCut, &h.faults.TruncatedResponses},
		{faultGarbage, &h.faults.MalformedResponses}, {faultLate, &h.faults.DelayedResponses},
	} {
		if *counted.count > 0 {
			*counted.count--
			fault.name = counted.name
			break
		}
	}
	if fault.name == faultLate {
		fault.delay = h.faults.ResponseDelay
	}
	return fault
}

// errFaultInjected is returned for a response that was replaced or cut off by a fault switch.
var errFaultInjected = errors.New("response replaced or cut off by a fault switch")

// sendResponse writes the response with its fault. An error means that the response was not sent in full.
func (h *simulatedHost) sendResponse(rw http.ResponseWriter, r *http.Request, spec responseSpec, fault responseFault) error {
	defer h.setPreviousIdentity(spec.identity)
	if fault.delay > 0 && !sleep(r.Context(), fault.delay) {
		return r.Context().Err()
	}
	content := ResponseBody(spec.identity, spec.size)
	switch fault.name {
	case faultDuplicate:
		return writeRawAndClose(rw, append(rawResponse(spec.requestID, content), rawResponse(spec.requestID, content)...))
	case faultGarbage:
		return errors.Join(writeRawAndClose(rw, []byte("no HTTP at all\r\n\r\n")), errFaultInjected)
	case faultCross:
		rw.Header().Set(headerRequestID, "crossed-"+spec.requestID)
		content = ResponseBody(fault.previousIdentity, spec.size)
	case faultCut:
		return h.writeChunks(rw, r, spec, content[:len(content)/2], len(content), fault)
	}
	return h.writeChunks(rw, r, spec, content, len(content), fault)
}

// setPreviousIdentity records the identity of the latest response, for the next crossed response.
func (h *simulatedHost) setPreviousIdentity(identity string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.previousIdentity = identity
}

// writeChunks writes content in chunks. The full body has length bytes; if content is shorter, it returns errFaultInjected
// after writing it.
func (h *simulatedHost) writeChunks(rw http.ResponseWriter, r *http.Request, spec responseSpec, content []byte, length int, fault responseFault) error {
	if !spec.stream {
		rw.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for chunk := range chunks(content) {
		if fault.chunkDelay > 0 && !sleep(r.Context(), fault.chunkDelay) {
			return r.Context().Err()
		}
		if _, err := rw.Write(chunk); err != nil {
			return err
		}
		if spec.stream {
			_ = http.NewResponseController(rw).Flush()
		}
	}
	if len(content) < length {
		_ = http.NewResponseController(rw).Flush()
		return errFaultInjected
	}
	return nil
}

// chunks iterates over content in pieces of up to chunkBytes.
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

// rawResponse returns the encoded bytes of a complete response.
func rawResponse(request string, content []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", headerRequestID, request, len(content))
	b.Write(content)
	return b.Bytes()
}

// writeRawAndClose writes content to the connection in place of a response and closes the connection.
func writeRawAndClose(rw http.ResponseWriter, content []byte) error {
	connection, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return err
	}
	_, err = connection.Write(content)
	return errors.Join(err, connection.Close())
}
