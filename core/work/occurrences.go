package work

import (
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// occurrenceRange is a range of occurrences of a job, both ends included.
type occurrenceRange struct{ first, last int }

// String returns "first-last".
func (r occurrenceRange) String() string { return fmt.Sprintf("%d-%d", r.first, r.last) }

// parseOccurrenceRange parses the result of occurrenceRange.String.
func parseOccurrenceRange(text string) (occurrenceRange, bool) {
	from, to, found := strings.Cut(text, "-")
	first, err := strconv.Atoi(from)
	last, lastErr := strconv.Atoi(to)
	return occurrenceRange{first, last}, found && err == nil && lastErr == nil && first >= 0 && first <= last
}

// HasFinishedOccurrence reports whether all tasks of an occurrence are done.
func (p Progress) HasFinishedOccurrence(k int) bool {
	return slices.ContainsFunc(p.finished, func(r occurrenceRange) bool { return r.first <= k && k <= r.last })
}

// WithFinishedOccurrence returns the progress with all tasks of an occurrence done.
func (p Progress) WithFinishedOccurrence(k int) Progress {
	if p.HasFinishedOccurrence(k) {
		return p
	}
	added := occurrenceRange{k, k}
	var finished []occurrenceRange
	for _, r := range p.finished {
		switch {
		case r.last == k-1:
			added.first = r.first
		case r.first == k+1:
			added.last = r.last
		default:
			finished = append(finished, r)
		}
	}
	at, _ := slices.BinarySearchFunc(finished, added, func(a, b occurrenceRange) int { return a.first - b.first })
	p.finished = slices.Insert(finished, at, added)
	p.done, p.failures, p.crashes = maps.Clone(p.done), maps.Clone(p.failures), maps.Clone(p.crashes)
	maps.DeleteFunc(p.done, func(key stepKey, _ bitmap) bool { return key.occurrence == k })
	maps.DeleteFunc(p.failures, func(t TaskID, _ []int) bool { return t.Occurrence == k })
	maps.DeleteFunc(p.crashes, func(t TaskID, _ []Crash) bool { return t.Occurrence == k })
	return p
}

const (
	// maxOpenProgressBytes bounds the stored progress of the occurrences of a job that are open at the same time. The rest of the
	// row is for failures and crashes.
	maxOpenProgressBytes = MaxProgressBytes / 2
	// stepEntryBytes is the size of the stored progress of a step of an occurrence without its bitmap.
	stepEntryBytes = len(`"9999.63":"",`)
)

// occurrenceBytes returns the maximum size of the stored progress of an unfinished occurrence, without failures and crashes.
func (j Job) occurrenceBytes() int {
	size := 0
	for _, s := range j.Steps {
		if !s.LongRunning {
			size += stepEntryBytes + base64.RawStdEncoding.EncodedLen((s.TaskCount+7)/8)
		}
	}
	return size
}

// isOccurrenceFinished reports whether all steps of an occurrence are done.
func (j *job) isOccurrenceFinished(k int) bool {
	for i := range j.Steps {
		if !j.finished[stepKey{k, i}] {
			return false
		}
	}
	return true
}

// closeOccurrence replaces what is kept of the steps of a finished occurrence of a repeated job.
func (j *job) closeOccurrence(k int) {
	if j.Repeat.Count == 0 {
		return
	}
	j.progress = j.progress.WithFinishedOccurrence(k)
	for i := range j.Steps {
		delete(j.activated, stepKey{k, i})
		delete(j.finished, stepKey{k, i})
	}
}
