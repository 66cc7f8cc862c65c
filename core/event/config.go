package event

// Events of the config subsystem.
const (
	ConfigAccepted Number = 500 + iota
	ConfigInForce
)

var configEntries = []Entry{
	{ConfigAccepted, "config", "A new configuration was committed."},
	{ConfigInForce, "config", "Every live entry host acknowledged a configuration."},
}
