package pool_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskincross/core/pool"
)

// action is one step of the model.
type action struct {
	name string
	// by is the acting holder; -1 is the platform.
	by int
	do func(*model)
}

// actions returns all possible steps of the model.
func actions() []action {
	var all []action
	add := func(by int, do func(*model), format string, args ...any) {
		all = append(all, action{name: fmt.Sprintf(format, args...), by: by, do: do})
	}
	for n := range modelHosts {
		add(-1, func(m *model) { m.failOrRecover(n) }, "host %d fails or recovers", n)
	}
	for by := range modelHolders {
		add(by, func(m *model) { m.read(by) }, "%d reads", by)
		add(by, func(m *model) { m.crash(by) }, "%d crashes", by)
		for i := range modelPools {
			add(by, func(m *model) { m.takeDuty(by, i, false) }, "%d takes %d", by, i)
			for n := range modelHosts {
				add(by, func(m *model) { m.advance(by, i, n, false) }, "%d advances %d/%d", by, i, n)
				add(by, func(m *model) { m.advance(by, i, n, true) }, "%d advances %d/%d, commit lost", by, i, n)
				add(by, func(m *model) { m.startMove(by, i, n, false) }, "%d starts move of %d/%d", by, i, n)
				add(by, func(m *model) { m.observe(by, i, n, false) }, "%d observes %d/%d", by, i, n)
			}
		}
	}
	return all
}

// TestInvariants checks the invariants over random steps of two holders that lose commits and answers, pause,
// crash and take over duties from each other while hosts fail.
func TestInvariants(t *testing.T) {
	const steps = 400
	all := actions()
	moved, restarted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range steps {
			a := rapid.SampledFrom(all).Draw(t, "action")
			a.do(&m)
			if m.violation != "" {
				t.Fatalf("after %q: %s", a.name, m.violation)
			}
			if a.by >= 0 && rapid.IntRange(0, 3).Draw(t, "pause") > 0 {
				m.read(a.by)
			}
		}
		moved += m.moved()
		restarted += m.restarted()
	})
	is := is.New(t)
	is.True(moved > 0)     // some runs complete moves
	is.True(restarted > 0) // some runs complete reboots
}

// moved returns the number of completed moves.
func (m model) moved() int {
	n := 0
	for _, o := range m.owners {
		n += int(o.Generation) - 1
	}
	return n
}

// restarted returns the number of completed reboots.
func (m model) restarted() int {
	n := 0
	for _, p := range m.platform {
		n += len(strings.Fields(p.done))
	}
	return n
}

// TestAllInterleavings checks the invariants over all sequences of steps up to a depth, from states in which
// each holder has one duty and planned work is in progress.
func TestAllInterleavings(t *testing.T) {
	t.Run("from a host drained for a move", func(t *testing.T) {
		m := heldModel()
		m.startMove(0, 0, 0, false)
		m.read(0)
		assertAllInterleavings(t, m, 5)
	})
	t.Run("from a recorded reboot whose holder is paused", func(t *testing.T) {
		m := heldModel()
		for range 3 {
			m.advance(0, 0, 0, false)
			m.read(0)
		}
		m.read(1)
		m.takeDuty(1, 0, false)
		m.read(1)
		assertAllInterleavings(t, m, 6)
	})
	t.Run("from a host that is ready to move", func(t *testing.T) {
		m := heldModel()
		m.startMove(0, 0, 0, false)
		for range 3 {
			m.read(0)
			m.advance(0, 0, 0, false)
		}
		m.failOrRecover(0)
		m.observe(0, 0, 0, false)
		m.read(0)
		m.read(1)
		assertAllInterleavings(t, m, 5)
	})
}

// heldModel returns a model in which each holder has read all rows and holds one duty.
func heldModel() model {
	m := newModel()
	for by := range modelHolders {
		m.read(by)
		m.takeDuty(by, by, false)
	}
	for by := range modelHolders {
		m.read(by)
	}
	return m
}

// assertAllInterleavings explores all states within depth steps breadth-first.
func assertAllInterleavings(t *testing.T, start model, depth int) {
	t.Helper()
	all := actions()
	frontier := []model{start}
	seen := map[string]bool{start.key(): true}
	for range depth {
		var next []model
		for _, m := range frontier {
			for _, a := range all {
				to := m
				a.do(&to)
				if to.violation != "" {
					t.Fatalf("after %q: %s", a.name, to.violation)
				}
				if key := to.key(); !seen[key] {
					seen[key] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states within %d steps", len(seen), depth)
}

// key identifies the relevant state of a model: operations are numbered by their first appearance, and versions
// count only as current or outdated.
func (m model) key() string {
	k := keyBuilder{}
	for _, r := range m.rows {
		k.addPool(r.pool)
	}
	for _, h := range m.holders {
		for i, seen := range h.seen {
			k.addFlags(h.stale[i], seen.version > 0, seen.version == m.rows[i].version)
			if seen.version != m.rows[i].version {
				k.addPool(seen.pool)
			}
		}
		for _, operation := range h.ordered {
			k.addOperation(operation)
		}
	}
	for _, p := range m.platform {
		k.addFlags(p.failed, p.rebooting)
		k.bytes = append(k.bytes, byte(p.boot))
		for operation := range strings.FieldsSeq(p.done) {
			k.addOperation(operation)
		}
	}
	return string(k.bytes)
}

// keyBuilder encodes the parts of a key.
type keyBuilder struct {
	bytes      []byte
	operations []string
}

func (k *keyBuilder) addOperation(operation string) {
	i := slices.Index(k.operations, operation)
	if i < 0 {
		i = len(k.operations)
		k.operations = append(k.operations, operation)
	}
	k.bytes = append(k.bytes, byte(i))
}

func (k *keyBuilder) addFlags(flags ...bool) {
	for _, flag := range flags {
		k.bytes = strconv.AppendBool(k.bytes, flag)
	}
}

func (k *keyBuilder) addPool(p pool.Pool) {
	k.bytes = append(k.bytes, p.Holder...)
	k.bytes = append(k.bytes, byte(p.Epoch), byte(len(p.Hosts)))
	for _, h := range p.Hosts {
		k.bytes = append(k.bytes, h.ID...)
		k.bytes = append(k.bytes, h.State...)
		k.bytes = append(k.bytes, byte(h.Work.Purpose), byte(h.BootCount))
		k.addOperation(h.Work.Operation)
	}
	for _, in := range p.Inbound {
		k.bytes = append(k.bytes, in.Host...)
	}
	k.bytes = append(k.bytes, '|')
}
