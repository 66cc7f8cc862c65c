package rollout

import (
	"fmt"
	"strings"

	"siskincross/core/config"
)

// ErrConflict is returned when the organisation's current version is not the one on which
// the change is based.
type ErrConflict struct {
	Organisation string         `json:"organisation"`
	From         config.Version `json:"from"`
	Actual       config.Version `json:"actual"`
	// Differences lists what changed between the versions From and Actual. It is empty if
	// the source of From is no longer kept or a source can't be read.
	Differences []config.Difference `json:"differences,omitempty"`
}

// Error implements error.
func (e ErrConflict) Error() string {
	lines := []string{fmt.Sprintf("%s is at version %d, the change was made from %d", e.Organisation, e.Actual, e.From)}
	for _, d := range e.Differences {
		lines = append(lines, d.String())
	}
	return strings.Join(lines, "\n")
}

// ErrNotAccepted is returned when a change was abandoned and nothing was committed.
type ErrNotAccepted struct {
	Change string `json:"change"`
	Reason string `json:"reason"`
}

// Error implements error.
func (e ErrNotAccepted) Error() string {
	return fmt.Sprintf("change %s was not accepted: %s", e.Change, e.Reason)
}

// ErrOutcomeUnknown is returned when the caller stopped waiting before the outcome of the
// commit was known. Applying the same change with the same ID again resolves the outcome.
type ErrOutcomeUnknown struct {
	Change string `json:"change"`
}

// Error implements error.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown; apply it again with the same change ID", e.Change)
}

// ErrVersionNotFound is returned for a version that does not exist or is no longer kept.
type ErrVersionNotFound struct {
	Organisation string         `json:"organisation,omitempty"`
	Version      config.Version `json:"version"`
}

// Error implements error.
func (e ErrVersionNotFound) Error() string {
	if e.Organisation != "" {
		return fmt.Sprintf("version %d of %s does not exist or is no longer kept", e.Version, e.Organisation)
	}
	return fmt.Sprintf("version %d does not exist or is no longer kept", e.Version)
}

// ErrNotReady is returned while this entry host has no verified configuration.
type ErrNotReady struct{}

// Error implements error.
func (ErrNotReady) Error() string {
	return "this entry host has no verified configuration yet"
}
