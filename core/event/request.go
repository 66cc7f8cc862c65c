package event

// Events of the request subsystem.
const (
	RequestAnswered Number = 200 + iota
	RequestNotRun
	RequestUnknown
	RequestRetried
	RequestReplayed
	ClaimLost
	TargetEjected
	TargetRestored
)

var requestEntries = []CatalogueEntry{
	{RequestAnswered, "request", "A caller got the whole answer to its request."},
	{RequestNotRun, "request", "A caller was told that its request was not run."},
	{RequestUnknown, "request", "A caller was told that the outcome of its request is unknown."},
	{RequestRetried, "request", "An attempt at a target failed and another target is tried."},
	{RequestReplayed, "request", "A caller got the stored answer for its Idempotency-Key."},
	{ClaimLost, "request", "The entry host that had claimed an Idempotency-Key is gone; the key's outcome is unknown."},
	{TargetEjected, "request", "A target failed or was slow more than the others of its pool and gets no requests."},
	{TargetRestored, "request", "An ejected target answers again like the others and gets requests."},
}
