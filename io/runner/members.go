package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// heartbeatInterval is the time between two renewals of our member row. Three fit into memberLease.
	heartbeatInterval = 700 * time.Millisecond
	// memberLease is how long a member row may stay unchanged before the member lapses. Together with a takeover it is
	// below half of the shortest lease of tasks, so that workers hear from the next holder in time.
	memberLease = 2200 * time.Millisecond
	// fleetPollWait is how long the store may hold back the answer to a long poll of the fleet table. Some member renews
	// its row within any such time.
	fleetPollWait = 400 * time.Millisecond
	// minFleetInterval is the minimum time between two polls of the fleet table. fleetIntervalPerMember is what each
	// member adds to it, up to maxFleetInterval, so that the total rate of calls hardly grows with the number of
	// members.
	minFleetInterval       = 150 * time.Millisecond
	fleetIntervalPerMember = 20 * time.Millisecond
	maxFleetInterval       = 400 * time.Millisecond
	// echoSlack is the maximum age of our last heartbeat that a read of the fleet table showed, beyond the time between
	// two polls: one heartbeat, and a late answer. If our own heartbeat is older, nothing is known of the other members
	// either.
	echoSlack = heartbeatInterval + 500*time.Millisecond
	// maxEchoAge is the maximum age of the last heartbeat of a member that counts as stable.
	maxEchoAge = echoSlack + minFleetInterval
	// recoveryGrace is how much later than ours another member's renewal may come after an outage of the store. A call
	// of that member may have had no answer until it timed out, and is then repeated.
	recoveryGrace = 1800 * time.Millisecond
	// maxSilenceStretch is how many times longer than memberLease a row may stay unchanged while the store is slow.
	maxSilenceStretch = 4
	// establishedAfter is how long a member must be live before duties are handed over to it.
	establishedAfter = 5 * time.Second
)

// memberKey returns the key of a member's row.
func (m *Manager) memberKey(member string) platform.RowKey {
	return platform.RowKey{Table: fleetTable, Key: memberPrefix + member}
}

// runHeartbeats renews our member row until ctx ends.
func (m *Manager) runHeartbeats(ctx context.Context) {
	var count uint64
	var retry backoff
	for ctx.Err() == nil {
		count++
		started := time.Now()
		if err := m.sendHeartbeat(ctx, count); err != nil {
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		m.recordHeartbeat(started)
		if !m.awaitRenewal(ctx, started) {
			return
		}
	}
}

// recordHeartbeat records an answered renewal of our member row that began at started.
func (m *Manager) recordHeartbeat(started time.Time) {
	m.noticeSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	if started = m.suspension.forget(started); started.IsZero() {
		return
	}
	m.heartbeatAt = started
}

// awaitRenewal waits until our member row is to be renewed again after a renewal that began at the given time. The store may
// become slow or fast meanwhile. It returns false if ctx has ended.
func (m *Manager) awaitRenewal(ctx context.Context, started time.Time) bool {
	for wait := heartbeatInterval - min(heartbeatInterval, time.Since(started)); sleep(ctx, wait); wait = dutyCheckInterval {
		m.mu.Lock()
		due := started.Add(m.renewalInterval())
		m.mu.Unlock()
		if !time.Now().Before(due) {
			return true
		}
	}
	return false
}

// sendHeartbeat writes our member row, unless this member is leaving.
func (m *Manager) sendHeartbeat(ctx context.Context, count uint64) error {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		return nil
	}
	row := duty.Member{
		Name: m.MemberName, Zone: m.Zone, Address: m.Peers.Address, Heartbeats: count, RowVersions: m.heldEpochs(),
		Capacity: duty.Capacity{MilliCores: m.MilliCores, LinkMbps: m.LinkMbps, MemoryMB: m.MemoryMB},
		Waiting:  m.waitingOrganisations(time.Now()),
	}
	return m.commitMember(ctx, platform.RowTransaction{Writes: []platform.RowWrite{{RowKey: m.memberKey(m.MemberName), Value: encodeRow(row)}}})
}

// commitMember commits a change of our member row, together with the removal of the rows of earlier incarnations: on a slow
// store a transaction of its own would compete with the renewals of all members.
func (m *Manager) commitMember(ctx context.Context, tx platform.RowTransaction) error {
	predecessors := m.predecessorKeys()
	tx.Purpose, tx.Deletes = "heartbeat", append(tx.Deletes, predecessors...)
	if len(tx.Writes)+len(tx.Deletes) == 0 {
		return nil // a renewal has removed them
	}
	version, err := m.Rows.Commit(ctx, tx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(tx.Writes) > 0 {
		m.memberRowVersion = version
	}
	for _, key := range predecessors {
		delete(m.predecessors, strings.TrimPrefix(key.Key, memberPrefix))
	}
	return nil
}

// removeMemberRow removes our member row. The removal expects the row as it was last seen: the store may carry it out once this member
// is active again, and others take a holder without a row for ended.
func (m *Manager) removeMemberRow(ctx context.Context) error {
	key := m.memberKey(m.MemberName)
	m.mu.Lock()
	version := max(m.memberRowVersion, m.members[m.MemberName].Version)
	m.mu.Unlock()
	return m.commitMember(ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: key, Version: version}}, Deletes: []platform.RowKey{key},
	})
}

// followFleet follows the fleet table: the members and the holders of the duties.
func (m *Manager) followFleet(ctx context.Context) {
	m.followTable(ctx, tableFollower{
		table: fleetTable, maxPollWait: fleetPollWait, intervalFunc: m.fleetInterval, apply: m.applyFleetRows, readAll: m.readFleet,
		onAnswer: func(_ uint64, sentAt time.Time) {
			m.mu.Lock()
			m.fleetReadAt, m.fleetKnownAt = time.Now(), sentAt
			m.mu.Unlock()
		},
	})
}

// fleetInterval returns the minimum time between two polls of the fleet table.
func (m *Manager) fleetInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(minFleetInterval, fleetIntervalPerMember*time.Duration(len(m.members))), maxFleetInterval)
}

// readFleet reads the members and the holders of the duties.
func (m *Manager) readFleet(ctx context.Context) (uint64, error) {
	members, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: fleetTable, Purpose: "members"})
	if err != nil {
		return 0, err
	}
	var holders []platform.VersionedRow
	partitions, err := m.Rows.ListPartitions(ctx, fleetTable)
	if err != nil {
		return 0, err
	}
	for _, partition := range partitions {
		if partition == "" {
			continue
		}
		row, ok, err := m.Rows.ReadRow(ctx, platform.RowKey{Table: fleetTable, Partition: partition, Key: holderKey}, "holders")
		if err != nil {
			return 0, err
		}
		if ok {
			holders = append(holders, row)
		}
	}
	m.removeAbsentMembers(members)
	m.applyFleetRows(slices.Concat(members, holders))
	m.endAbsentHolders(members, version)
	return version, nil
}

// removeAbsentMembers forgets the members that a read of the whole table does not contain.
func (m *Manager) removeAbsentMembers(rows []platform.VersionedRow) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[strings.TrimPrefix(row.Key, memberPrefix)] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.members {
		if !present[name] {
			m.removeMember(name)
		}
	}
}

// removeMember forgets a member whose row was removed. A member removes its row after its tenures have ended, and the
// next process of its entry host removes it if it has not. The caller holds the lock.
func (m *Manager) removeMember(name string) {
	delete(m.members, name)
	for pool, held := range m.holderRows {
		if held.Holder == name {
			held.ended = true
			m.holderRows[pool] = held
		}
	}
}

// applyFleetRows applies rows of the fleet table.
func (m *Manager) applyFleetRows(rows []platform.VersionedRow) {
	var appeared []string
	for _, row := range rows {
		switch {
		case row.Partition != "":
			m.applyHolderRow(row)
		case m.applyMemberRow(row):
			appeared = append(appeared, strings.TrimPrefix(row.Key, memberPrefix))
		}
	}
	for _, name := range appeared {
		m.removePredecessor(name)
	}
	m.connectToHolders()
	if len(appeared) > 0 {
		shown := appeared[:min(len(appeared), maxNamedMembers)]
		m.record(event.Event{Number: event.MemberAppeared, Detail: fmt.Sprintf("%d: %s", len(appeared), strings.Join(shown, ", "))})
	}
}

// maxNamedMembers is the maximum number of names in one log line, whose length would otherwise grow with the number
// of entry hosts.
const maxNamedMembers = 8

// applyMemberRow applies a member's row. It reports whether the member is new.
func (m *Manager) applyMemberRow(row platform.VersionedRow) bool {
	name := strings.TrimPrefix(row.Key, memberPrefix)
	m.mu.Lock()
	_, known := m.members[name]
	if row.Deleted {
		m.removeMember(name)
		m.mu.Unlock()
		if known {
			m.record(event.Event{Number: event.MemberGone, Detail: name + " removed its member row"})
		}
		return false
	}
	var member duty.Member
	err := json.Unmarshal(row.Value, &member)
	if err == nil {
		if name == m.MemberName && row.Version > m.members[name].Version {
			m.echoAt = time.Now()
		}
		m.members[name] = duty.MemberRow{Member: member, Version: row.Version}
		m.hasSeenOthers = m.hasSeenOthers || entryHostOf(name) != m.EntryHost
	}
	m.mu.Unlock()
	if err != nil {
		m.record(event.Event{Number: event.WorkRowUnreadable, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return false
	}
	return !known
}

// isEarlierIncarnation reports whether a member is an earlier incarnation of this entry host.
func (m *Manager) isEarlierIncarnation(member string) bool {
	return entryHostOf(member) == m.EntryHost && member != m.MemberName
}

// entryHostOf returns the entry host of a member.
func entryHostOf(member string) string {
	name, _, _ := strings.Cut(member, "/")
	return name
}

// removePredecessor removes the row of a member that is an earlier incarnation of this entry host, at once or with the next
// renewal that the store carries out. That incarnation has ended, since this one runs in its place, and its duties are
// taken once its row is gone.
func (m *Manager) removePredecessor(name string) {
	if !m.isEarlierIncarnation(name) {
		return
	}
	m.mu.Lock()
	m.predecessors[name] = true
	m.mu.Unlock()
	m.group.Go(func() {
		if err := m.commitMember(m.ctx, platform.RowTransaction{}); err != nil {
			m.record(event.Event{Number: event.WorkDutyFailed, Detail: "remove the member row of " + name + ": " + err.Error()})
		}
	})
}

// predecessorKeys returns the keys of the member rows that are to be removed with the next renewal.
func (m *Manager) predecessorKeys() []platform.RowKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := make([]platform.RowKey, 0, len(m.predecessors))
	for _, name := range slices.Sorted(maps.Keys(m.predecessors)) {
		keys = append(keys, m.memberKey(name))
	}
	return keys
}

// applyHolderRow applies a holder's row unless a newer one is known.
func (m *Manager) applyHolderRow(row platform.VersionedRow) {
	if row.Key != holderKey || row.Deleted {
		return
	}
	var holder holderRow
	if err := json.Unmarshal(row.Value, &holder); err != nil {
		m.record(event.Event{Number: event.WorkRowUnreadable, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return
	}
	m.replaceHolder(row.Partition, holder, row.Version)
}

// updateLiveness adds the time since the last check to the failure detector, if this process could read and write the
// store during it. It returns the live members, and those that have been live for establishedAfter.
func (m *Manager) updateLiveness(elapsed time.Duration, now time.Time) (live, established []string) {
	interval := m.fleetInterval()
	m.mu.Lock()
	defer m.mu.Unlock()
	longer := m.renewalInterval() - heartbeatInterval
	connected := now.Sub(m.heartbeatAt) < memberLease+longer && now.Sub(m.fleetReadAt) < memberLease && now.Sub(m.echoAt) < interval+echoSlack+longer
	counted := m.countedSilence(elapsed)
	recovered := m.silenceStretched && counted == elapsed
	if connected && (m.lostConnection || recovered) {
		m.failureDetector = m.failureDetector.WithRenewalGrace(recoveryGrace)
	}
	m.silenceStretched = counted < elapsed
	if connected && !m.connected {
		m.connectedSince = now
	}
	m.lostConnection = !connected && (m.lostConnection || m.connected)
	m.connected = connected
	before := m.failureDetector.Lapsed()
	if connected {
		m.failureDetector = m.failureDetector.WithPoll(m.memberRows(), counted)
	} else {
		// The time since our last echo tells nothing of the other members: we may have been disconnected all the while.
		m.failureDetector = m.detectorAtEcho.WithPoll(m.memberRows(), 0)
	}
	if m.echoAt != m.detectorEchoAt {
		m.detectorEchoAt, m.detectorAtEcho = m.echoAt, m.failureDetector
	}
	after := m.failureDetector.Lapsed()
	if len(after) > len(before) {
		m.record(event.Event{Number: event.MemberGone, Detail: "lapsed: " + strings.Join(after, ", ")})
	}
	if !connected {
		return nil, nil
	}
	return m.failureDetector.Live(), m.failureDetector.Established(establishedAfter)
}

// renewalInterval returns the time in which each member can renew its row. The store executes the transactions of a
// partition one after another, so that while it is slow a member's renewal waits for those of all others. The caller holds
// the lock.
func (m *Manager) renewalInterval() time.Duration {
	round := m.storeHealth.slowLatency() * slowTransactionFactor * time.Duration(len(m.members))
	return min(max(round, heartbeatInterval), maxSilenceStretch*heartbeatInterval)
}

// countedSilence returns how much of the elapsed time counts as silence of the members that did not renew their rows. The
// caller holds the lock.
func (m *Manager) countedSilence(elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) * float64(heartbeatInterval) / float64(m.renewalInterval()))
}
