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
	{HostAdopted, "fleet", "A host that no pool had was taken into its home pool."},
	{HostDraining, "fleet", "A host was taken out of service for planned work, within its pool's budget."},
	{HostDrained, "fleet", "Nothing routes to a host, nothing is in progress on it and it refuses new work."},
	{HostRebooting, "fleet", "The reboot of a drained host was recorded and ordered."},
	{HostReady, "fleet", "A host is up again and out of service."},
	{HostServing, "fleet", "A host receives new work again."},
	{HostFailed, "fleet", "A host counts as failed against its pool's budget."},
	{HostLeaving, "fleet", "The platform is taking a host away; it gets no new work."},
	{HostForgotten, "fleet", "The rows of a host that did not come back were deleted."},
	{HostMoved, "fleet", "A host went from one pool to another in one transaction."},
	{WorkRefused, "fleet", "Planned work waits because of a pool's budget or a wave of failures."},
	{WorkResumed, "fleet", "Planned work goes on after a wait."},
	{DrainOverdue, "fleet", "A drain took too long and was given up."},
	{MaintenanceBehind, "fleet", "A pool will not maintain every host within the period at its present pace."},
	{ListDoubted, "fleet", "A reading of the platform's list was doubted."},
	{ListTrusted, "fleet", "The platform's list is trusted again."},
	{RoutesSilenced, "fleet", "An entry host can't vouch for its routes and sends no new work."},
	{RoutesVouched, "fleet", "An entry host can vouch for its routes again."},
	{DutyConflict, "fleet", "A decision was dropped because another holder wrote the pool's row first."},
}
