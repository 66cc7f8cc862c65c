package replay

import (
	"encoding/json"
	"fmt"
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

// Owner is a span of a host's life in one pool, from At to the At of the host's next owner.
type Owner struct {
	At   time.Time `json:"at"`
	Pool string    `json:"pool"`
}

// ownership follows the rows that the platform's table holds, and notes who owns
// each host. It knows of the rows of hosts and pools no more than the names in them.
type ownership struct {
	mu sync.Mutex
	// owners holds the spans of each host in order; the first is its home pool, since ever.
	owners map[host.ID][]Owner
	// listed holds the hosts that each pool's row lists.
	listed map[string][]host.ID
	// faults are the moments at which the rows did not give each host to one pool.
	faults  []string
	commits int
}

// poolRow and hostRow are what the judge reads of the rows.
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

func newOwnership(homes map[host.ID]string) *ownership {
	o := &ownership{owners: make(map[host.ID][]Owner), listed: make(map[string][]host.ID)}
	for id, pool := range homes {
		o.owners[id] = []Owner{{Pool: pool}}
	}
	return o
}

// observe takes in one transaction and checks the rows after it.
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
			o.setListed(name, w)
			relevant = true
		}
	}
	if relevant {
		o.commits++
		o.check(at)
	}
}

func (o *ownership) setOwner(at time.Time, id host.ID, w platform.Write) {
	var row hostRow
	if !w.Delete && json.Unmarshal(w.Value, &row) != nil {
		o.faults = append(o.faults, fmt.Sprintf("the row of host %s can't be read", id))
	}
	spans := o.owners[id]
	if n := len(spans); n > 0 && spans[n-1].Pool == row.Pool {
		return
	}
	o.owners[id] = append(spans, Owner{At: at, Pool: row.Pool})
}

func (o *ownership) setListed(pool string, w platform.Write) {
	var row poolRow
	if !w.Delete && json.Unmarshal(w.Value, &row) != nil {
		o.faults = append(o.faults, fmt.Sprintf("the row of pool %s can't be read", pool))
	}
	var ids []host.ID
	for _, h := range row.Hosts {
		ids = append(ids, h.ID)
	}
	o.listed[pool] = ids
}

// check notes each host that two pools list, or that its own row gives to another pool.
func (o *ownership) check(at time.Time) {
	lists := make(map[host.ID]string)
	for pool, ids := range o.listed {
		for _, id := range ids {
			if other, ok := lists[id]; ok {
				o.faults = append(o.faults, fmt.Sprintf("%s: host %s is in the rows of %s and %s", at.Format(clock), id, other, pool))
			}
			lists[id] = pool
			if owner := o.owner(id, at); owner != pool {
				o.faults = append(o.faults, fmt.Sprintf("%s: host %s is in the row of %s and belongs to %q", at.Format(clock), id, pool, owner))
			}
		}
	}
}

// ownerAt returns the pool that owned a host at a moment.
func (o *ownership) ownerAt(id host.ID, at time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner(id, at)
}

func (o *ownership) owner(id host.ID, at time.Time) string {
	spans := o.owners[id]
	i := sort.Search(len(spans), func(i int) bool { return spans[i].At.After(at) })
	if i == 0 {
		return ""
	}
	return spans[i-1].Pool
}

// adopted counts the hosts that some pool's row lists.
func (o *ownership) adopted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, ids := range o.listed {
		n += len(ids)
	}
	return n
}

// Move is a change of a host's owner from one pool to another.
type Move struct {
	Host host.ID   `json:"host"`
	At   time.Time `json:"at"`
	From string    `json:"from"`
	To   string    `json:"to"`
}

// moves returns the changes of owners, in the order of time.
func (o *ownership) moves() []Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	var moves []Move
	for id, spans := range o.owners {
		for i := 1; i < len(spans); i++ {
			if spans[i-1].Pool != "" && spans[i].Pool != "" {
				moves = append(moves, Move{Host: id, At: spans[i].At, From: spans[i-1].Pool, To: spans[i].Pool})
			}
		}
	}
	sort.Slice(moves, func(i, j int) bool { return moves[i].At.Before(moves[j].At) })
	return moves
}
