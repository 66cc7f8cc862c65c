package work

import "time"

const (
	// generationBits is the number of low bits of a fencing token in which a generation usually fits; the others hold the epoch. A
	// larger one carries into the epoch without reaching the next holder's: epochs are versions of the store, which grow with each of
	// its transactions, many times as fast as the generation of a worker.
	generationBits = 8
	// generationMemory is the time for which the generation of a worker is remembered after the last call to it: until none can be
	// carried out any more.
	generationMemory = 2 * lateOrderBound
)

// FencingToken returns the token that a call to this endpoint carries. An incarnation that has seen it refuses calls of earlier epochs,
// and of this epoch those to earlier incarnations of its worker.
func (e Endpoint) FencingToken(epoch uint64) uint64 {
	return epoch<<generationBits + uint64(e.Generation)
}

// FencingToken returns the token that the order carries.
func (o Order) FencingToken() uint64 { return o.Endpoint.FencingToken(o.Epoch) }

// FencingToken returns the token that the renewal carries.
func (r Renewal) FencingToken() uint64 { return r.Endpoint.FencingToken(r.Epoch) }

// generation is the generation of the last call to a worker.
type generation struct {
	number uint32
	// calledAt is the time of the last call.
	calledAt time.Time
}

// generations holds the generation of each worker that was called lately. The zero value has none.
type generations struct{ byWorker map[string]*generation }

// next returns the generation of a worker's next incarnation.
func (g *generations) next(worker string, now time.Time) uint32 {
	for id, known := range g.byWorker {
		if now.Sub(known.calledAt) > generationMemory {
			delete(g.byWorker, id)
		}
	}
	if g.byWorker == nil {
		g.byWorker = make(map[string]*generation)
	}
	known := g.byWorker[worker]
	if known == nil {
		known = &generation{calledAt: now}
		g.byWorker[worker] = known
		return 0
	}
	known.calledAt = now
	known.number++
	return known.number
}

// raise returns a generation of a worker that is higher than this one, and remembers it.
func (g *generations) raise(worker string, above uint32, now time.Time) uint32 {
	if known := g.byWorker[worker]; known != nil && known.number > above {
		known.calledAt = now
		return known.number
	}
	g.next(worker, now)
	known := g.byWorker[worker]
	known.number = max(known.number, above+1)
	return known.number
}

// called records a call to a worker.
func (g *generations) called(worker string, now time.Time) {
	if known := g.byWorker[worker]; known != nil {
		known.calledAt = now
	}
}
