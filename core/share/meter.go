// Package share divides a pool's room among the organisations that wait for it. A Meter tells which jobs lie beyond an
// organisation's rate, and a Queue orders waiting steps by how much of the pool their organisations use.
package share

import (
	"math"
	"slices"
	"time"
)

// minWindow is the minimum length of the window in which jobs are counted. The window of an organisation whose share
// is less than one job in that time is as long as the interval between two of its jobs.
const minWindow = time.Second

// Meter counts the jobs of each organisation in a sliding window. Only jobs within the share count, so that an
// organisation that sends more is still owed its share. The zero value has counted none. It is not safe for concurrent
// use.
type Meter struct {
	byOrganisation map[string]*record
}

// record is what one organisation has sent.
type record struct {
	// counted holds the times of the jobs within the share that may still be in the window, in ascending order.
	counted []time.Time
	// promised holds the times for which refused callers were told to come back, in ascending order.
	promised []time.Time
}

// window returns the length of the window for a share of weight jobs a second, and the number of jobs that the share
// allows within it. The number is rounded up.
func window(weight float64) (time.Duration, int) {
	length := max(minWindow.Seconds(), 1/weight)
	return time.Duration(length * float64(time.Second)), int(math.Ceil(min(weight*length, math.MaxInt32)))
}

// isUnlimited reports whether a weight states no share. The jobs of such an organisation are always within its share.
func isUnlimited(weight float64) bool { return !(weight > 0) || math.IsInf(weight, 0) }

// Room returns the number of jobs that the organisation's share still allows now.
func (m *Meter) Room(organisation string, weight float64, now time.Time) int {
	if isUnlimited(weight) {
		return math.MaxInt
	}
	length, allowed := window(weight)
	return max(0, allowed-len(m.advance(organisation, length, now).counted))
}

// Count counts a job that was accepted, and reports whether it is within the organisation's share.
func (m *Meter) Count(organisation string, weight float64, now time.Time) bool {
	if isUnlimited(weight) {
		return true
	}
	length, allowed := window(weight)
	r := m.advance(organisation, length, now)
	if len(r.counted) >= allowed {
		return false
	}
	r.counted = append(r.counted, now)
	return true
}

// Promise returns the time at which the share allows a further job, after those that are accepted now but not counted
// yet, and those that were promised to other refused callers. It is at most a few windows ahead, since most of many
// refused callers don't come back.
func (m *Meter) Promise(organisation string, weight float64, accepted int, now time.Time) time.Time {
	if isUnlimited(weight) {
		return now
	}
	length, allowed := window(weight)
	r := m.advance(organisation, length, now)
	at := now
	if ahead := len(r.promised) + len(r.counted) + accepted - allowed; ahead >= 0 {
		ahead = min(ahead, maxPromisedWindows*allowed-1)
		at = now.Add(length)
		if i := ahead % allowed; i < len(r.counted) {
			at = r.counted[i].Add(length)
		}
		at = at.Add(time.Duration(ahead/allowed) * length)
	}
	i, _ := slices.BinarySearchFunc(r.promised, at, time.Time.Compare)
	r.promised = slices.Insert(r.promised, i, at)
	return at
}

// maxPromisedWindows limits how far ahead callers are told to come back.
const maxPromisedWindows = 3

// advance drops what has left the window and returns the organisation's record.
func (m *Meter) advance(organisation string, length time.Duration, now time.Time) *record {
	r := m.byOrganisation[organisation]
	if r == nil {
		if m.byOrganisation == nil {
			m.byOrganisation = make(map[string]*record)
		}
		r = &record{}
		m.byOrganisation[organisation] = r
	}
	r.counted = dropUntil(r.counted, now.Add(-length))
	r.promised = dropUntil(r.promised, now)
	return r
}

// dropUntil drops the times that are not after a limit.
func dropUntil(times []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(limit) {
		n++
	}
	return times[n:]
}
