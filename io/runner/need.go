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
	// retractTime is how long orders for a host may still follow the need that named its worker.
	retractTime = intentTime + 1500*time.Millisecond
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

// offer is a spare worker that the pool wants to give up.
type offer struct {
	since time.Time
	// retracted is when the pool began to take the offer back; zero if it has not.
	retracted time.Time
}

// withOffers adds the spare workers to those withdrawn for maintenance. The caller holds the lock.
func (h *holder) withOffers(withdrawn map[string]bool, now time.Time) map[string]bool {
	all := maps.Clone(withdrawn)
	if all == nil {
		all = make(map[string]bool)
	}
	if h.m.Machines.Send == nil {
		return all
	}
	load := h.board.Load(now)
	for _, id := range load.Offer {
		if _, known := h.offers[id]; !known && !all[id] {
			h.offers[id] = offer{since: now}
		}
	}
	cleared := h.board.Cleared()
	for id, o := range h.offers {
		h.review(id, o, slices.Contains(cleared, id), load.Ask > 0, now)
		if _, kept := h.offers[id]; kept {
			all[id] = true
		}
	}
	return all
}

// review takes an offer back that is not wanted any more. A worker that was told to be cleared may be moved at any
// moment, so it is used again only some time after the need without it was written.
func (h *holder) review(id string, o offer, cleared, asking bool, now time.Time) {
	old := now.Sub(o.since) > offerTime
	switch {
	case !cleared && (old || asking) && !slices.Contains(h.need.Cleared, id):
		delete(h.offers, id)
	case cleared && old && o.retracted.IsZero():
		o.retracted = now
		h.offers[id] = o
	case !o.retracted.IsZero() && now.Sub(o.retracted) > retractTime && !slices.Contains(h.need.Cleared, id):
		delete(h.offers, id)
	}
}

// cleared returns the withdrawn workers that run nothing and whose offers stand.
func (h *holder) cleared() []string {
	return slices.DeleteFunc(h.board.Cleared(), func(id string) bool { return !h.offers[id].retracted.IsZero() })
}

// dueNeed returns the pool's need if it has to be written. The caller holds the lock.
func (h *holder) dueNeed(now time.Time) (needRow, bool) {
	if h.m.Machines.Send == nil || now.Sub(h.needAt) < needEvery {
		return needRow{}, false
	}
	load := h.board.Load(now)
	need := needRow{Ask: load.Ask, Spare: load.Spare, Cleared: h.cleared()}
	if need.equal(h.need) {
		return needRow{}, false
	}
	h.needAt = now
	return need, true
}
