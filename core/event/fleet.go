package event

// Events of the fleet subsystem.
const (
	MemberJoined Number = 300 + iota
	MemberLapsed
	DutyTaken
	DutyReleased
)

var fleetEntries = []Entry{
	{MemberJoined, "fleet", "An entry host's member row appeared."},
	{MemberLapsed, "fleet", "An entry host's member row was not renewed for a whole lease."},
	{DutyTaken, "fleet", "An entry host became the holder of a pool's duty."},
	{DutyReleased, "fleet", "An entry host handed over a pool's duty."},
}
