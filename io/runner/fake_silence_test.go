package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSilentStoreAnswersNoPoll guards against a stand-in whose store answers a long poll that began before the store fell silent: an
// entry host that was cut off then knows its duty as its own once more.
func TestSilentStoreAnswersNoPoll(t *testing.T) {
	for _, silentTo := range []string{"e0", "*"} {
		t.Run(silentTo, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFakeStore()
				time.AfterFunc(time.Second, func() { store.setSilent(silentTo, true) })
				_, err := store.rowsFor("e0").AwaitChanges(context.Background(), "queue-desk", 0, 1500*time.Millisecond)
				is.True(err != nil)
			})
		})
	}
}
