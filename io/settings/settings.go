// Package settings reads and validates the TOML settings of one entry host.
package settings

import (
	"encoding"
	"time"
)

// Settings are the immutable settings of one entry host. The zero value is not
// valid; Parse returns valid settings with the defaults filled in.
type Settings struct {
	// Deployment names the deployment. Entry hosts of other deployments are refused as peers.
	Deployment string `toml:"deployment"`
	// Name names the entry host. It is unique in the deployment.
	Name string `toml:"name"`
	// Region and Zone tell where the entry host stands.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`

	Callers   Callers   `toml:"callers"`
	Operators Operators `toml:"operators"`
	Peers     Peers     `toml:"peers"`
	Platform  Platform  `toml:"platform"`
	Limits    Limits    `toml:"limits"`
	Periods   Periods   `toml:"periods"`
	Logs      Logs      `toml:"logs"`
}

// Callers are the settings of the callers' HTTP listener.
type Callers struct {
	// Listen is "ip:port"; port 0 takes a free one.
	Listen string `toml:"listen"`
}

// Operators are the settings of the operators' HTTP listener.
type Operators struct {
	Listen string `toml:"listen"`
	// Token is the credential of operators. It may be empty only on a loopback address.
	Token string `toml:"token"`
}

// Peers are the settings of the links to the other entry hosts.
type Peers struct {
	Listen string `toml:"listen"`
	// Seeds are the peers' addresses to try before membership is known.
	Seeds []string `toml:"seeds"`
	// Certificate, Key and Authority are paths of PEM files for mutual TLS.
	// All are set or none; none only on a loopback address.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Platform is where the platform is reached.
type Platform struct {
	// Address is "ip:port" of the platform's HTTP interface.
	Address string `toml:"address"`
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int `toml:"header-bytes"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `toml:"body-bytes"`
	// MemoryBytes is the soft limit of the garbage collector.
	MemoryBytes int64 `toml:"memory-bytes"`
}

// Periods set how often the loops run. Every entry host of a deployment has the same.
type Periods struct {
	// Heartbeat is the time between two renewals of the member row.
	Heartbeat Duration `toml:"heartbeat"`
	// Poll is the time between two looks at the members and the pools' rows.
	Poll Duration `toml:"poll"`
	// Lapse bounds the time from an entry host's end to the takeover of its
	// duties; over two Heartbeats and two and a half Polls.
	Lapse Duration `toml:"lapse"`
	// Plan is the time between two plans of maintenance and moves.
	Plan Duration `toml:"plan"`
	// Vouch is how long requests go on to hosts that nobody confirmed meanwhile.
	Vouch Duration `toml:"vouch"`
	// Reboot is how long a host may be away for a reboot before it counts as failed.
	Reboot Duration `toml:"reboot"`
	// CoolDown is how long a host stays in a pool that it moved to.
	CoolDown Duration `toml:"cool-down"`
	// Maintenance is the time in which every host is maintained once.
	Maintenance Duration `toml:"maintenance"`
	// Linger is how long requests are accepted after the health check began to fail.
	Linger Duration `toml:"linger"`
	// Shutdown bounds a graceful shutdown; over Linger.
	Shutdown Duration `toml:"shutdown"`
}

// Logs switch the logs on by subsystem.
type Logs struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
	// Subsystems are the names of docs/EVENTS.md; empty means all.
	Subsystems []string `toml:"subsystems"`
}

// Duration is a time.Duration in Go's notation, such as "2s".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Default limits and periods.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 64 << 20
	defaultMemoryBytes = 56 << 20
	defaultHeartbeat   = 2 * time.Second
	defaultPoll        = 750 * time.Millisecond
	defaultLapse       = 6 * time.Second
	defaultPlan        = 2 * time.Second
	defaultVouch       = 3 * time.Second
	defaultReboot      = 15 * time.Minute
	defaultCoolDown    = 30 * time.Minute
	defaultMaintenance = 8 * 7 * 24 * time.Hour
	defaultLinger      = 3 * time.Second
	defaultShutdown    = 30 * time.Second
	defaultLevel       = "info"
)

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes,
			BodyBytes:   defaultBodyBytes,
			MemoryBytes: defaultMemoryBytes,
		},
		Periods: Periods{
			Heartbeat:   Duration(defaultHeartbeat),
			Poll:        Duration(defaultPoll),
			Lapse:       Duration(defaultLapse),
			Plan:        Duration(defaultPlan),
			Vouch:       Duration(defaultVouch),
			Reboot:      Duration(defaultReboot),
			CoolDown:    Duration(defaultCoolDown),
			Maintenance: Duration(defaultMaintenance),
			Linger:      Duration(defaultLinger),
			Shutdown:    Duration(defaultShutdown),
		},
		Logs: Logs{Level: defaultLevel},
	}
}
