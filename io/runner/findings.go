package runner

import (
	"fmt"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// maxLoggedFindings bounds the lines about one version of the configuration.
const maxLoggedFindings = 20

// recordFindings records what is wrong in a version that has just been adopted and was not in the version before. Faults of
// organisations that the directory reports are left to it. It is called by the goroutine that follows the configuration.
func (m *Manager) recordFindings(row platform.VersionedRow, version uint64) {
	if m.Operators.InspectCatalogue == nil {
		return
	}
	known, logged, more := m.knownFindings, 0, 0
	m.knownFindings = make(map[string]bool)
	for _, f := range m.Operators.InspectCatalogue(row) {
		text := f.String()
		isNew := !known[text] && !m.knownFindings[text]
		m.knownFindings[text] = true
		switch {
		case !isNew || f.Kind.IsOrganisationFault():
		case logged == maxLoggedFindings:
			more++
		default:
			logged++
			m.record(event.Event{Number: event.ConfigurationFinding, Detail: fmt.Sprintf("version %d, %s: %s", version, f.Path, text)})
		}
	}
	if more > 0 {
		m.record(event.Event{Number: event.ConfigurationFinding, Detail: fmt.Sprintf("version %d: %d more findings", version, more)})
	}
}
