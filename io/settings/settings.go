// Package settings reads and validates the TOML settings of one entry host.
package settings

import (
	"encoding"
	"time"
)

// Settings holds the immutable settings of one entry host. The zero value is not
// valid; Parse returns valid settings with the defaults filled in.
type Settings struct {
	// Deployment is the name of the deployment. Entry hosts refuse connections from peers of other deployments.
	Deployment string `toml:"deployment"`
	// Name is the name of the entry host, unique in the deployment.
	Name string `toml:"name"`
	// Region and Zone are the location of the entry host. Region is optional.
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

// Callers holds the settings of the callers' HTTP listener.
type Callers struct {
	// Listen is the "ip:port" to listen on; port 0 selects a free port.
	Listen string `toml:"listen"`
}

// Operators holds the settings of the operators' HTTP listener.
type Operators struct {
	// Listen is the "ip:port" to listen on; port 0 selects a free port.
	Listen string `toml:"listen"`
	// Token is the operators' credential. It may be empty only if Listen is a loopback address.
	Token string `toml:"token"`
}

// Peers holds the settings of the connections to the other entry hosts.
type Peers struct {
	// Listen is the "ip:port" to listen on; port 0 selects a free port.
	Listen string `toml:"listen"`
	// Seeds are the addresses of peers to connect to before the membership is known.
	Seeds []string `toml:"seeds"`
	// Certificate, Key and Authority are paths of PEM files for mutual TLS.
	// Either all are set or none. None is allowed only if Listen is a loopback address.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Platform holds the settings of the connection to the platform.
type Platform struct {
	// Address is the "ip:port" of the platform's HTTP interface.
	Address string `toml:"address"`
}

// Limits holds the limits on callers' requests and on memory.
type Limits struct {
	// HeaderBytes is the maximum size of a request's headers.
	HeaderBytes int `toml:"header-bytes"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `toml:"body-bytes"`
	// MemoryBytes is the soft memory limit of the Go runtime.
	MemoryBytes int64 `toml:"memory-bytes"`
	// Connections is the maximum number of open connections of callers.
	Connections int `toml:"connections"`
}

// Periods holds the intervals and timeouts of the control loops. All entry hosts of a deployment must use the same values.
type Periods struct {
	// Heartbeat is the interval between renewals of the member row.
	Heartbeat Duration `toml:"heartbeat"`
	// Poll is the interval between reads of the members' and the pools' rows.
	Poll Duration `toml:"poll"`
	// Lapse is the maximum time from the end of an entry host to the takeover of its
	// duties. It must exceed two Heartbeats plus two and a half Polls.
	Lapse Duration `toml:"lapse"`
	// Plan is the interval between planning rounds of maintenance and moves.
	Plan Duration `toml:"plan"`
	// Vouch is how long requests are still routed to a host after it was last confirmed.
	Vouch Duration `toml:"vouch"`
	// Reboot is how long a host may be absent for a reboot before it counts as failed.
	Reboot Duration `toml:"reboot"`
	// CoolDown is the minimum time that a host stays in a pool after it moved there.
	CoolDown Duration `toml:"cool-down"`
	// Maintenance is the period in which each host is maintained once.
	Maintenance Duration `toml:"maintenance"`
	// Linger is how long requests are still accepted after the health check begins to fail at shutdown.
	Linger Duration `toml:"linger"`
	// Shutdown is the maximum duration of a graceful shutdown. It must exceed Linger.
	Shutdown Duration `toml:"shutdown"`
}

// Logs holds the level of the logs and the subsystems that are logged.
type Logs struct {
	// Level is the lowest level logged: "debug", "info", "warn" or "error".
	Level string `toml:"level"`
	// Subsystems are the logged subsystems, by their names in docs/EVENTS.md; empty means all.
	Subsystems []string `toml:"subsystems"`
}

// Duration is a time.Duration that is encoded as text in Go's notation, such as "2s".
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
	defaultConnections = 1024
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

// Default returns the values of the settings that a file may omit.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes,
			BodyBytes:   defaultBodyBytes,
			MemoryBytes: defaultMemoryBytes,
			Connections: defaultConnections,
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
