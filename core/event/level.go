package event

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Level -transform=kebab -text -trimprefix=Level -output=level_enumer.go

// Level is how much an event matters to an operator who reads the logs.
type Level int

// Levels of events.
const (
	// LevelDebug events happen with every request or job.
	LevelDebug Level = iota
	LevelInfo
	// LevelWarn events tell of a failure that the system is dealing with.
	LevelWarn
)

// Level returns how much events of this kind matter.
func (n Number) Level() Level {
	switch n {
	case RequestAnswered, RequestNotRun, RequestUnknown, RequestRetried, RequestReplayed,
		JobAccepted, JobStarted, JobFinished, JobCancelled,
		WorkStarted, WorkRunEnded, WorkRunStopped, NeedStated, PlanStored:
		return LevelDebug
	case MemberLapsed, PeerLost, PeerRefused, StoreUnavailable, ClaimLost, TargetEjected,
		JobUnknown, JobParked, JobCommitFailed, JobRowUnreadable, WorkerSuspected,
		HostFailed, DrainOverdue, MaintenanceBehind, ListDoubted, RoutesSilenced, DutyConflict,
		WorkUnsure, WorkDutyFailed, WorkStartUnsure, WorkerSilent, WorkerLost, WorkCommitFailed, WorkRowUnreadable,
		CatalogueUnreadable, MemberGone, MachineOrderFailed, LinesLeftOut, WorkGivenUp:
		return LevelWarn
	default:
		return LevelInfo
	}
}
