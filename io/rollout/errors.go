package rollout

import (
	"fmt"
	"strings"

	"siskincross/core/config"
)

// ErrConflict is returned when the organisation's configuration is not the version that the change was made from.
type ErrConflict struct {
	Organisation string         `json:"organisation"`
	From         config.Version `json:"from"`
	Actual       config.Version `json:"actual"`
	// Differences is what changed from the version From to the version Actual;
	// empty when From is no longer kept.
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

// ErrNotAccepted is returned when a change was given up and nothing was committed.
type ErrNotAccepted struct {
	Change string `json:"change"`
	Reason string `json:"reason"`
}

// Error implements error.
func (e ErrNotAccepted) Error() string {
	return fmt.Sprintf("change %s was not accepted: %s", e.Change, e.Reason)
}

// ErrOutcomeUnknown is returned when the caller gave up before a commit's
// outcome was known. Applying the same change with the same ID tells the outcome.
type ErrOutcomeUnknown struct {
	Change string `json:"change"`
}

// Error implements error.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: apply it again with the same change ID", e.Change)
}

// ErrVersionNotFound is returned for a version that does not exist or is no longer kept.
type ErrVersionNotFound struct {
	Organisation string         `json:"organisation,omitempty"`
	Version      config.Version `json:"version"`
}

// Error implements error.
func (e ErrVersionNotFound) Error() string {
	if e.Organisation != "" {
		return fmt.Sprintf("there is no version %d of %s", e.Version, e.Organisation)
	}
	return fmt.Sprintf("there is no version %d", e.Version)
}

// ErrNotReady is returned while no configuration is proved yet.
type ErrNotReady struct{}

// Error implements error.
func (ErrNotReady) Error() string {
	return "this entry host holds no proved configuration yet"
}
