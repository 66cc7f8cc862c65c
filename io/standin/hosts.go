package standin

import (
	"context"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

// FailMode is how a failed host behaves.
type FailMode int

// Modes of failure of a host.
const (
	// FailRefuse is a crash: connections are refused and tasks are lost.
	FailRefuse FailMode = iota
	// FailHang is a hang: connections are accepted and requests get no response. Tasks keep running until their leases expire.
	FailHang
)

// ListFaults holds the fault switches of the list of hosts. The zero value is a healthy list.
type ListFaults struct {
	// Down makes the call fail with ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// Empty makes the call return no hosts.
	Empty bool `json:"empty,omitempty"`
	// OmitProbability is the probability, in [0, 1], that a call omits a host. It is drawn for each host and call.
	OmitProbability float64 `json:"flap,omitempty"`
	// Lag replaces the ListLag of the fleet unless it is zero.
	Lag time.Duration `json:"lag,omitempty"`
}

// SetListFaults replaces the fault switches of the list of hosts.
func (p *Platform) SetListFaults(f ListFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listFaults = f
}

// FailHost makes a host crash or hang.
func (p *Platform) FailHost(id host.ID, mode FailMode) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.fail(time.Now(), mode)
	return nil
}

// RecoverHost ends the failure of a host. A crashed host boots again, which raises its boot count.
func (p *Platform) RecoverHost(id host.ID) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.recover(time.Now())
	return nil
}

// AnnounceHostRemoval announces that the platform removes a host once the notice has passed.
func (p *Platform) AnnounceHostRemoval(id host.ID, notice time.Duration) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.announceRemoval(time.Now(), notice)
	return nil
}

// SetTargetFaults replaces the fault switches of the target and worker on a host.
func (p *Platform) SetTargetFaults(id host.ID, f TargetFaults) error {
	return p.UpdateTargetFaults(id, func(current *TargetFaults) { *current = f })
}

// UpdateTargetFaults calls change with the fault switches of the target and worker on a host, for it to modify them. The host's
// lock is held during the call.
func (p *Platform) UpdateTargetFaults(id host.ID, change func(*TargetFaults)) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.faults)
	return nil
}

// HostIDs returns the IDs of all hosts, in the order of the fleet.
func (p *Platform) HostIDs() []host.ID {
	ids := make([]host.ID, len(p.hosts))
	for i, h := range p.hosts {
		ids[i] = h.spec.ID
	}
	return ids
}

// listHosts returns the hosts as of the list's lag ago, subject to the list's fault switches.
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
	var hosts []platform.HostInfo
	for _, h := range p.hosts {
		if p.listFaults.OmitProbability > 0 && p.random.Float64() < p.listFaults.OmitProbability {
			continue
		}
		if info, ok := h.hostInfo(at); ok {
			hosts = append(hosts, info)
		}
	}
	return hosts, nil
}

// drain and undrain make a host refuse or accept new requests and tasks.
func (p *Platform) drain(_ context.Context, id host.ID) error   { return p.setDrained(id, true) }
func (p *Platform) undrain(_ context.Context, id host.ID) error { return p.setDrained(id, false) }

func (p *Platform) setDrained(id host.ID, drained bool) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	return h.setDrained(time.Now(), drained)
}

// reboot starts a reboot of a host. It is idempotent by the ID of the operation.
func (p *Platform) reboot(_ context.Context, id host.ID, operation string) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	return h.reboot(time.Now(), operation)
}

// hostState is the state of a host from its start until the start of the next state.
type hostState struct {
	start     time.Time
	condition platform.Condition
	bootCount int
	// failMode is used if condition is ConditionFailed.
	failMode FailMode
	// removed is set once the platform has removed the host: it is not listed and unreachable.
	removed bool
}

// offline reports whether the host is not running: removed, rebooting or crashed.
func (s hostState) offline() bool {
	if s.removed || s.condition == platform.ConditionRebooting {
		return true
	}
	return s.condition == platform.ConditionFailed && s.failMode == FailRefuse
}

// hung reports whether the host runs without responding.
func (s hostState) hung() bool {
	return s.condition == platform.ConditionFailed && s.failMode == FailHang
}

// stateAt returns the state at t. The first state extends into the past without limit. The caller holds h.mu.
func (h *simulatedHost) stateAt(t time.Time) hostState {
	for i := len(h.states) - 1; i > 0; i-- {
		if !h.states[i].start.After(t) {
			return h.states[i]
		}
	}
	return h.states[0]
}

// nextTransition returns the start of the first scheduled state after t, or false if there is none. The caller holds h.mu.
func (h *simulatedHost) nextTransition(t time.Time) (time.Time, bool) {
	for _, s := range h.states {
		if s.start.After(t) {
			return s.start, true
		}
	}
	return time.Time{}, false
}

// transition cancels the states scheduled after now, enters s and notifies all waiters. Tasks are lost if the host goes offline.
// The caller holds h.mu.
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

// notifyWaiters makes every awaitState call check the state of the host again. The caller holds h.mu.
func (h *simulatedHost) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// recordChange adds a change of the host to the records. A time in the future is recorded ahead for a scheduled state.
func (h *simulatedHost) recordChange(at time.Time, kind ChangeKind, injected bool, operation string) {
	h.recorder.addChanges(HostChange{Host: h.spec.ID, At: at, Kind: kind, Injected: injected, OperationID: operation})
}

// fail makes the host crash or hang. A crash loses its tasks.
func (h *simulatedHost) fail(now time.Time, mode FailMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.stateAt(now)
	h.recordChange(now, ChangeFailed, true, "")
	h.transition(now, hostState{condition: platform.ConditionFailed, bootCount: current.bootCount, failMode: mode})
}

// recover ends a failure; a host in another condition is left as it is.
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

// announceRemoval marks the host as leaving and schedules its removal.
func (h *simulatedHost) announceRemoval(now time.Time, notice time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	boot := h.stateAt(now).bootCount
	h.recordChange(now, ChangeLeaving, true, "")
	h.recordChange(now.Add(notice), ChangeGone, true, "")
	h.transition(now, hostState{condition: platform.ConditionLeaving, bootCount: boot})
	h.states = append(h.states, hostState{start: now.Add(notice), condition: platform.ConditionLeaving, bootCount: boot, removed: true})
}

// setDrained makes the host refuse or accept new requests and tasks. It returns ErrUnavailable if the host is offline or hung.
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

// reboot takes the host offline and, unless NeverReturns is set, schedules its return with the next boot count. A drained host
// stays drained after the reboot. A repeated operation has no effect.
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
	if h.faults.RebootsHang {
		return nil
	}
	returnTime := now.Add(h.fleet.RebootDuration)
	h.recordChange(returnTime, ChangeReturned, false, operation)
	h.states = append(h.states, hostState{start: returnTime, condition: platform.ConditionLive, bootCount: current.bootCount + 1})
	return nil
}

// hostInfo returns the entry of the host in the list as of at, or false if the host is not listed.
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
