package runner

import (
	"maps"
	"slices"
	"time"

	"siskincross/core/capacity"
	"siskincross/io/platform"
)

const (
	// needEvery is the least time between two writes of a pool's need.
	needEvery = 100 * time.Millisecond
	// offerTime is how long an offered worker waits for its host to be moved before it is used again.
	offerTime = 4 * time.Second
)

// needRow is what a pool's duty holder tells the holder of the duty for hosts.
type needRow struct {
	Ask     int      `json:"ask,omitempty"`
	Spare   int      `json:"spare,omitempty"`
	Cleared []string `json:"cleared,omitempty"`
}

func (r needRow) need() capacity.Need {
	return capacity.Need{Ask: r.Ask, Spare: r.Spare, Cleared: r.Cleared}
}

func (r needRow) equal(o needRow) bool {
	return r.Ask == o.Ask && r.Spare == o.Spare && slices.Equal(r.Cleared, o.Cleared)
}

func needKeyOf(pool string) platform.RowKey {
	return platform.RowKey{Table: hostsTable, Part: pool, Key: needKey}
}

// withOffers adds the spare workers to those withdrawn for maintenance. The caller holds the lock.
func (h *holder) withOffers(withdrawn map[string]bool, now time.Time) map[string]bool {
	load := h.board.Load(now)
	all := maps.Clone(withdrawn)
	if all == nil {
		all = make(map[string]bool)
	}
	if h.m.Machines.Send == nil {
		return all
	}
	for _, id := range load.Offer {
		if !all[id] && h.offered[id].IsZero() {
			h.offered[id] = now
		}
	}
	for id, since := range h.offered {
		if now.Sub(since) > offerTime {
			delete(h.offered, id)
			continue
		}
		all[id] = true
	}
	return all
}

// dueNeed returns the pool's need if it has to be written. The caller holds the lock.
func (h *holder) dueNeed(now time.Time) (needRow, bool) {
	if h.m.Machines.Send == nil || now.Sub(h.needAt) < needEvery {
		return needRow{}, false
	}
	load := h.board.Load(now)
	need := needRow{Ask: load.Ask, Spare: load.Spare, Cleared: h.board.Cleared()}
	if need.equal(h.need) {
		return needRow{}, false
	}
	h.needAt = now
	return need, true
}
