package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

// TestCutOffMember guards against duties that are taken from live members. A member that was disconnected from the
// store counted the time from its last echo until it noticed as time in which the other members had been silent.
func TestCutOffMember(t *testing.T) {
	is := is.New(t)
	m := &Manager{MemberName: "a"}
	m.init()
	now := time.Now()
	version := uint64(0)
	beat := func(members ...string) {
		for _, name := range members {
			version++
			m.members[name] = duty.MemberRow{Member: duty.Member{Name: name}, Version: version}
		}
	}
	echo := func() {
		beat("a")
		m.heartbeatAt, m.fleetReadAt, m.echoAt = now, now, now
	}
	pass := func(d time.Duration, each func()) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(dutyCheckInterval)
			each()
			m.updateLiveness(dutyCheckInterval, now)
		}
	}
	beat("b")
	pass(heartbeatInterval, echo)  // b's next heartbeat is almost due
	pass(5*time.Second, func() {}) // no heartbeat is read or written
	pass(dutyCheckInterval, echo)  // b's heartbeat arrives a little later than our own echo
	live, _ := m.updateLiveness(dutyCheckInterval, now)
	is.Equal(live, []string{"a", "b"})
	pass(memberLease, echo)
	live, _ = m.updateLiveness(dutyCheckInterval, now)
	is.Equal(live, []string{"a"}) // a member that stays silent still lapses
}
