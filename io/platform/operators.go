package platform

import (
	"siskincross/core/inspect"
	"siskincross/core/work"
)

// OperatorRows locates and decodes the rows that operators write, and encodes the rows that they read.
type OperatorRows struct {
	// Table is the name of the table that operators write.
	Table string
	// DecodeCatalogue returns false for a row that does not hold the configuration.
	DecodeCatalogue func(VersionedRow) (work.Catalogue, bool, error)
	// InspectCatalogue returns what is wrong in the configuration that a row holds; nil if nothing is to be inspected.
	InspectCatalogue func(VersionedRow) []inspect.Finding
	// DecodeWave returns false for a row that does not hold a maintenance wave.
	DecodeWave func(VersionedRow) (work.MaintenanceWave, bool, error)
	// EncodeWaveStatus returns the row that shows operators whether a wave is completed.
	EncodeWaveStatus func(w work.MaintenanceWave, completed bool) RowWrite
}
