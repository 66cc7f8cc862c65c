package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

// TestDrainCancelledDuringEviction guards against tasks that are stopped for the drain of a worker that stays in service after
// all.
func TestDrainCancelledDuringEviction(t *testing.T) {
	b := newSimulation(t, 1)
	b.behaviour = func(host.ID, Job) behaviour { return behaviour{duration: time.Hour, cores: 1, memory: gigabyte} }
	is := is.New(t)
	b.submit(4, testSpec("video", "video"))
	b.run(5 * time.Second)
	b.s.SetDraining([]host.ID{b.targets[0].Host}, b.now)
	commands := b.s.TakeCommands(b.now)
	is.True(len(commands) > 0)
	for _, c := range commands {
		is.Equal(c.Action, ActionCheckpoint)
	}
	b.s.SetDraining(nil, b.now)
	b.run(5 * time.Minute)
	is.Equal(b.commands[ActionStop], 0)
}
