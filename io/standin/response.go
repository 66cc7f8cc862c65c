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

// answer is what a target sends.
type answer struct {
	request  string
	identity string
	size     int
	stream   bool
}

// answerFault is the fault that one answer meets.
type answerFault struct {
	name     string
	late     time.Duration
	slow     time.Duration
	previous string
}

// Names of the faults in records.
const (
	faultDuplicate = "duplicate"
	faultCross     = "cross"
	faultCut       = "cut"
	faultGarbage   = "garbage"
	faultLate      = "late"
)

// nextFault takes the fault of the next answer off the switches.
func (w *worker) nextFault() answerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := answerFault{slow: w.faults.Slow, previous: w.previous}
	for _, c := range []struct {
		name  string
		count *int
	}{
		{faultDuplicate, &w.faults.Duplicate}, {faultCross, &w.faults.Cross}, {faultCut, &w.faults.Cut},
		{faultGarbage, &w.faults.Garbage}, {faultLate, &w.faults.Late},
	} {
		if *c.count > 0 {
			*c.count--
			f.name = c.name
			break
		}
	}
	if f.name == faultLate {
		f.late = w.faults.LateBy
	}
	return f
}

// errSpoilt tells that a fault switch spoilt an answer.
var errSpoilt = errors.New("the answer was spoilt")

// send writes the answer with its fault. An error means that the whole answer was not sent.
func (w *worker) send(rw http.ResponseWriter, r *http.Request, a answer, f answerFault) error {
	defer w.remember(a.identity)
	if f.late > 0 && !pause(r.Context(), f.late) {
		return r.Context().Err()
	}
	content := Answer(a.identity, a.size)
	switch f.name {
	case faultDuplicate:
		return hijack(rw, append(raw(a.request, content), raw(a.request, content)...))
	case faultGarbage:
		return errors.Join(hijack(rw, []byte("no HTTP at all\r\n\r\n")), errSpoilt)
	case faultCross:
		rw.Header().Set(headerRequestID, "crossed-"+a.request)
		content = Answer(f.previous, a.size)
	case faultCut:
		return w.sendChunks(rw, r, a, content[:len(content)/2], len(content), f)
	}
	return w.sendChunks(rw, r, a, content, len(content), f)
}

func (w *worker) remember(identity string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.previous = identity
}

// sendChunks writes content of an answer that has length bytes in full.
func (w *worker) sendChunks(rw http.ResponseWriter, r *http.Request, a answer, content []byte, length int, f answerFault) error {
	if !a.stream {
		rw.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for piece := range chunks(content) {
		if f.slow > 0 && !pause(r.Context(), f.slow) {
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
		return errSpoilt
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

// raw returns a whole answer as it stands on the wire.
func raw(request string, content []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", headerRequestID, request, len(content))
	b.Write(content)
	return b.Bytes()
}

// hijack writes bytes in place of an answer and closes the connection.
func hijack(rw http.ResponseWriter, content []byte) error {
	connection, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return err
	}
	_, err = connection.Write(content)
	return errors.Join(err, connection.Close())
}
