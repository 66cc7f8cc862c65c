package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

// TestCutOffMember guards against duties that are taken from members that live: a member that was cut off counted the time from its
// last echo until it noticed as time in which the others had been silent.
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
		m.beaten, m.followed, m.echoed = now, now, now
	}
	pass := func(d time.Duration, each func()) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(dutyEvery)
			each()
			m.judge(dutyEvery, now)
		}
	}
	beat("b")
	pass(beatEvery, echo)          // the next heartbeat of b is almost due
	pass(5*time.Second, func() {}) // nothing is heard
	pass(dutyEvery, echo)          // b's heartbeat comes a little later than our own echo
	live, _ := m.judge(dutyEvery, now)
	is.Equal(live, []string{"a", "b"})
	pass(memberLease, echo)
	live, _ = m.judge(dutyEvery, now)
	is.Equal(live, []string{"a"}) // a member that stays silent lapses all the same
}
