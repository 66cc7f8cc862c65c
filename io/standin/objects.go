package standin

import (
	"bytes"
	"context"
	"sync"

	"siskincross/io/platform"
)

// Objects is an in-memory object store. The zero value is empty and healthy.
type Objects struct {
	mu       sync.Mutex
	contents map[string][]byte
	down     bool
}

// Service returns the store as the platform's object store, without a wire format.
func (o *Objects) Service() platform.ObjectStore {
	return platform.ObjectStore{Put: o.Put, Get: o.Get, Delete: o.Delete}
}

// SetDown switches the store off or on.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Put implements platform.Objects.
func (o *Objects) Put(_ context.Context, name string, content []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return o.unavailable()
	}
	o.store(name, content)
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, o.unavailable()
	}
	content, ok := o.contents[name]
	if !ok {
		return nil, platform.ErrNotFound{Kind: "object", Name: name}
	}
	return bytes.Clone(content), nil
}

// Delete implements platform.Objects.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return o.unavailable()
	}
	delete(o.contents, name)
	return nil
}

// putFromWorker stores what a worker writes. Workers have a path of their own to the store, without its outages.
func (o *Objects) putFromWorker(name string, content []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store(name, content)
}

// getForWorker returns what a worker reads.
func (o *Objects) getForWorker(name string) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.contents[name]
}

func (o *Objects) store(name string, content []byte) {
	if o.contents == nil {
		o.contents = make(map[string][]byte)
	}
	o.contents[name] = bytes.Clone(content)
}

func (o *Objects) unavailable() error {
	return platform.ErrUnavailable{Service: "object store", Reason: "down"}
}
