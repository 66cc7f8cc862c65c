package replay

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

const (
	hostRowPrefix = "host/"
	poolRowPrefix = "pool/"
)

// OwnerSpan is a time span in which one pool owns a host, until the From of the host's next span.
type OwnerSpan struct {
	From time.Time `json:"at"`
	Pool string    `json:"pool"`
}

// ownership observes the transactions of the platform's table service and records
// which pool owns each host. It reads only the names of hosts and pools from the rows.
type ownership struct {
	mu sync.Mutex
	// owners holds the spans of each host in order of time. The first is the host's home pool, with a zero From.
	owners map[host.ID][]OwnerSpan
	// poolHosts maps each pool to the hosts that its row lists.
	poolHosts map[string][]host.ID
	// violations describes each inconsistency between the rows, and each row that can't be decoded.
	violations []string
}

// poolRow and hostRow hold the fields of the rows that the checks read.
type (
	poolRow struct {
		Hosts []struct {
			ID host.ID `json:"id"`
		} `json:"hosts"`
	}
	hostRow struct {
		Pool string `json:"pool"`
	}
)

// newOwnership returns the ownership before the first transaction; homes maps each host to its home pool.
func newOwnership(homes map[host.ID]string) *ownership {
	o := &ownership{owners: make(map[host.ID][]OwnerSpan), poolHosts: make(map[string][]host.ID)}
	for id, pool := range homes {
		o.owners[id] = []OwnerSpan{{Pool: pool}}
	}
	return o
}

// observe records the effect of a transaction and checks that the rows are consistent after it.
func (o *ownership) observe(at time.Time, tx platform.Transaction) {
	o.mu.Lock()
	defer o.mu.Unlock()
	relevant := false
	for _, w := range tx.Writes {
		if id, ok := strings.CutPrefix(w.Key, hostRowPrefix); ok {
			o.setOwner(at, host.ID(id), w)
			relevant = true
		}
		if name, ok := strings.CutPrefix(w.Key, poolRowPrefix); ok {
			o.setPoolHosts(name, w)
			relevant = true
		}
	}
	if relevant {
		o.checkConsistency(at)
	}
}

// setOwner records the owner that the written row of a host names. The caller holds o.mu.
func (o *ownership) setOwner(at time.Time, id host.ID, w platform.Write) {
	var row hostRow
	if !w.Delete && json.Unmarshal(w.Value, &row) != nil {
		o.violations = append(o.violations, fmt.Sprintf("row of host %s can't be decoded", id))
	}
	spans := o.owners[id]
	if n := len(spans); n > 0 && spans[n-1].Pool == row.Pool {
		return
	}
	o.owners[id] = append(spans, OwnerSpan{From: at, Pool: row.Pool})
}

// setPoolHosts records the hosts that the written row of a pool lists. The caller holds o.mu.
func (o *ownership) setPoolHosts(pool string, w platform.Write) {
	var row poolRow
	if !w.Delete && json.Unmarshal(w.Value, &row) != nil {
		o.violations = append(o.violations, fmt.Sprintf("row of pool %s can't be decoded", pool))
	}
	var ids []host.ID
	for _, h := range row.Hosts {
		ids = append(ids, h.ID)
	}
	o.poolHosts[pool] = ids
}

// checkConsistency records a violation for each host that is in the rows of two
// pools, or whose own row names another pool. The caller holds o.mu.
func (o *ownership) checkConsistency(at time.Time) {
	lists := make(map[host.ID]string)
	for pool, ids := range o.poolHosts {
		for _, id := range ids {
			if other, ok := lists[id]; ok {
				o.violations = append(o.violations, fmt.Sprintf("%s: host %s is in the rows of both %s and %s", at.Format(timeFormat), id, other, pool))
			}
			lists[id] = pool
			if owner := o.ownerLocked(id, at); owner != pool {
				o.violations = append(o.violations, fmt.Sprintf("%s: host %s is in the row of %s, but its own row names %q", at.Format(timeFormat), id, pool, owner))
			}
		}
	}
}

// owner returns the pool that owned a host at a time; empty if none did.
func (o *ownership) owner(id host.ID, at time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownerLocked(id, at)
}

// ownerLocked is owner for callers that hold o.mu.
func (o *ownership) ownerLocked(id host.ID, at time.Time) string {
	spans := o.owners[id]
	i := sort.Search(len(spans), func(i int) bool { return spans[i].From.After(at) })
	if i == 0 {
		return ""
	}
	return spans[i-1].Pool
}

// adoptedCount returns the number of hosts in the rows of pools.
func (o *ownership) adoptedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, ids := range o.poolHosts {
		n += len(ids)
	}
	return n
}

// violationList returns the violations so far.
func (o *ownership) violationList() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// Move is the move of a host from one pool to another.
type Move struct {
	Host host.ID   `json:"host"`
	At   time.Time `json:"at"`
	From string    `json:"from"`
	To   string    `json:"to"`
}

// moves returns the moves of hosts between pools, in order of time.
func (o *ownership) moves() []Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	var moves []Move
	for id, spans := range o.owners {
		for i := 1; i < len(spans); i++ {
			if spans[i-1].Pool != "" && spans[i].Pool != "" {
				moves = append(moves, Move{Host: id, At: spans[i].From, From: spans[i-1].Pool, To: spans[i].Pool})
			}
		}
	}
	sort.Slice(moves, func(i, j int) bool { return moves[i].At.Before(moves[j].At) })
	return moves
}
