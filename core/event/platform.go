package event

// Events of the platform subsystem.
const (
	StoreUnavailable Number = 700 + iota
	StoreRecovered
	CommitOutcomeResolved
)

var platformEntries = []CatalogueEntry{
	{StoreUnavailable, "platform", "The table service stopped answering."},
	{StoreRecovered, "platform", "The table service answers again."},
	{CommitOutcomeResolved, "platform", "The outcome of a commit whose answer was lost was determined by a read."},
}
