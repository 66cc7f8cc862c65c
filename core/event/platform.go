package event

// Events of the platform subsystem.
const (
	StoreUnavailable Number = 700 + iota
	StoreRecovered
	CommitOutcomeResolved
	CallersCrowded
)

var platformEntries = []CatalogueEntry{
	{StoreUnavailable, "platform", "The table service stopped answering."},
	{StoreRecovered, "platform", "The table service answers again."},
	{CommitOutcomeResolved, "platform", "The outcome of a commit whose answer was lost was determined by a read."},
	{CallersCrowded, "platform", "Callers' bodies or connections were refused, closed or broken off because of a limit; the number is of those since the last such line."},
}
