package event

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Level -transform=kebab -text -trimprefix=Level -output=level_enumer.go

// Level is the severity of an event in the logs.
type Level int

// Severities of events.
const (
	// LevelDebug events occur with every request or job.
	LevelDebug Level = iota
	LevelInfo
	// LevelWarn events report a failure that the system handles.
	LevelWarn
)

// Level returns the severity of events with number n.
func (n Number) Level() Level {
	switch n {
	case RequestAnswered, RequestNotRun, RequestUnknown, RequestRetried, RequestReplayed,
		JobAccepted, JobStarted, JobFinished, JobCancelled,
		WorkStarted, WorkRunEnded, WorkRunStopped, NeedStated, PlanStored:
		return LevelDebug
	case MemberLapsed, PeerLost, PeerRefused, StoreUnavailable, ClaimLost, TargetEjected,
		JobUnknown, JobParked, JobCommitFailed, JobRowUnreadable, WorkerSuspected,
		HostFailed, DrainOverdue, MaintenanceBehind, ListDoubted, RoutesSilenced, DutyConflict,
		WorkUnsure, WorkDutyFailed, WorkStartUnsure, WorkerSilent, WorkerLost, WorkerEntryRejected, WorkCommitFailed, WorkRowUnreadable, ProgressRefused, WorkDutyUncertain,
		CatalogueUnreadable, MemberGone, MachineOrderFailed, LinesLeftOut, WorkGivenUp, WorkerEndsMissing, WorkerEndsUncertain, OrganisationFaulty, ConfigurationOutdated, ConfigurationFinding, CallersCrowded:
		return LevelWarn
	default:
		return LevelInfo
	}
}
