package standin

import (
	"bytes"
	"context"
	"sync"

	"siskincross/io/platform"
)

// Objects is an in-memory object store. The zero value is an empty, healthy store.
type Objects struct {
	mu sync.Mutex
	// contents holds the content of each object by its name.
	contents map[string][]byte
	down     bool
}

// Service returns the store as the platform's object store, called in process without a wire format.
func (o *Objects) Service() platform.ObjectStore {
	return platform.ObjectStore{Put: o.Put, Get: o.Get, Delete: o.Delete}
}

// SetDown makes every call of the service fail with ErrUnavailable, or ends that outage.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Put implements the Put call of platform.ObjectStore.
func (o *Objects) Put(_ context.Context, name string, content []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return o.unavailable()
	}
	o.store(name, content)
	return nil
}

// Get implements the Get call of platform.ObjectStore.
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

// Delete implements the Delete call of platform.ObjectStore.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return o.unavailable()
	}
	delete(o.contents, name)
	return nil
}

// putFromWorker stores an object that a worker writes. Workers reach the store by a path of their own, which injected outages don't affect.
func (o *Objects) putFromWorker(name string, content []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store(name, content)
}

// getForWorker returns the content of an object that a worker reads, or nil if there is none. Outages don't affect it.
func (o *Objects) getForWorker(name string) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.contents[name]
}

// store keeps a copy of content under name. The caller holds o.mu.
func (o *Objects) store(name string, content []byte) {
	if o.contents == nil {
		o.contents = make(map[string][]byte)
	}
	o.contents[name] = bytes.Clone(content)
}

func (o *Objects) unavailable() error {
	return platform.ErrUnavailable{Service: "object store", Reason: "down"}
}
