package event

// Events of the config subsystem.
const (
	ConfigAccepted Number = 500 + iota
	ConfigInForce
	ConfigRefused
	ConfigAdopted
	ConfigProved
	OrganisationFaulty
	KeyRefused
	ConfigurationOutdated
	ConfigurationCurrent
	RequestRefused
	ConfigurationFinding
)

var configEntries = []CatalogueEntry{
	{ConfigAccepted, "config", "A new configuration was committed."},
	{ConfigInForce, "config", "Every live entry host acknowledged a configuration."},
	{ConfigRefused, "config", "A change was refused because the organisation's configuration had changed since."},
	{ConfigAdopted, "config", "An entry host replaced its configuration with a higher version."},
	{ConfigProved, "config", "A starting entry host holds a configuration that it may serve with."},
	{OrganisationFaulty, "config", "Settings of an organisation can't be used and are not in force; all others are."},
	{KeyRefused, "config", "A request was refused because of its key, or because this process can't know whether its key is valid."},
	{ConfigurationOutdated, "config", "This process can't confirm its configuration with organisations in time, or another one has a newer version: it refuses no key, and later takes none."},
	{ConfigurationCurrent, "config", "This process has confirmed its configuration again."},
	{RequestRefused, "config", "A request of a deployment with organisations was refused because no queue matches it or its job is invalid."},
	{ConfigurationFinding, "config", "A version of the configuration that is now in force has an error or a doubtful setting that the one before did not have."},
}
