package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"siskincross/core/config"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// step is one fault and one change of a random run. Numbers are taken modulo what there is.
type step struct {
	Fault, Member, Other, Applier, Hosts int
	On                                   bool
	Millis, Lost                         int
	Pause                                int
}

func drawStep(t *rapid.T) step {
	return step{
		Fault:   rapid.IntRange(0, 6).Draw(t, "fault"),
		Member:  rapid.IntRange(0, 9).Draw(t, "member"),
		Other:   rapid.IntRange(0, 9).Draw(t, "other"),
		Applier: rapid.IntRange(0, 9).Draw(t, "applier"),
		Hosts:   rapid.IntRange(6, 40).Draw(t, "hosts"),
		On:      rapid.Bool().Draw(t, "on"),
		Millis:  rapid.IntRange(0, 900).Draw(t, "millis"),
		Lost:    rapid.IntRange(0, 8).Draw(t, "lost"),
		Pause:   rapid.IntRange(0, 2000).Draw(t, "pause"),
	}
}

// run is one random run: what the members held and what callers were told.
type run struct {
	*cluster
	highest  map[*node]config.Version
	accepted map[config.Version]int
	// unknown counts the changes whose outcome was not told.
	unknown int
	started int
	err     error
}

func (r *run) failf(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
}

func (r *run) pick(n int) string {
	members := r.members()
	return members[n%len(members)]
}

// check notes a member whose version fell.
func (r *run) check() {
	for _, member := range r.members() {
		n := r.node(member)
		held := n.Current().Version
		if held < r.highest[n] {
			r.failf("%s fell from version %d to %d", member, r.highest[n], held)
		}
		r.highest[n] = held
	}
}

// staleReads makes a manager read some heads as they were earlier.
func staleReads(m *Manager) {
	read := m.Table.Read
	var mu sync.Mutex
	var old []platform.Row
	calls := 0
	m.Table.Read = func(ctx context.Context, keys []string) ([]platform.Row, error) {
		rows, err := read(ctx, keys)
		if err != nil || len(keys) != 1 || keys[0] != headKey {
			return rows, err
		}
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls%3 == 0 && old != nil {
			return old, nil
		}
		if calls%5 == 1 {
			old = rows
		}
		return rows, nil
	}
}

func (r *run) fault(s step) {
	switch s.Fault {
	case 0:
		r.cutLink(r.pick(s.Member), r.pick(s.Other), s.On)
	case 1:
		r.table.SetFaults(standin.TableFaults{Down: s.On, Delay: time.Duration(s.Millis) * time.Millisecond})
	case 2:
		r.table.SetFaults(standin.TableFaults{LoseAnswers: s.Lost % 3, LoseCommits: s.Lost / 3})
	case 3:
		member := r.pick(s.Member)
		r.mu.Lock()
		r.slow[member] = time.Duration(s.Millis*4) * time.Millisecond
		r.mu.Unlock()
	case 4:
		r.objects.SetDown(s.On)
	case 5:
		if len(r.members()) > 2 {
			r.stop(r.pick(s.Member))
		}
	case 6:
		r.started++
		r.start(fmt.Sprintf("m%d", r.started), staleReads)
	}
}

// apply makes one change and notes what its caller was told.
func (r *run) apply(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n := r.node(r.pick(s.Applier))
	from := config.Version(0)
	if list, err := n.Organisations(ctx); err == nil && len(list) > 0 {
		from = list[0].Version
	}
	accepted, err := n.Apply(ctx, r.change(s.Hosts, from))
	var unknown ErrOutcomeUnknown
	switch {
	case err == nil:
		r.accepted[accepted.Version]++
	case errors.As(err, &unknown):
		r.unknown++
	}
}

func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 25).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runSteps(t, steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runSteps(t *testing.T, steps []step) error {
	r := &run{
		cluster:  newCluster(t, three...),
		highest:  map[*node]config.Version{},
		accepted: map[config.Version]int{},
	}
	for _, s := range steps {
		r.fault(s)
		r.apply(s)
		r.check()
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		r.check()
	}
	r.heal()
	time.Sleep(time.Minute)
	r.check()
	r.checkConverged()
	r.stopAll()
	return r.err
}

// heal ends all faults.
func (r *run) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.slow = map[string]bool{}, map[string]time.Duration{}
	r.objects.SetDown(false)
	r.table.SetFaults(standin.TableFaults{})
}

// checkConverged notes it when a member does not hold the head, when what was
// told accepted is not in the history once, or when something else is but unknown outcomes.
func (r *run) checkConverged() {
	records, err := r.node(r.pick(0)).History(context.Background(), "", 1000)
	if err != nil {
		r.failf("history: %v", err)
	}
	kept, changes := map[config.Version]bool{}, map[string]bool{}
	for _, record := range records {
		if changes[record.Change] {
			r.failf("change %s is in the history twice", record.Change)
		}
		kept[record.Version], changes[record.Change] = true, true
	}
	for version, times := range r.accepted {
		if times != 1 || !kept[version] {
			r.failf("version %d was told accepted %d times, kept: %v", version, times, kept[version])
		}
	}
	if extra := len(records) - len(r.accepted); extra > r.unknown {
		r.failf("%d changes were committed that nobody was told of", extra-r.unknown)
	}
	for _, member := range r.members() {
		if got := r.node(member).Current().Version; int(got) != len(records) {
			r.failf("%s holds version %d of %d", member, got, len(records))
		}
	}
}
