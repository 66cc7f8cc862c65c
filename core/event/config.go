package event

// Events of the config subsystem.
const (
	ConfigAccepted Number = 500 + iota
	ConfigInForce
	ConfigRefused
	ConfigAdopted
	ConfigProved
)

var configEntries = []CatalogueEntry{
	{ConfigAccepted, "config", "A new configuration was committed."},
	{ConfigInForce, "config", "Every live entry host acknowledged a configuration."},
	{ConfigRefused, "config", "A change was refused because the organisation's configuration had changed since."},
	{ConfigAdopted, "config", "An entry host replaced its configuration with a higher version."},
	{ConfigProved, "config", "A starting entry host holds a configuration that it may serve with."},
}
