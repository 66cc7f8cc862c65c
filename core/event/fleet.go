package event

// Events of the fleet subsystem.
const (
	MemberJoined Number = 300 + iota
	MemberLapsed
	DutyTaken
	DutyReleased
	HostAdopted
	HostDraining
	HostDrained
	HostRebooting
	HostReady
	HostServing
	HostFailed
	HostLeaving
	HostForgotten
	HostMoved
	WorkRefused
	WorkResumed
	DrainOverdue
	MaintenanceBehind
	ListDoubted
	ListTrusted
	RoutesSilenced
	RoutesVouched
	DutyConflict
)

var fleetEntries = []CatalogueEntry{
	{MemberJoined, "fleet", "An entry host's member row appeared."},
	{MemberLapsed, "fleet", "An entry host's member row was not renewed for a whole lease."},
	{DutyTaken, "fleet", "An entry host became the holder of a pool's duty."},
	{DutyReleased, "fleet", "An entry host handed over a pool's duty."},
	{HostAdopted, "fleet", "A host that was in no pool was added to its home pool."},
	{HostDraining, "fleet", "A host was taken out of service for planned work, within its pool's budget."},
	{HostDrained, "fleet", "No entry host routes to a host, nothing is in progress on it and it refuses new work."},
	{HostRebooting, "fleet", "The reboot of a drained host was recorded and ordered."},
	{HostReady, "fleet", "A host is live again but still out of service."},
	{HostServing, "fleet", "A host receives new work again."},
	{HostFailed, "fleet", "A host counts as failed against its pool's budget."},
	{HostLeaving, "fleet", "The platform is removing a host; it gets no new work."},
	{HostForgotten, "fleet", "The rows of a host that did not return were deleted."},
	{HostMoved, "fleet", "A host moved from one pool to another in one transaction."},
	{WorkRefused, "fleet", "Planned work waits because of a pool's budget or a mass failure."},
	{WorkResumed, "fleet", "Planned work continues after a wait."},
	{DrainOverdue, "fleet", "A drain exceeded its time limit and was abandoned."},
	{MaintenanceBehind, "fleet", "A pool is forecast not to maintain every host within the period at its current pace."},
	{ListDoubted, "fleet", "A reading of the platform's list of hosts was distrusted as implausible."},
	{ListTrusted, "fleet", "The platform's list of hosts is trusted again."},
	{RoutesSilenced, "fleet", "An entry host can't confirm that its routes are current and sends no new work."},
	{RoutesVouched, "fleet", "An entry host can confirm again that its routes are current."},
	{DutyConflict, "fleet", "A decision was discarded because another holder wrote the pool's row first."},
}
