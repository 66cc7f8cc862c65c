package peer

import "siskincross/io/peer/peerpb"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Kind -transform=kebab -text -json -trimprefix=Kind -output=kind_enumer.go

// Kind is the kind of an envelope's body.
type Kind int

// Kinds of messages between entry hosts.
const (
	// KindUnknown is the kind of bodies sent by peers with a newer protocol. They are not handled.
	KindUnknown Kind = iota
	KindHello
	KindRoutes
	KindRouteReport
	KindConfigHead
	KindConfigReport
	KindTimelineRequest
	KindTimelineReply
	KindLoadReport
	KindVouch
	KindAcknowledgement
	KindConfigChange
	KindConfigOutcome
	KindHandIn
	KindHandInOutcome
	KindDutyQuestion
	KindDutyAnswer
	KindDutyOffer
	KindJobRequest
	KindJobReply
	KindTakeoverNotice
)

// KindOf returns the kind of the envelope's body.
func KindOf(e *peerpb.Envelope) Kind {
	switch e.GetBody().(type) {
	case *peerpb.Envelope_Hello:
		return KindHello
	case *peerpb.Envelope_Routes:
		return KindRoutes
	case *peerpb.Envelope_RouteReport:
		return KindRouteReport
	case *peerpb.Envelope_ConfigHead:
		return KindConfigHead
	case *peerpb.Envelope_ConfigReport:
		return KindConfigReport
	case *peerpb.Envelope_TimelineRequest:
		return KindTimelineRequest
	case *peerpb.Envelope_TimelineReply:
		return KindTimelineReply
	case *peerpb.Envelope_LoadReport:
		return KindLoadReport
	case *peerpb.Envelope_Vouch:
		return KindVouch
	case *peerpb.Envelope_Acknowledgement:
		return KindAcknowledgement
	case *peerpb.Envelope_ConfigChange:
		return KindConfigChange
	case *peerpb.Envelope_ConfigOutcome:
		return KindConfigOutcome
	default:
		return dutyKindOf(e)
	}
}

// dutyKindOf returns the kind of a body that concerns the duties of entry hosts or their callers' jobs.
func dutyKindOf(e *peerpb.Envelope) Kind {
	switch e.GetBody().(type) {
	case *peerpb.Envelope_HandIn:
		return KindHandIn
	case *peerpb.Envelope_HandInOutcome:
		return KindHandInOutcome
	case *peerpb.Envelope_DutyQuestion:
		return KindDutyQuestion
	case *peerpb.Envelope_DutyAnswer:
		return KindDutyAnswer
	case *peerpb.Envelope_DutyOffer:
		return KindDutyOffer
	case *peerpb.Envelope_JobRequest:
		return KindJobRequest
	case *peerpb.Envelope_JobReply:
		return KindJobReply
	case *peerpb.Envelope_TakeoverNotice:
		return KindTakeoverNotice
	default:
		return KindUnknown
	}
}
