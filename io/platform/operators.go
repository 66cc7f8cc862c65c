package platform

import "siskincross/core/work"

// OperatorRows tells where operators write and how their rows read.
type OperatorRows struct {
	// Table is the table of operators' rows.
	Table string
	// DecodeCatalogue returns false for a row that is no configuration.
	DecodeCatalogue func(VersionedRow) (work.Catalogue, bool, error)
	// DecodeWave returns false for a row that is no maintenance wave.
	DecodeWave func(VersionedRow) (work.MaintenanceWave, bool, error)
	// EncodeWaveStatus returns the row that tells operators how far a wave is.
	EncodeWaveStatus func(w work.MaintenanceWave, completed bool) RowWrite
}
