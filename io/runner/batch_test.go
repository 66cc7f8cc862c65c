package runner

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestBatch(t *testing.T) {
	waiting := func(maybe bool) *submission { return &submission{maybeStored: maybe, done: make(chan error, 1)} }
	// A commit got no answer, its repetition was refused because too many transactions waited, and then the store
	// stopped answering.
	t.Run("submission that may be stored is not refused while it waits for the next try", func(t *testing.T) {
		is := is.New(t)
		sent, unsent := waiting(true), waiting(false)
		b := &batcher{}
		b.requeue([]*submission{sent, unsent})
		b.refuseQueued(errStoreUnavailable())
		is.Equal(b.queued, []*submission{sent})
		is.Equal(len(sent.done), 0)
		var refused ErrNotAccepted
		is.True(errors.As(<-unsent.done, &refused))
	})
	t.Run("submissions that are put back go first", func(t *testing.T) {
		is := is.New(t)
		first, second, later := waiting(false), waiting(false), waiting(false)
		b := &batcher{queued: []*submission{first, second}}
		group := b.takeGroup()
		b.queued = append(b.queued, later)
		b.requeue(group[:1])
		is.Equal(b.queued, []*submission{first, later})
		is.Equal(len(b.takeGroup()), 2)
	})
}
