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

// step is one fault and one change of a random run. Numbers that select an item are taken
// modulo the number of items.
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

// propertyRun is the state of one random run: the versions that members had and the results
// that callers received.
type propertyRun struct {
	*cluster
	highest  map[*node]config.Version
	accepted map[config.Version]int
	// unknownOutcomes counts the changes for which the caller received no definite outcome.
	unknownOutcomes int
	started         int
	err             error
}

func (r *propertyRun) failf(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
}

func (r *propertyRun) memberAt(n int) string {
	members := r.members()
	return members[n%len(members)]
}

// checkVersions fails the run if the version of a member decreased.
func (r *propertyRun) checkVersions() {
	for _, member := range r.members() {
		n := r.node(member)
		held := n.Current().Version
		if held < r.highest[n] {
			r.failf("%s went back from version %d to %d", member, r.highest[n], held)
		}
		r.highest[n] = held
	}
}

// staleReads makes a manager read an outdated head from time to time.
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

func (r *propertyRun) injectFault(s step) {
	switch s.Fault {
	case 0:
		r.setLinkDown(r.memberAt(s.Member), r.memberAt(s.Other), s.On)
	case 1:
		r.table.SetFaults(standin.TableFaults{Down: s.On, Delay: time.Duration(s.Millis) * time.Millisecond})
	case 2:
		r.table.SetFaults(standin.TableFaults{LoseAnswers: s.Lost % 3, LoseCommits: s.Lost / 3})
	case 3:
		member := r.memberAt(s.Member)
		r.mu.Lock()
		r.extraDelay[member] = time.Duration(s.Millis*4) * time.Millisecond
		r.mu.Unlock()
	case 4:
		r.objects.SetDown(s.On)
	case 5:
		if len(r.members()) > 2 {
			r.stop(r.memberAt(s.Member))
		}
	case 6:
		r.started++
		r.start(fmt.Sprintf("m%d", r.started), staleReads)
	}
}

// applyChange applies one change and records the result that its caller received.
func (r *propertyRun) applyChange(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n := r.node(r.memberAt(s.Applier))
	from := config.Version(0)
	if list, err := n.Organisations(ctx); err == nil && len(list) > 0 {
		from = list[0].Version
	}
	accepted, err := n.Apply(ctx, r.portLouisChange(s.Hosts, from))
	var unknown ErrOutcomeUnknown
	switch {
	case err == nil:
		r.accepted[accepted.Version]++
	case errors.As(err, &unknown):
		r.unknownOutcomes++
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
	r := &propertyRun{
		cluster:  newCluster(t, threeMembers...),
		highest:  map[*node]config.Version{},
		accepted: map[config.Version]int{},
	}
	for _, s := range steps {
		r.injectFault(s)
		r.applyChange(s)
		r.checkVersions()
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		r.checkVersions()
	}
	r.clearFaults()
	time.Sleep(time.Minute)
	r.checkVersions()
	r.checkConverged()
	r.stopAll()
	return r.err
}

// clearFaults removes all faults.
func (r *propertyRun) clearFaults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downLinks, r.extraDelay = map[string]bool{}, map[string]time.Duration{}
	r.objects.SetDown(false)
	r.table.SetFaults(standin.TableFaults{})
}

// checkConverged fails the run unless every member has the version of the head, every
// accepted change is in the history exactly once, and the other changes in the history are
// at most as many as the unknown outcomes.
func (r *propertyRun) checkConverged() {
	records, err := r.node(r.memberAt(0)).History(context.Background(), "", 1000)
	if err != nil {
		r.failf("read the history: %v", err)
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
			r.failf("version %d was reported as accepted %d times, in the history: %v", version, times, kept[version])
		}
	}
	if extra := len(records) - len(r.accepted); extra > r.unknownOutcomes {
		r.failf("%d changes were committed but neither accepted nor of unknown outcome", extra-r.unknownOutcomes)
	}
	for _, member := range r.members() {
		if got := r.node(member).Current().Version; int(got) != len(records) {
			r.failf("%s has version %d, the history has %d changes", member, got, len(records))
		}
	}
}
