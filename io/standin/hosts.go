package standin

import (
	"context"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

// FailMode is how a failed host behaves.
type FailMode int

// Modes of failure.
const (
	// FailRefuse hosts have crashed: connections are refused and tasks are lost.
	FailRefuse FailMode = iota
	// FailHang hosts accept connections and do not answer. Their tasks go on until their leases lapse.
	FailHang
)

// ListFaults switches the failures of the list of hosts. The zero value is a healthy list.
type ListFaults struct {
	Down bool `json:"down,omitempty"`
	// Empty makes the list show no hosts.
	Empty bool `json:"empty,omitempty"`
	// Flap is the share of hosts that each call leaves out, in [0, 1].
	Flap float64 `json:"flap,omitempty"`
	// Lag replaces the fleet's lag unless it is zero.
	Lag time.Duration `json:"lag,omitempty"`
}

// SetListFaults replaces the fault switches of the list of hosts.
func (p *Platform) SetListFaults(f ListFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = f
}

// Fail makes a host fail.
func (p *Platform) Fail(id host.ID, mode FailMode) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	w.fail(time.Now(), mode)
	return nil
}

// Recover ends a host's failure. A crashed host starts again.
func (p *Platform) Recover(id host.ID) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	w.recover(time.Now())
	return nil
}

// Leave announces that a host will be taken away after the notice.
func (p *Platform) Leave(id host.ID, notice time.Duration) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	w.leave(time.Now(), notice)
	return nil
}

// SetTargetFaults replaces the fault switches of a host's target and worker.
func (p *Platform) SetTargetFaults(id host.ID, f TargetFaults) error {
	return p.ChangeTargetFaults(id, func(current *TargetFaults) { *current = f })
}

// ChangeTargetFaults changes some of the fault switches of a host and leaves the others.
func (p *Platform) ChangeTargetFaults(id host.ID, change func(*TargetFaults)) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	return nil
}

// IDs returns the IDs of all hosts, in the order of the fleet.
func (p *Platform) IDs() []host.ID {
	ids := make([]host.ID, len(p.hosts))
	for i, w := range p.hosts {
		ids[i] = w.spec.ID
	}
	return ids
}

func (p *Platform) listHosts(context.Context) ([]platform.HostInfo, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list.Down {
		return nil, platform.ErrUnavailable{Service: "list of hosts", Reason: "down"}
	}
	if p.list.Empty {
		return nil, nil
	}
	lag := p.fleet.ListLag
	if p.list.Lag > 0 {
		lag = p.list.Lag
	}
	at := time.Now().Add(-lag)
	var listings []platform.HostInfo
	for _, w := range p.hosts {
		if p.list.Flap > 0 && p.random.Float64() < p.list.Flap {
			continue
		}
		if listing, ok := w.listing(at); ok {
			listings = append(listings, listing)
		}
	}
	return listings, nil
}

func (p *Platform) drain(_ context.Context, id host.ID) error   { return p.setDrained(id, true) }
func (p *Platform) undrain(_ context.Context, id host.ID) error { return p.setDrained(id, false) }

func (p *Platform) setDrained(id host.ID, drained bool) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	return w.setDrained(time.Now(), drained)
}

func (p *Platform) reboot(_ context.Context, id host.ID, operation string) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	return w.reboot(time.Now(), operation)
}

// stage is a span of a host's life, from At to the At of the next stage.
type stage struct {
	at        time.Time
	condition platform.Condition
	boot      int
	mode      FailMode
	// gone hosts are in no list and answer nothing.
	gone bool
}

// down reports whether the host is switched off.
func (s stage) down() bool {
	if s.gone || s.condition == platform.ConditionRebooting {
		return true
	}
	return s.condition == platform.ConditionFailed && s.mode == FailRefuse
}

// hung reports whether the host runs and answers nothing.
func (s stage) hung() bool {
	return s.condition == platform.ConditionFailed && s.mode == FailHang
}

// stageAt returns the stage at t. Hosts have existed for ever. The caller holds w.mu.
func (w *worker) stageAt(t time.Time) stage {
	for i := len(w.stages) - 1; i > 0; i-- {
		if !w.stages[i].at.After(t) {
			return w.stages[i]
		}
	}
	return w.stages[0]
}

// nextStage returns the time of the first stage after t, or false. The caller holds w.mu.
func (w *worker) nextStage(t time.Time) (time.Time, bool) {
	for _, s := range w.stages {
		if s.at.After(t) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// enter drops the stages planned after now, adds s and wakes all that wait for a turn. The caller holds w.mu.
func (w *worker) enter(now time.Time, s stage) {
	w.settle(now)
	for len(w.stages) > 1 && w.stages[len(w.stages)-1].at.After(now) {
		w.stages = w.stages[:len(w.stages)-1]
	}
	s.at = now
	w.stages = append(w.stages, s)
	if s.down() {
		w.loseTasks(now, s.condition.String())
	}
	w.wake()
}

// wake makes all that wait for a change of the host look again. The caller holds w.mu.
func (w *worker) wake() {
	close(w.turn)
	w.turn = make(chan struct{})
}

func (w *worker) record(now time.Time, kind ChangeKind, fault bool, operation string) {
	w.journal.add(Change{Host: w.spec.ID, At: now, Kind: kind, Fault: fault, Operation: operation})
}

func (w *worker) fail(now time.Time, mode FailMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.stageAt(now)
	w.record(now, ChangeFailed, true, "")
	w.enter(now, stage{condition: platform.ConditionFailed, boot: current.boot, mode: mode})
}

func (w *worker) recover(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.stageAt(now)
	if current.condition != platform.ConditionFailed {
		return
	}
	boot := current.boot
	if current.down() {
		boot++
	}
	w.record(now, ChangeRecovered, true, "")
	w.enter(now, stage{condition: platform.ConditionLive, boot: boot})
}

func (w *worker) leave(now time.Time, notice time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.stageAt(now).boot
	w.record(now, ChangeLeaving, true, "")
	w.record(now.Add(notice), ChangeGone, true, "")
	w.enter(now, stage{condition: platform.ConditionLeaving, boot: boot})
	w.stages = append(w.stages, stage{at: now.Add(notice), condition: platform.ConditionLeaving, boot: boot, gone: true})
}

func (w *worker) setDrained(now time.Time, drained bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.stageAt(now); current.down() || current.hung() {
		return platform.ErrUnavailable{Service: "pool operations", Reason: "host " + string(w.spec.ID) + " does not answer"}
	}
	if w.drained == drained {
		return nil
	}
	w.drained = drained
	kind := ChangeUndrained
	if drained {
		kind = ChangeDrained
	}
	w.record(now, kind, false, "")
	w.wake()
	return nil
}

// reboot restarts the host. The host stays drained over the reboot.
func (w *worker) reboot(now time.Time, operation string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.operations[operation] {
		return nil
	}
	current := w.stageAt(now)
	if current.gone {
		return platform.ErrNotFound{Kind: "host", Name: string(w.spec.ID)}
	}
	w.operations[operation] = true
	w.record(now, ChangeRebooted, false, operation)
	w.enter(now, stage{condition: platform.ConditionRebooting, boot: current.boot})
	if w.faults.NeverReturns {
		return nil
	}
	back := now.Add(w.fleet.RebootTime)
	w.record(back, ChangeReturned, false, operation)
	w.stages = append(w.stages, stage{at: back, condition: platform.ConditionLive, boot: current.boot + 1})
	return nil
}

// listing returns the host's line in the list as of the time at, or false if it is not listed.
func (w *worker) listing(at time.Time) (platform.HostInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stageAt(at)
	if s.gone {
		return platform.HostInfo{}, false
	}
	return platform.HostInfo{
		Host: w.spec.ID, Address: w.address, Place: w.spec.Place, Capacity: w.spec.Capacity,
		HomePool: w.spec.HomePool, Condition: s.condition, BootCount: s.boot,
	}, true
}
