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
	minConnections = 16
	// minLapseHeartbeats and minLapseHalfPolls are the heartbeats and half polls that periods.lapse must exceed,
	// so that a member does not lapse because of a single lost renewal.
	minLapseHeartbeats = 2
	minLapseHalfPolls  = 5
	// anyPort selects a free port; it is valid for listeners only.
	anyPort = 0
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// problemList collects the errors of one file.
type problemList struct {
	file     string
	problems []error
}

func (s Settings) validate(file string) []error {
	p := &problemList{file: file}
	s.validateIdentity(p)
	s.validateAddresses(p)
	s.validatePeers(p)
	s.validateLimits(p)
	s.validatePeriods(p)
	s.validateLogs(p)
	return p.problems
}

func (p *problemList) add(key, problem, allowed string) {
	p.problems = append(p.problems, ErrSetting{File: p.file, Key: key, Problem: problem, Allowed: allowed})
}

func (s Settings) validateIdentity(p *problemList) {
	p.checkName("deployment", s.Deployment)
	p.checkName("name", s.Name)
	p.checkName("zone", s.Zone)
	if s.Region != "" {
		p.checkName("region", s.Region)
	}
}

// checkName requires a valid, non-empty name.
func (p *problemList) checkName(key, value string) {
	const allowed = "1 to 63 lower-case letters, digits and hyphens"
	switch {
	case value == "":
		p.add(key, "is missing", allowed)
	case !namePattern.MatchString(value):
		p.add(key, fmt.Sprintf("has the value %q", value), allowed)
	}
}

func (s Settings) validateAddresses(p *problemList) {
	p.checkListenAddress("callers.listen", s.Callers.Listen)
	p.checkListenAddress("operators.listen", s.Operators.Listen)
	p.checkListenAddress("peers.listen", s.Peers.Listen)
	p.checkDialAddress("platform.address", s.Platform.Address)
	if s.Operators.Token == "" && !isLoopback(s.Operators.Listen) {
		p.add("operators.token", "is missing", "a secret; it may be omitted only if operators.listen is a loopback address")
	}
}

// checkListenAddress requires an IP address with a port, which may be 0.
func (p *problemList) checkListenAddress(key, value string) {
	p.checkEndpoint(key, value, true)
}

// checkDialAddress requires an IP address with a port other than 0.
func (p *problemList) checkDialAddress(key, value string) {
	p.checkEndpoint(key, value, false)
}

func (p *problemList) checkEndpoint(key, value string, anyPortAllowed bool) {
	const allowed = `an IP address with a port, such as "10.0.0.1:7100"; host names are not resolved`
	if value == "" {
		p.add(key, "is missing", allowed)
		return
	}
	endpoint, err := netip.ParseAddrPort(value)
	if err != nil || (!anyPortAllowed && endpoint.Port() == anyPort) {
		p.add(key, fmt.Sprintf("has the value %q", value), allowed)
	}
}

func isLoopback(address string) bool {
	endpoint, err := netip.ParseAddrPort(address)
	return err == nil && endpoint.Addr().IsLoopback()
}

// validatePeers checks the seeds and that either all or none of the TLS files are set.
func (s Settings) validatePeers(p *problemList) {
	for i, seed := range s.Peers.Seeds {
		p.checkDialAddress(fmt.Sprintf("peers.seeds[%d]", i), seed)
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
			p.add(key, "is missing", "the path of a PEM file; all three may be omitted only if peers.listen is a loopback address")
		}
	}
}

func (s Settings) validateLimits(p *problemList) {
	p.checkMinimum("limits.header-bytes", int64(s.Limits.HeaderBytes), minHeaderBytes)
	if s.Limits.HeaderBytes > maxHeaderBytes {
		p.add("limits.header-bytes", fmt.Sprintf("has the value %d", s.Limits.HeaderBytes), fmt.Sprintf("at most %d", maxHeaderBytes))
	}
	p.checkMinimum("limits.body-bytes", s.Limits.BodyBytes, 1)
	p.checkMinimum("limits.memory-bytes", s.Limits.MemoryBytes, minMemoryBytes)
	p.checkMinimum("limits.connections", int64(s.Limits.Connections), minConnections)
}

func (p *problemList) checkMinimum(key string, value, low int64) {
	if value < low {
		p.add(key, fmt.Sprintf("has the value %d", value), fmt.Sprintf("at least %d", low))
	}
}

func (s Settings) validatePeriods(p *problemList) {
	p.checkPositive("periods.heartbeat", s.Periods.Heartbeat)
	p.checkPositive("periods.poll", s.Periods.Poll)
	p.checkPositive("periods.plan", s.Periods.Plan)
	p.checkPositive("periods.vouch", s.Periods.Vouch)
	p.checkPositive("periods.reboot", s.Periods.Reboot)
	p.checkPositive("periods.cool-down", s.Periods.CoolDown)
	p.checkPositive("periods.maintenance", s.Periods.Maintenance)
	p.checkPositive("periods.linger", s.Periods.Linger)
	if s.Periods.Shutdown <= s.Periods.Linger {
		p.add("periods.shutdown",
			fmt.Sprintf("has the value %q", time.Duration(s.Periods.Shutdown)),
			fmt.Sprintf("over %s, periods.linger", time.Duration(s.Periods.Linger)))
	}
	if low := minLapseHeartbeats*s.Periods.Heartbeat + minLapseHalfPolls*s.Periods.Poll/2; s.Periods.Lapse <= low {
		p.add("periods.lapse",
			fmt.Sprintf("has the value %q", time.Duration(s.Periods.Lapse)),
			fmt.Sprintf("over %s, two times periods.heartbeat and two and a half times periods.poll", time.Duration(low)))
	}
}

func (p *problemList) checkPositive(key string, value Duration) {
	if value <= 0 {
		p.add(key, fmt.Sprintf("has the value %q", time.Duration(value)), "a duration over 0s")
	}
}

func (s Settings) validateLogs(p *problemList) {
	if !slices.Contains(logLevels, s.Logs.Level) {
		p.add("logs.level", fmt.Sprintf("has the value %q", s.Logs.Level), strings.Join(logLevels, ", "))
	}
	known := event.Subsystems()
	for i, name := range s.Logs.Subsystems {
		if !slices.Contains(known, name) {
			p.add(fmt.Sprintf("logs.subsystems[%d]", i), fmt.Sprintf("has the value %q", name), strings.Join(known, ", "))
		}
	}
}
