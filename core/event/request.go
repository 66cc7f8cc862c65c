package event

// Events of the request subsystem.
const (
	RequestAnswered Number = 200 + iota
	RequestNotRun
	RequestUnknown
)

var requestEntries = []Entry{
	{RequestAnswered, "request", "A caller got the whole answer to its request."},
	{RequestNotRun, "request", "A caller was told that its request was not run."},
	{RequestUnknown, "request", "A caller was told that the outcome of its request is unknown."},
}
