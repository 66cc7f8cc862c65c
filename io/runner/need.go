package runner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// minNeedInterval is the minimum time between two writes of a pool's need.
	minNeedInterval = 100 * time.Millisecond
	// maxOfferTime is how long an offered worker waits for its host to be moved before it is used again.
	maxOfferTime = 4 * time.Second
	// needRetractionTime is how long after a need was replaced orders to hosts may still follow it.
	needRetractionTime = orderValidity + maxNeedAge
)

// needRow is what the holder of a pool's duty tells the holder of the duty for hosts.
type needRow struct {
	Requested int      `json:"ask,omitempty"`
	Urgent    int      `json:"urgent,omitempty"`
	Spare     int      `json:"spare,omitempty"`
	Evacuated []string `json:"cleared,omitempty"`
}

// need returns the row in the form that the planner takes.
func (r needRow) need() capacity.PoolReport {
	return capacity.PoolReport{Requested: r.Requested, Urgent: r.Urgent, Spare: r.Spare, Evacuated: r.Evacuated}
}

func (r needRow) equal(o needRow) bool {
	return r.Requested == o.Requested && r.Urgent == o.Urgent && r.Spare == o.Spare && slices.Equal(r.Evacuated, o.Evacuated)
}

// needRowKey returns the key of a pool's need.
func needRowKey(pool string) platform.RowKey {
	return platform.RowKey{Table: hostsTable, Partition: pool, Key: needKey}
}

// evacuation tracks the workers that get no work because the holder of the duty for hosts may give orders to their
// hosts. The caller of its methods holds the pool holder's lock.
type evacuation struct {
	// offeredSince holds the spare workers that are offered, and since when.
	offeredSince map[string]time.Time
	// reported holds the workers that a need named as evacuated, and the time since when the stored need no longer names
	// them. The zero time means that it may still name them.
	reported map[string]time.Time
	// requested holds the workers that have to be evacuated now.
	requested map[string]bool
}

func newEvacuation() evacuation {
	return evacuation{offeredSince: make(map[string]time.Time), reported: make(map[string]time.Time), requested: make(map[string]bool)}
}

// update sets which workers have to be evacuated for maintenance and which are spare. Evacuated workers that don't
// answer stay reported: most of their hosts were moved, and a next holder would wait for them if they were on the
// roster.
func (e *evacuation) update(withdrawn map[string]bool, spare, evacuated []string, silent map[string]bool, asking bool, now time.Time) {
	for _, id := range spare {
		if _, known := e.offeredSince[id]; !known {
			e.offeredSince[id] = now
		}
	}
	for id, since := range e.offeredSince {
		if now.Sub(since) > maxOfferTime || (asking && !slices.Contains(evacuated, id)) {
			delete(e.offeredSince, id)
		}
	}
	e.requested = maps.Clone(withdrawn)
	if e.requested == nil {
		e.requested = make(map[string]bool)
	}
	for id := range e.offeredSince {
		e.requested[id] = true
	}
	for id, until := range e.reported {
		if !until.IsZero() && now.Sub(until) > needRetractionTime && !silent[id] {
			delete(e.reported, id)
		}
	}
}

// excludedWorkers returns the workers that get no work: those to be evacuated, and those to whose hosts an order may
// be on its way.
func (e *evacuation) excludedWorkers() map[string]bool {
	all := maps.Clone(e.requested)
	for id := range e.reported {
		all[id] = true
	}
	return all
}

// admissibleListings removes the listed workers to whose hosts an order may be on its way because of an earlier
// holder's need, until the scheduler knows them.
func (e *evacuation) admissibleListings(listings []work.WorkerInfo, known func(work.Incarnation) bool) []work.WorkerInfo {
	return slices.DeleteFunc(listings, func(l work.WorkerInfo) bool {
		_, reported := e.reported[l.Incarnation.Worker]
		return reported && !e.requested[l.Incarnation.Worker] && !known(l.Incarnation)
	})
}

// markReported records that a need with these evacuated workers is about to be stored.
func (e *evacuation) markReported(evacuated []string) {
	for _, id := range evacuated {
		e.reported[id] = time.Time{}
	}
}

// markStored records that a need with these evacuated workers is stored.
func (e *evacuation) markStored(evacuated []string, now time.Time) {
	for id, until := range e.reported {
		if until.IsZero() && !slices.Contains(evacuated, id) {
			e.reported[id] = now
		}
	}
}

// updateWithdrawn tells the scheduler which workers get no new work. The caller holds the lock.
func (h *poolHolder) updateWithdrawn(maintenance map[string]bool, now time.Time) {
	if h.manager.CloudAPI.SendOrder == nil {
		return
	}
	demand := h.capacityDemand(now)
	silent := make(map[string]bool)
	for _, incarnation := range h.scheduler.EvacuatedIncarnations() {
		if h.scheduler.ConsecutiveMisses(incarnation) > 0 {
			silent[incarnation.Worker] = true
		}
	}
	h.evacuation.update(maintenance, demand.SpareWorkers, h.scheduler.EvacuatedWorkers(), silent, demand.RequestedCount > 0, now)
	all := h.evacuation.excludedWorkers()
	for _, incarnation := range h.scheduler.EvacuatedIncarnations() {
		if !h.confirmedRoster[incarnation] {
			all[incarnation.Worker] = true // it gets work again only once it is on the roster
		}
	}
	h.scheduler.SetWithdrawn(all, now)
}

// dueNeed returns the pool's need and whether it has to be written. The caller holds the lock.
func (h *poolHolder) dueNeed(now time.Time) (needRow, bool) {
	if h.manager.CloudAPI.SendOrder == nil || now.Sub(h.needWrittenAt) < minNeedInterval {
		return needRow{}, false
	}
	demand := h.capacityDemand(now)
	evacuated := slices.DeleteFunc(h.scheduler.EvacuatedWorkers(), func(id string) bool { return !h.evacuation.requested[id] })
	need := needRow{Requested: demand.RequestedCount, Urgent: demand.UrgentCount, Spare: demand.SpareCount, Evacuated: evacuated}
	if h.storedNeedKnown && need.equal(h.storedNeed) {
		return needRow{}, false
	}
	h.needWrittenAt = now
	h.manager.record(event.Event{Number: event.NeedStated, Pool: h.pool, Detail: fmt.Sprintf(
		"requests %d hosts (%d urgent), %d spare, evacuated workers %v, %s", need.Requested, need.Urgent, need.Spare, need.Evacuated, demand.Reason)})
	return need, true
}

// rosterForNeed returns the roster that has to be stored together with a need, or nil. Once a need names a worker as
// evacuated, its host may be moved, and a next holder would wait for each such worker on the roster. The caller holds
// the lock.
func (h *poolHolder) rosterForNeed(need needRow) map[work.Incarnation]bool {
	if !slices.ContainsFunc(need.Evacuated, h.mayBeOnRoster) {
		return nil
	}
	listings, _ := h.manager.workers.poolWorkers(h.pool)
	return h.scheduler.RequiredRoster(h.evacuation.admissibleListings(listings, h.scheduler.HasIncarnation), h.evacuation.excludedWorkers())
}

// mayBeOnRoster reports whether the stored roster may have an incarnation of the worker.
func (h *poolHolder) mayBeOnRoster(worker string) bool {
	for incarnation := range h.possibleRoster {
		if incarnation.Worker == worker {
			return true
		}
	}
	return false
}

// readNeed reads the need that the previous holder stored, which orders to hosts may still follow.
func (h *poolHolder) readNeed() (need needRow, version uint64, err error) {
	if h.manager.CloudAPI.SendOrder == nil {
		return needRow{}, 0, nil
	}
	row, ok, err := h.manager.Rows.ReadRow(h.ctx, needRowKey(h.pool), "takeover")
	if err != nil || !ok {
		return needRow{}, 0, err
	}
	if err := decodeRow(row, &need); err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: err.Error()})
	}
	return need, row.Version, nil
}

// capacityDemand returns how the pool uses its workers and how many hosts it requests. No worker is spare while the
// feed may have withheld new jobs. The caller holds the lock.
func (h *poolHolder) capacityDemand(now time.Time) work.CapacityDemand {
	h.scheduler.SetHostShortage(h.manager.hostShortage())
	demand := h.scheduler.CapacityDemand(now)
	if h.feed.isOverdue(now) {
		demand.SpareCount, demand.SpareWorkers = 0, nil
	}
	return demand
}
