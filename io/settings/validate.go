package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"siskincross/core/event"
)

const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minMemoryBytes = 32 << 20
	// lapseHeartbeats and lapseHalfPolls must fit into a lapse, so that one lost
	// renewal is no lapse.
	lapseHeartbeats = 2
	lapseHalfPolls  = 5
	anyPort         = 0
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	levels      = []string{"debug", "info", "warn", "error"}
)

// report collects the wrong keys of one file.
type report struct {
	file     string
	problems []error
}

func (s Settings) validate(file string) []error {
	r := &report{file: file}
	s.validateIdentity(r)
	s.validateAddresses(r)
	s.validatePeers(r)
	s.validateLimits(r)
	s.validatePeriods(r)
	s.validateLogs(r)
	return r.problems
}

func (r *report) add(key, problem, allowed string) {
	r.problems = append(r.problems, ErrSetting{File: r.file, Key: key, Problem: problem, Allowed: allowed})
}

func (s Settings) validateIdentity(r *report) {
	r.name("deployment", s.Deployment)
	r.name("name", s.Name)
	r.name("zone", s.Zone)
	if s.Region != "" {
		r.name("region", s.Region)
	}
}

func (r *report) name(key, value string) {
	const allowed = "1 to 63 lower-case letters, digits and hyphens"
	switch {
	case value == "":
		r.add(key, "is missing", allowed)
	case !namePattern.MatchString(value):
		r.add(key, fmt.Sprintf("has the value %q", value), allowed)
	}
}

func (s Settings) validateAddresses(r *report) {
	r.listener("callers.listen", s.Callers.Listen)
	r.listener("operators.listen", s.Operators.Listen)
	r.listener("peers.listen", s.Peers.Listen)
	r.address("platform.address", s.Platform.Address)
	if s.Operators.Token == "" && !isLoopback(s.Operators.Listen) {
		r.add("operators.token", "is missing", "a secret; it may be left out only where operators.listen is a loopback address")
	}
}

// listener accepts an IP number with a port, which may be 0.
func (r *report) listener(key, value string) {
	r.endpoint(key, value, true)
}

// address accepts an IP number with a port that can be dialled.
func (r *report) address(key, value string) {
	r.endpoint(key, value, false)
}

func (r *report) endpoint(key, value string, listens bool) {
	const allowed = `an IP number with a port, such as "10.0.0.1:7100"; host names are not resolved`
	if value == "" {
		r.add(key, "is missing", allowed)
		return
	}
	endpoint, err := netip.ParseAddrPort(value)
	if err != nil || (!listens && endpoint.Port() == anyPort) {
		r.add(key, fmt.Sprintf("has the value %q", value), allowed)
	}
}

func isLoopback(address string) bool {
	endpoint, err := netip.ParseAddrPort(address)
	return err == nil && endpoint.Addr().IsLoopback()
}

func (s Settings) validatePeers(r *report) {
	for i, seed := range s.Peers.Seeds {
		r.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	files := map[string]string{
		"peers.certificate": s.Peers.Certificate,
		"peers.key":         s.Peers.Key,
		"peers.authority":   s.Peers.Authority,
	}
	set := 0
	for _, path := range files {
		if path != "" {
			set++
		}
	}
	if set == len(files) || (set == 0 && isLoopback(s.Peers.Listen)) {
		return
	}
	for _, key := range []string{"peers.certificate", "peers.key", "peers.authority"} {
		if files[key] == "" {
			r.add(key, "is missing", "the path of a PEM file; all three may be left out only where peers.listen is a loopback address")
		}
	}
}

func (s Settings) validateLimits(r *report) {
	r.atLeast("limits.header-bytes", int64(s.Limits.HeaderBytes), minHeaderBytes)
	if s.Limits.HeaderBytes > maxHeaderBytes {
		r.add("limits.header-bytes", fmt.Sprintf("has the value %d", s.Limits.HeaderBytes), fmt.Sprintf("at most %d", maxHeaderBytes))
	}
	r.atLeast("limits.body-bytes", s.Limits.BodyBytes, 1)
	r.atLeast("limits.memory-bytes", s.Limits.MemoryBytes, minMemoryBytes)
}

func (r *report) atLeast(key string, value, low int64) {
	if value < low {
		r.add(key, fmt.Sprintf("has the value %d", value), fmt.Sprintf("at least %d", low))
	}
}

func (s Settings) validatePeriods(r *report) {
	r.positive("periods.heartbeat", s.Periods.Heartbeat)
	r.positive("periods.poll", s.Periods.Poll)
	r.positive("periods.plan", s.Periods.Plan)
	r.positive("periods.vouch", s.Periods.Vouch)
	r.positive("periods.reboot", s.Periods.Reboot)
	r.positive("periods.cool-down", s.Periods.CoolDown)
	r.positive("periods.maintenance", s.Periods.Maintenance)
	r.positive("periods.linger", s.Periods.Linger)
	if s.Periods.Shutdown <= s.Periods.Linger {
		r.add("periods.shutdown",
			fmt.Sprintf("has the value %q", time.Duration(s.Periods.Shutdown)),
			fmt.Sprintf("over %s, periods.linger", time.Duration(s.Periods.Linger)))
	}
	if low := lapseHeartbeats*s.Periods.Heartbeat + lapseHalfPolls*s.Periods.Poll/2; s.Periods.Lapse <= low {
		r.add("periods.lapse",
			fmt.Sprintf("has the value %q", time.Duration(s.Periods.Lapse)),
			fmt.Sprintf("over %s, two times periods.heartbeat and two and a half times periods.poll", time.Duration(low)))
	}
}

func (r *report) positive(key string, value Duration) {
	if value <= 0 {
		r.add(key, fmt.Sprintf("has the value %q", time.Duration(value)), "a duration over 0s")
	}
}

func (s Settings) validateLogs(r *report) {
	if !slices.Contains(levels, s.Logs.Level) {
		r.add("logs.level", fmt.Sprintf("has the value %q", s.Logs.Level), strings.Join(levels, ", "))
	}
	known := event.Subsystems()
	for i, name := range s.Logs.Subsystems {
		if !slices.Contains(known, name) {
			r.add(fmt.Sprintf("logs.subsystems[%d]", i), fmt.Sprintf("has the value %q", name), strings.Join(known, ", "))
		}
	}
}
