package platform

import "siskincross/core/work"

// Operators tells where operators write and how their rows read.
type Operators struct {
	// Table is the table of operators' rows.
	Table string
	// DecodeCatalogue returns false for a row that is no configuration.
	DecodeCatalogue func(PartRow) (work.Catalogue, bool, error)
	// DecodeWave returns false for a row that is no maintenance wave.
	DecodeWave func(PartRow) (work.Wave, bool, error)
	// EncodeWaveStatus returns the row that tells operators how far a wave is.
	EncodeWaveStatus func(w work.Wave, completed bool) RowWrite
}
