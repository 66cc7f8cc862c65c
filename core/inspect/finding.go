// Package inspect finds what is wrong in a version of the operators' configuration, and what it changes about an earlier one.
// Its findings refuse nothing: they say what the program does with the version.
package inspect

import (
	"cmp"
	"fmt"
	"slices"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Severity -transform=kebab -text -trimprefix=Severity -output=severity_enumer.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Kind -transform=kebab -text -output=kind_enumer.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Section -transform=kebab -text -trimprefix=Section -output=section_enumer.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Field -transform=kebab -text -trimprefix=Field -output=field_enumer.go

// Severity is how certain it is that a finding is a mistake.
type Severity int

// Severities of findings.
const (
	// SeverityError means that a part of the configuration has no effect, or that some requests or jobs can't be served.
	SeverityError Severity = iota
	// SeverityWarning means that the configuration is served as it says, which is probably not what is meant.
	SeverityWarning
)

// Kind is what a finding is about.
type Kind int

// Kinds of findings.
const (
	// Unreadable is a syntax error or a value of another type than expected: the version is not adopted.
	Unreadable Kind = iota
	// DuplicateField is a field that an object holds twice; the last one counts.
	DuplicateField
	// UnknownField is a field that has no effect.
	UnknownField
	// StaleVersion is a version that is not above the one in force: it is not adopted.
	StaleVersion
	// NoQueues is a configuration without queues.
	NoQueues
	// DuplicateQueue is a queue with the host and prefix of an earlier one, which gets all requests.
	DuplicateQueue
	// SharedQueueName is a queue with the name of another one.
	SharedQueueName
	// UnreachableQueue is a queue whose host or prefix no request has, or only an unusual one.
	UnreachableQueue
	// OverlappingQueue is a queue of which another one's prefix takes the requests of some jobs.
	OverlappingQueue
	// UnknownPool is a queue whose pool doesn't exist.
	UnknownPool
	// StandbyPool is a queue whose pool is on standby, so that nothing runs its jobs.
	StandbyPool
	// DuplicatePool is a pool with the name of another one; the last one counts.
	DuplicatePool
	// UnusedPool is a pool that is switched on and that no queue uses.
	UnusedPool
	// UselessTickets are tickets of a queue's policy service that expire before they can be used.
	UselessTickets
	// EmptyObjective is an objective of zero, which no job can meet.
	EmptyObjective
	// ShortTimeout is a timeout of requests below the time that the objective allows for a job.
	ShortTimeout
	// ValueOutOfRange is a number that is used as another one.
	ValueOutOfRange
	// UnusableOrganisation is an organisation whose settings are not in force.
	UnusableOrganisation
	// DuplicateOrganisation is an organisation with the name of another one; none of them is in force.
	DuplicateOrganisation
	// NoKeys is an organisation without keys.
	NoKeys
	// RepeatedKey is a key that an organisation lists twice.
	RepeatedKey
	// SharedKey is a key that several organisations list; it is refused.
	SharedKey
	// NoWeight is an organisation with weight zero.
	NoWeight
	// SmallLimit is a limit of less than one core.
	SmallLimit
	// TaskAboveLimit is an organisation whose limit is less than one task of a queue needs.
	TaskAboveLimit
	// NoKeysRequired is a configuration with organisations of which every queue is public.
	NoKeysRequired
	// NoKeysAnyMore is a configuration without organisations that replaces one with some.
	NoKeysAnyMore
)

// IsOrganisationFault reports whether the directory of organisations reports the finding too.
func (i Kind) IsOrganisationFault() bool {
	return i == UnusableOrganisation || i == DuplicateOrganisation || i == SharedKey
}

// Section is a part of the configuration.
type Section int

// Sections of the configuration.
const (
	SectionNone Section = iota
	SectionQueues
	SectionPools
	SectionOrganisations
	SectionLimits
)

// Field is a setting of the configuration or of an entry of a section.
type Field int

// Fields of the configuration.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldPool
	FieldTimeout
	FieldSlack
	FieldAttempts
	FieldPolicyService
	FieldKeys
	FieldWeight
	FieldLimit
	FieldMilliCores
	FieldMaxBodyBytes
)

// Place is the setting that a finding is about. The zero value is the whole configuration.
type Place struct {
	Section Section
	// Index is the position of the entry in its section, from zero, or WholeSection.
	Index int
	Field Field
	// Key is the position of a key among those of its organisation, from one; zero if the finding is about no key.
	Key int
}

// WholeSection is the index of a finding about a section.
const WholeSection = -1

// Finding is one thing that is wrong. It contains no key, only the beginning of a key's digest.
type Finding struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	// Path is the path of the setting in the operators' words, such as routes[3].service, and Line its line, from 1. They are
	// empty and zero if the setting is not in the configuration. Place is the same without the operators' words.
	Path  string `json:"path,omitempty"`
	Line  int    `json:"line,omitempty"`
	Place Place  `json:"-"`
	// Subject names the queue, pool or organisation; empty if the finding is about none of them.
	Subject string `json:"subject,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as a line of text without its position.
func (f Finding) String() string {
	if f.Subject == "" {
		return fmt.Sprintf("%s %s: %s", f.Severity, f.Kind, f.Message)
	}
	return fmt.Sprintf("%s %s: %s: %s", f.Severity, f.Kind, f.Subject, f.Message)
}

// SortFindings sorts findings by line and path, and those of one path by kind.
func SortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Kind, b.Kind))
	})
}

// CountErrors returns the number of findings that are errors.
func CountErrors(findings []Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == SeverityError {
			n++
		}
	}
	return n
}
