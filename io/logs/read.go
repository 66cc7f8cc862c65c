package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"siskincross/core/event"
)

// maxLineBytes is the maximum length of a line of a log file.
const maxLineBytes = 1 << 20

// Read returns the events in log lines. It ignores text before a line's JSON object, such as the prefix of a
// log collector, and lines that hold no event.
func Read(r io.Reader) ([]event.Event, error) {
	var events []event.Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		if e, ok := parseLine(scanner.Bytes()); ok {
			events = append(events, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return events, fmt.Errorf("read the log: %w", err)
	}
	return events, nil
}

// parseLine returns the event in a log line, or false if the line holds none.
func parseLine(line []byte) (event.Event, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return event.Event{}, false
	}
	var fields struct {
		Time         time.Time    `json:"time"`
		Name         event.Number `json:"name"`
		Process      string       `json:"process"`
		ID           event.ID     `json:"id"`
		Cause        event.ID     `json:"cause"`
		Organisation string       `json:"organisation"`
		Pool         string       `json:"pool"`
		Host         string       `json:"host"`
		Job          string       `json:"job"`
		Request      string       `json:"request"`
		Message      string       `json:"message"`
	}
	if json.Unmarshal(line[start:], &fields) != nil || fields.Name == 0 {
		return event.Event{}, false
	}
	return event.Event{
		Number: fields.Name, ID: fields.ID, Cause: fields.Cause, Process: fields.Process,
		Time:         event.Timestamp{WallMillis: fields.Time.UnixMilli()},
		Organisation: fields.Organisation, Pool: fields.Pool, Host: fields.Host, Job: fields.Job, Request: fields.Request,
		Detail: fields.Message,
	}, true
}
