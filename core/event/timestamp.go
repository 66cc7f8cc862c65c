package event

import "time"

// Timestamp is a reading of a hybrid logical clock. Timestamps of one process
// strictly increase, and a timestamp follows those of all messages received before it.
type Timestamp struct {
	// WallMillis is Unix time in milliseconds, the highest seen so far.
	WallMillis int64 `json:"wall-millis"`
	// Logical orders events of the same WallMillis.
	Logical uint32 `json:"logical"`
}

// Before reports whether t orders before other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.WallMillis != other.WallMillis {
		return t.WallMillis < other.WallMillis
	}
	return t.Logical < other.Logical
}

// Next returns the timestamp of a local event at wall time now.
func (t Timestamp) Next(now time.Time) Timestamp {
	wall := now.UnixMilli()
	if wall > t.WallMillis {
		return Timestamp{WallMillis: wall}
	}
	return Timestamp{WallMillis: t.WallMillis, Logical: t.Logical + 1}
}

// Merge returns the timestamp of receiving remote at wall time now.
func (t Timestamp) Merge(remote Timestamp, now time.Time) Timestamp {
	if t.Before(remote) {
		return remote.Next(now)
	}
	return t.Next(now)
}
