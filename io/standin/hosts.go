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
	p.listFaults = f
}

// Fail makes a host fail.
func (p *Platform) Fail(id host.ID, mode FailMode) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.fail(time.Now(), mode)
	return nil
}

// Recover ends a host's failure. A crashed host starts again.
func (p *Platform) Recover(id host.ID) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.recover(time.Now())
	return nil
}

// Leave announces that a host will be taken away after the notice.
func (p *Platform) Leave(id host.ID, notice time.Duration) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.announceRemoval(time.Now(), notice)
	return nil
}

// SetTargetFaults replaces the fault switches of a host's target and worker.
func (p *Platform) SetTargetFaults(id host.ID, f TargetFaults) error {
	return p.ChangeTargetFaults(id, func(current *TargetFaults) { *current = f })
}

// ChangeTargetFaults changes some of the fault switches of a host and leaves the others.
func (p *Platform) ChangeTargetFaults(id host.ID, change func(*TargetFaults)) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.faults)
	return nil
}

// IDs returns the IDs of all hosts, in the order of the fleet.
func (p *Platform) IDs() []host.ID {
	ids := make([]host.ID, len(p.hosts))
	for i, h := range p.hosts {
		ids[i] = h.spec.ID
	}
	return ids
}

func (p *Platform) listHosts(context.Context) ([]platform.HostInfo, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listFaults.Down {
		return nil, platform.ErrUnavailable{Service: "list of hosts", Reason: "down"}
	}
	if p.listFaults.Empty {
		return nil, nil
	}
	lag := p.fleet.ListLag
	if p.listFaults.Lag > 0 {
		lag = p.listFaults.Lag
	}
	at := time.Now().Add(-lag)
	var listings []platform.HostInfo
	for _, h := range p.hosts {
		if p.listFaults.Flap > 0 && p.random.Float64() < p.listFaults.Flap {
			continue
		}
		if listing, ok := h.hostInfo(at); ok {
			listings = append(listings, listing)
		}
	}
	return listings, nil
}

func (p *Platform) drain(_ context.Context, id host.ID) error   { return p.setDrained(id, true) }
func (p *Platform) undrain(_ context.Context, id host.ID) error { return p.setDrained(id, false) }

func (p *Platform) setDrained(id host.ID, drained bool) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	return h.setDrained(time.Now(), drained)
}

func (p *Platform) reboot(_ context.Context, id host.ID, operation string) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	return h.reboot(time.Now(), operation)
}

// hostState is a span of a host's life, from At to the At of the next stage.
type hostState struct {
	start     time.Time
	condition platform.Condition
	bootCount int
	failMode  FailMode
	// removed hosts are in no list and answer nothing.
	removed bool
}

// offline reports whether the host is switched off.
func (s hostState) offline() bool {
	if s.removed || s.condition == platform.ConditionRebooting {
		return true
	}
	return s.condition == platform.ConditionFailed && s.failMode == FailRefuse
}

// hung reports whether the host runs and answers nothing.
func (s hostState) hung() bool {
	return s.condition == platform.ConditionFailed && s.failMode == FailHang
}

// stateAt returns the stage at t. Hosts have existed for ever. The caller holds h.mu.
func (h *simulatedHost) stateAt(t time.Time) hostState {
	for i := len(h.states) - 1; i > 0; i-- {
		if !h.states[i].start.After(t) {
			return h.states[i]
		}
	}
	return h.states[0]
}

// nextTransition returns the time of the first stage after t, or false. The caller holds h.mu.
func (h *simulatedHost) nextTransition(t time.Time) (time.Time, bool) {
	for _, s := range h.states {
		if s.start.After(t) {
			return s.start, true
		}
	}
	return time.Time{}, false
}

// transition drops the stages planned after now, adds s and wakes all that wait for a turn. The caller holds h.mu.
func (h *simulatedHost) transition(now time.Time, s hostState) {
	h.advanceTasks(now)
	for len(h.states) > 1 && h.states[len(h.states)-1].start.After(now) {
		h.states = h.states[:len(h.states)-1]
	}
	s.start = now
	h.states = append(h.states, s)
	if s.offline() {
		h.dropTasks(now, s.condition.String())
	}
	h.notifyWaiters()
}

// notifyWaiters makes all that wait for a change of the host look again. The caller holds h.mu.
func (h *simulatedHost) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *simulatedHost) recordChange(now time.Time, kind ChangeKind, fault bool, operation string) {
	h.recorder.addChanges(Change{Host: h.spec.ID, At: now, Kind: kind, Fault: fault, Operation: operation})
}

func (h *simulatedHost) fail(now time.Time, mode FailMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.stateAt(now)
	h.recordChange(now, ChangeFailed, true, "")
	h.transition(now, hostState{condition: platform.ConditionFailed, bootCount: current.bootCount, failMode: mode})
}

func (h *simulatedHost) recover(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.stateAt(now)
	if current.condition != platform.ConditionFailed {
		return
	}
	boot := current.bootCount
	if current.offline() {
		boot++
	}
	h.recordChange(now, ChangeRecovered, true, "")
	h.transition(now, hostState{condition: platform.ConditionLive, bootCount: boot})
}

func (h *simulatedHost) announceRemoval(now time.Time, notice time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	boot := h.stateAt(now).bootCount
	h.recordChange(now, ChangeLeaving, true, "")
	h.recordChange(now.Add(notice), ChangeGone, true, "")
	h.transition(now, hostState{condition: platform.ConditionLeaving, bootCount: boot})
	h.states = append(h.states, hostState{start: now.Add(notice), condition: platform.ConditionLeaving, bootCount: boot, removed: true})
}

func (h *simulatedHost) setDrained(now time.Time, drained bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.stateAt(now); current.offline() || current.hung() {
		return platform.ErrUnavailable{Service: "pool operations", Reason: "host " + string(h.spec.ID) + " does not answer"}
	}
	if h.drained == drained {
		return nil
	}
	h.drained = drained
	kind := ChangeUndrained
	if drained {
		kind = ChangeDrained
	}
	h.recordChange(now, kind, false, "")
	h.notifyWaiters()
	return nil
}

// reboot restarts the host. The host stays drained over the reboot.
func (h *simulatedHost) reboot(now time.Time, operation string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rebootOperations[operation] {
		return nil
	}
	current := h.stateAt(now)
	if current.removed {
		return platform.ErrNotFound{Kind: "host", Name: string(h.spec.ID)}
	}
	h.rebootOperations[operation] = true
	h.recordChange(now, ChangeRebooted, false, operation)
	h.transition(now, hostState{condition: platform.ConditionRebooting, bootCount: current.bootCount})
	if h.faults.NeverReturns {
		return nil
	}
	back := now.Add(h.fleet.RebootTime)
	h.recordChange(back, ChangeReturned, false, operation)
	h.states = append(h.states, hostState{start: back, condition: platform.ConditionLive, bootCount: current.bootCount + 1})
	return nil
}

// hostInfo returns the host's line in the list as of the time at, or false if it is not listed.
func (h *simulatedHost) hostInfo(at time.Time) (platform.HostInfo, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateAt(at)
	if s.removed {
		return platform.HostInfo{}, false
	}
	return platform.HostInfo{
		Host: h.spec.ID, Address: h.address, Place: h.spec.Place, Capacity: h.spec.Capacity,
		HomePool: h.spec.HomePool, Condition: s.condition, BootCount: s.bootCount,
	}, true
}
