package event

// Events of the job subsystem.
const (
	JobAccepted Number = 400 + iota
)

var jobEntries = []Entry{
	{JobAccepted, "job", "A job's row was committed."},
}
