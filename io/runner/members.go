package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// beatEvery is the time between two renewals of our member row. Three fit into memberLease.
	beatEvery = 700 * time.Millisecond
	// memberLease is how long a member row may stay unchanged. With a takeover it is below half of the shortest
	// lease of tasks, so that their workers hear from the next holder in time.
	memberLease = 2200 * time.Millisecond
	// fleetWait is how long the store may hold back its answer about the members. Some member beats in any such time.
	fleetWait = 400 * time.Millisecond
	// fleetGather is the least time between two answers about the members, and fleetGatherEach what each member adds to it up to
	// fleetGatherMost, so that the calls of all together hardly grow with their number.
	fleetGather     = 150 * time.Millisecond
	fleetGatherEach = 20 * time.Millisecond
	fleetGatherMost = 400 * time.Millisecond
	// echoSlack is how old the last beat of ours that the table of members has shown to us may be, beside the time between two
	// answers: a beat, and an answer that is late. Older, and nothing is known of the others either.
	echoSlack = beatEvery + 500*time.Millisecond
	// echoTime is how old the last beat of a member may be that counts as steady.
	echoTime = echoSlack + fleetGather
	// returnTime is how much later than ours the renewal of another member may come after the store was away: a call may have stayed
	// without an answer until it is given up, and is then repeated.
	returnTime = 1800 * time.Millisecond
	// settledAfter is how long a member must be live before duties are handed over to it.
	settledAfter = 5 * time.Second
)

func (m *Manager) memberKey(member string) platform.RowKey {
	return platform.RowKey{Table: fleetTable, Key: memberPrefix + member}
}

// runBeats renews our member row until ctx ends.
func (m *Manager) runBeats(ctx context.Context) {
	var beat uint64
	var retry backoff
	for ctx.Err() == nil {
		beat++
		started := time.Now()
		if err := m.beat(ctx, beat); err != nil {
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		m.mu.Lock()
		m.beaten = started
		m.mu.Unlock()
		if !sleep(ctx, beatEvery-min(beatEvery, time.Since(started))) {
			return
		}
	}
}

func (m *Manager) beat(ctx context.Context, count uint64) error {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		return nil
	}
	row := duty.Member{
		Name: m.MemberName, Zone: m.Zone, Address: m.Peers.Address, Heartbeats: count, RowVersions: m.heldEpochs(),
		Capacity: duty.Capacity{MilliCores: m.MilliCores, LinkMbps: m.LinkMbps, MemoryMB: m.MemoryMB},
	}
	_, err := m.Rows.Commit(ctx, platform.RowTransaction{
		Writes: []platform.RowWrite{{RowKey: m.memberKey(m.MemberName), Value: encodeRow(row)}}, Purpose: "heartbeat",
	})
	return err
}

// followFleet keeps the members and the holders of the duties up to date.
func (m *Manager) followFleet(ctx context.Context) {
	m.followTable(ctx, tableFollower{
		table: fleetTable, wait: fleetWait, intervalFunc: m.fleetPace, apply: m.takeFleet, readAll: m.readFleet,
		onAnswer: func(uint64, time.Time) {
			m.mu.Lock()
			m.followed = time.Now()
			m.mu.Unlock()
		},
	})
}

// fleetPace is the least time between two answers about the members.
func (m *Manager) fleetPace() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(fleetGather, fleetGatherEach*time.Duration(len(m.members))), fleetGatherMost)
}

// readFleet reads the members, and the holder of each pool.
func (m *Manager) readFleet(ctx context.Context) (uint64, error) {
	rows, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: fleetTable, Purpose: "members"})
	if err != nil {
		return 0, err
	}
	parts, err := m.Rows.ListPartitions(ctx, fleetTable)
	if err != nil {
		return 0, err
	}
	for _, part := range parts {
		if part == "" {
			continue
		}
		row, ok, err := m.Rows.ReadRow(ctx, platform.RowKey{Table: fleetTable, Partition: part, Key: holderKey}, "holders")
		if err != nil {
			return 0, err
		}
		if ok {
			rows = append(rows, row)
		}
	}
	m.forgetMembers(rows)
	m.takeFleet(rows)
	return version, nil
}

// forgetMembers drops the members that a whole reading of the table does not have.
func (m *Manager) forgetMembers(rows []platform.VersionedRow) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[strings.TrimPrefix(row.Key, memberPrefix)] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.members {
		if !present[name] {
			delete(m.members, name)
		}
	}
}

func (m *Manager) takeFleet(rows []platform.VersionedRow) {
	var appeared []string
	for _, row := range rows {
		switch {
		case row.Partition != "":
			m.takeHolder(row)
		case m.takeMember(row):
			appeared = append(appeared, strings.TrimPrefix(row.Key, memberPrefix))
		}
	}
	for _, name := range appeared {
		m.buryPredecessor(name)
	}
	m.connectToHolders()
	if len(appeared) > 0 {
		shown := appeared[:min(len(appeared), shownMembers)]
		m.record(event.Event{Number: event.MemberAppeared, Detail: fmt.Sprintf("%d: %s", len(appeared), strings.Join(shown, ", "))})
	}
}

// shownMembers bounds the names in one log line, whose length would otherwise grow with the number of entry hosts.
const shownMembers = 8

// takeMember takes in a member's row. It reports whether the member was not known.
func (m *Manager) takeMember(row platform.VersionedRow) bool {
	name := strings.TrimPrefix(row.Key, memberPrefix)
	m.mu.Lock()
	_, known := m.members[name]
	if row.Deleted {
		delete(m.members, name)
		m.mu.Unlock()
		if known {
			m.record(event.Event{Number: event.MemberGone, Detail: name + " removed its row"})
		}
		return false
	}
	var member duty.Member
	err := json.Unmarshal(row.Value, &member)
	if err == nil {
		if name == m.MemberName && row.Version > m.members[name].Version {
			m.echoed = time.Now()
		}
		m.members[name] = duty.MemberRow{Member: member, Version: row.Version}
	}
	m.mu.Unlock()
	if err != nil {
		m.record(event.Event{Number: event.WorkRowUnreadable, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return false
	}
	return !known
}

// earlier reports whether a member is an earlier incarnation of this entry host.
func (m *Manager) earlier(member string) bool {
	node, _, _ := strings.Cut(member, "/")
	return node == m.EntryHost && member != m.MemberName
}

// buryPredecessor removes our own earlier incarnation: it has ended, since we run in its place.
func (m *Manager) buryPredecessor(name string) {
	if !m.earlier(name) {
		return
	}
	m.group.Go(func() {
		_, err := m.Rows.Commit(m.ctx, platform.RowTransaction{Deletes: []platform.RowKey{m.memberKey(name)}, Purpose: "heartbeat"})
		if err != nil {
			m.record(event.Event{Number: event.WorkDutyFailed, Detail: "remove the member row of " + name + ": " + err.Error()})
		}
	})
}

func (m *Manager) takeHolder(row platform.VersionedRow) {
	if row.Key != holderKey || row.Deleted {
		return
	}
	var held versionedHolder
	if err := json.Unmarshal(row.Value, &held.holderRow); err != nil {
		m.record(event.Event{Number: event.WorkRowUnreadable, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return
	}
	held.version = row.Version
	m.mu.Lock()
	if held.version > m.holderRows[row.Partition].version {
		m.holderRows[row.Partition] = held
	}
	m.mu.Unlock()
}

// judge gives the ledger the time since the last look, if we could read and write the store meanwhile.
// It returns the live members and those that have been live for some time.
func (m *Manager) judge(elapsed time.Duration, now time.Time) (live, settled []string) {
	pace := m.fleetPace()
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := now.Sub(m.beaten) < memberLease && now.Sub(m.followed) < memberLease && now.Sub(m.echoed) < pace+echoSlack
	if connected && m.cutOff {
		m.ledger = m.ledger.WithRenewalGrace(returnTime)
	}
	m.cutOff = !connected && (m.cutOff || m.connected)
	m.connected = connected
	before := m.ledger.Lapsed()
	if connected {
		m.ledger = m.ledger.WithPoll(m.sightings(), elapsed)
	} else {
		// Time since our last echo tells nothing of the others: we may have been cut off all the while.
		m.ledger = m.echoedLedger.WithPoll(m.sightings(), 0)
	}
	if m.echoed != m.judgedEcho {
		m.judgedEcho, m.echoedLedger = m.echoed, m.ledger
	}
	after := m.ledger.Lapsed()
	if len(after) > len(before) {
		m.record(event.Event{Number: event.MemberGone, Detail: "lapsed: " + strings.Join(after, ", ")})
	}
	if !connected {
		return nil, nil
	}
	return m.ledger.Live(), m.ledger.Established(settledAfter)
}
