package event

// Events of the process subsystem.
const (
	ProcessStarted Number = 100 + iota
	ProcessServing
	ProcessStopping
	ProcessStopped
)

var processEntries = []CatalogueEntry{
	{ProcessStarted, "process", "An entry host's process has read its settings and started."},
	{ProcessServing, "process", "The process holds a proved configuration and accepts callers."},
	{ProcessStopping, "process", "A graceful shutdown began."},
	{ProcessStopped, "process", "The process has finished its requests and handed over its duties."},
}
