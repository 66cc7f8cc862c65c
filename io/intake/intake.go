// Package intake bounds the memory that the bodies of requests take in a process. When it is used up, the body that has been incomplete
// for longest is broken off: an ordinary caller's body is complete within a round trip, so it is never the oldest one for long.
package intake

import (
	"errors"
	"sync"
)

// ErrBrokenOff is returned for a body that was broken off, or refused, because bodies take all memory that they may take.
var ErrBrokenOff = errors.New("bodies of requests take all memory that they may take")

// Pool is the memory for the bodies of all requests of a process. The zero value has no limit. The methods may be called from any
// goroutine.
type Pool struct {
	// Limit is the number of bytes that bodies may take; zero means no limit. A body that is alone may exceed it.
	Limit int64

	mu sync.Mutex
	// released is signalled when bytes were released or a body was broken off.
	released sync.Cond
	// held is the sum of what all bodies hold, leaving the part of it that broken off bodies hold, and awaited what waiting bodies ask
	// for.
	held, leaving, awaited int64
	// oldest and newest are the ends of the list of incomplete bodies that were not broken off.
	oldest, newest *Body
}

// Body is what the body of one request holds of the pool.
type Body struct {
	pool      *Pool
	interrupt func()
	held      int64
	state     state
	// older and newer are its neighbours in the list of incomplete bodies.
	older, newer *Body
}

// state is how far a body has come.
type state int

const (
	// incomplete bodies are in the list of the pool.
	incomplete state = iota
	complete
	brokenOff
)

// Begin adds a body of which nothing has been read. The caller must call End for it. If the body is broken off, interrupt is called with
// the pool's lock held: it must end a read of the body that is under way, and not block.
func (p *Pool) Begin(interrupt func()) *Body {
	b := &Body{pool: p, interrupt: interrupt}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released.L = &p.mu
	b.older, p.newest = p.newest, b
	if b.older == nil {
		p.oldest = b
	} else {
		b.older.newer = b
	}
	return b
}

// Grow adds bytes to what the body holds. It breaks off older bodies if need be, and waits until they have released theirs. It returns
// ErrBrokenOff if the body was broken off, or doesn't fit beside complete ones.
func (b *Body) Grow(bytes int64) error {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaited += bytes
	defer func() { p.awaited -= bytes }()
	for b.state != brokenOff && !p.fits(b, bytes) {
		for p.held-p.leaving+p.awaited > p.Limit && p.oldest != nil {
			p.breakOff(p.oldest)
		}
		if b.state == brokenOff || p.leaving == 0 {
			return ErrBrokenOff
		}
		p.released.Wait()
	}
	if b.state == brokenOff {
		return ErrBrokenOff
	}
	b.held += bytes
	p.held += bytes
	return nil
}

// Reserve lets the body hold at least a number of bytes. It returns errors like Grow.
func (b *Body) Reserve(bytes int64) error {
	b.pool.mu.Lock()
	missing := bytes - b.held
	b.pool.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	return b.Grow(missing)
}

// fits reports whether a body may hold more bytes. The caller holds the lock.
func (p *Pool) fits(b *Body, bytes int64) bool {
	return p.Limit == 0 || p.held+bytes <= p.Limit || p.held == b.held
}

// Complete notes that the whole body has been read: it isn't broken off any more. It returns ErrBrokenOff if it was before.
func (b *Body) Complete() error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.state == brokenOff {
		return ErrBrokenOff
	}
	b.pool.remove(b)
	b.state = complete
	return nil
}

// Shrink releases all but a number of bytes of a complete body.
func (b *Body) Shrink(bytes int64) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if released := b.held - bytes; released > 0 && b.state == complete {
		b.held -= released
		b.pool.held -= released
		b.pool.released.Broadcast()
	}
}

// End releases what the body holds. It isn't interrupted after that.
func (b *Body) End() {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch b.state {
	case incomplete:
		p.remove(b)
	case brokenOff:
		p.leaving -= b.held
	case complete:
	}
	b.state = complete
	p.held -= b.held
	b.held = 0
	p.released.Broadcast()
}

// BreakOffOldest breaks off the body that has been incomplete for longest, and reports whether there is one.
func (p *Pool) BreakOffOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.oldest == nil {
		return false
	}
	p.breakOff(p.oldest)
	return true
}

// Held returns the number of bytes that bodies hold.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// breakOff breaks off an incomplete body. The caller holds the lock.
func (p *Pool) breakOff(b *Body) {
	p.remove(b)
	b.state = brokenOff
	p.leaving += b.held
	b.interrupt()
	p.released.Broadcast()
}

// remove takes a body out of the list of incomplete ones. The caller holds the lock.
func (p *Pool) remove(b *Body) {
	if b.older == nil {
		p.oldest = b.newer
	} else {
		b.older.newer = b.newer
	}
	if b.newer == nil {
		p.newest = b.older
	} else {
		b.newer.older = b.older
	}
	b.older, b.newer = nil, nil
}
