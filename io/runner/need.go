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
	// needEvery is the least time between two writes of a pool's need.
	needEvery = 100 * time.Millisecond
	// offerTime is how long an offered worker waits for its host to be moved before it is used again.
	offerTime = 4 * time.Second
	// retractTime is how long orders for a host may still follow the need that named its worker.
	retractTime = intentTime + needAge
)

// needRow is what a pool's duty holder tells the holder of the duty for hosts.
type needRow struct {
	Ask     int      `json:"ask,omitempty"`
	Urgent  int      `json:"urgent,omitempty"`
	Spare   int      `json:"spare,omitempty"`
	Cleared []string `json:"cleared,omitempty"`
}

func (r needRow) need() capacity.PoolReport {
	return capacity.PoolReport{Requested: r.Ask, Urgent: r.Urgent, Spare: r.Spare, Drained: r.Cleared}
}

func (r needRow) equal(o needRow) bool {
	return r.Ask == o.Ask && r.Urgent == o.Urgent && r.Spare == o.Spare && slices.Equal(r.Cleared, o.Cleared)
}

func needKeyOf(pool string) platform.RowKey {
	return platform.RowKey{Table: hostsTable, Partition: pool, Key: needKey}
}

// clearing keeps the workers withdrawn that the holder of the duty for hosts may give orders about.
// The caller of its methods holds the holder's lock.
type clearing struct {
	// offers holds since when spare workers are offered.
	offers map[string]time.Time
	// reported holds the workers that a need named as cleared, and since when the stored need does not name
	// them any more; the zero time while it does.
	reported map[string]time.Time
	// wanted holds the workers that are to be cleared now.
	wanted map[string]bool
}

func newClearing() clearing {
	return clearing{offers: make(map[string]time.Time), reported: make(map[string]time.Time), wanted: make(map[string]bool)}
}

// update takes in which workers are to be cleared for maintenance and which are spare. Those that hold nothing and do not answer stay
// reported: most of their hosts were moved, and on the roster they would only be waited for.
func (c *clearing) update(withdrawn map[string]bool, spare, cleared []string, silent map[string]bool, asking bool, now time.Time) {
	for _, id := range spare {
		if _, known := c.offers[id]; !known {
			c.offers[id] = now
		}
	}
	for id, since := range c.offers {
		if now.Sub(since) > offerTime || (asking && !slices.Contains(cleared, id)) {
			delete(c.offers, id)
		}
	}
	c.wanted = maps.Clone(withdrawn)
	if c.wanted == nil {
		c.wanted = make(map[string]bool)
	}
	for id := range c.offers {
		c.wanted[id] = true
	}
	for id, until := range c.reported {
		if !until.IsZero() && now.Sub(until) > retractTime && !silent[id] {
			delete(c.reported, id)
		}
	}
}

// withdrawn returns the workers that get no work: those to be cleared, and those for which an order may be on its way.
func (c *clearing) withdrawn() map[string]bool {
	all := maps.Clone(c.wanted)
	for id := range c.reported {
		all[id] = true
	}
	return all
}

// admissible leaves out the listed workers for which an order of an earlier holder's need may be on its way, until the board knows them.
func (c *clearing) admissible(listings []work.WorkerInfo, known func(work.Incarnation) bool) []work.WorkerInfo {
	return slices.DeleteFunc(listings, func(l work.WorkerInfo) bool {
		_, reported := c.reported[l.Incarnation.Worker]
		return reported && !c.wanted[l.Incarnation.Worker] && !known(l.Incarnation)
	})
}

// report notes that a need with these cleared workers is about to be stored.
func (c *clearing) report(cleared []string) {
	for _, id := range cleared {
		c.reported[id] = time.Time{}
	}
}

// stored notes that a need with these cleared workers is stored.
func (c *clearing) stored(cleared []string, now time.Time) {
	for id, until := range c.reported {
		if until.IsZero() && !slices.Contains(cleared, id) {
			c.reported[id] = now
		}
	}
}

// withdraw tells the board which workers get no new work.
func (h *poolHolder) withdraw(maintenance map[string]bool, now time.Time) {
	if h.manager.CloudAPI.SendOrder == nil {
		return
	}
	load := h.poolLoad(now)
	silent := make(map[string]bool)
	for _, life := range h.scheduler.EvacuatedIncarnations() {
		if h.scheduler.Misses(life) > 0 {
			silent[life.Worker] = true
		}
	}
	h.clearing.update(maintenance, load.SpareWorkers, h.scheduler.EvacuatedWorkers(), silent, load.RequestedCount > 0, now)
	all := h.clearing.withdrawn()
	for _, life := range h.scheduler.EvacuatedIncarnations() {
		if !h.roster[life] {
			all[life.Worker] = true // it gets work again only once the roster has it
		}
	}
	h.scheduler.SetWithdrawn(all, now)
}

// dueNeed returns the pool's need if it has to be written. The caller holds the lock.
func (h *poolHolder) dueNeed(now time.Time) (needRow, bool) {
	if h.manager.CloudAPI.SendOrder == nil || now.Sub(h.needAt) < needEvery {
		return needRow{}, false
	}
	load := h.poolLoad(now)
	cleared := slices.DeleteFunc(h.scheduler.EvacuatedWorkers(), func(id string) bool { return !h.clearing.wanted[id] })
	need := needRow{Ask: load.RequestedCount, Urgent: load.UrgentCount, Spare: load.SpareCount, Cleared: cleared}
	if h.needKnown && need.equal(h.need) {
		return needRow{}, false
	}
	h.needAt = now
	h.manager.record(event.Event{Number: event.NeedStated, Pool: h.pool, Detail: fmt.Sprintf(
		"asks for %d (%d urgent), spares %d, cleared %v, %s", need.Ask, need.Urgent, need.Spare, need.Cleared, load.Reason)})
	return need, true
}

// dueRoster returns the roster that has to be stored together with a need: once a need names a worker as cleared, its host may be moved,
// and a next holder would wait for each such worker that is on the roster. The caller holds the lock.
func (h *poolHolder) dueRoster(need needRow) map[work.Incarnation]bool {
	if !slices.ContainsFunc(need.Cleared, h.mayBeRostered) {
		return nil
	}
	listings, _ := h.manager.workers.poolWorkers(h.pool)
	return h.scheduler.RequiredRoster(h.clearing.admissible(listings, h.scheduler.HasIncarnation), h.clearing.withdrawn())
}

// mayBeRostered reports whether the stored roster may have a life of the worker.
func (h *poolHolder) mayBeRostered(worker string) bool {
	for life := range h.stored {
		if life.Worker == worker {
			return true
		}
	}
	return false
}

// readNeed reads what the earlier holder told the holder of the duty for hosts: orders may still follow it.
func (h *poolHolder) readNeed() (need needRow, version uint64, err error) {
	if h.manager.CloudAPI.SendOrder == nil {
		return needRow{}, 0, nil
	}
	row, ok, err := h.manager.Rows.ReadRow(h.ctx, needKeyOf(h.pool), "takeover")
	if err != nil || !ok {
		return needRow{}, 0, err
	}
	if err := decodeRow(row, &need); err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: err.Error()})
	}
	return need, row.Version, nil
}

// poolLoad tells what the pool does with its workers. None are spare while new jobs may not have been told of.
func (h *poolHolder) poolLoad(now time.Time) work.CapacityDemand {
	h.scheduler.SetHostShortage(h.manager.hostsShort())
	load := h.scheduler.CapacityDemand(now)
	if h.feed.isOverdue(now) {
		load.SpareCount, load.SpareWorkers = 0, nil
	}
	return load
}
