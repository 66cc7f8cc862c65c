package event

import "time"

// Timestamp is a reading of a hybrid logical clock. The timestamps of one process are strictly increasing, and
// each is later than those of all messages that the process received before.
type Timestamp struct {
	// WallMillis is the highest wall time seen so far, in milliseconds since the Unix epoch.
	WallMillis int64 `json:"wall-millis"`
	// Logical orders events with the same WallMillis.
	Logical uint32 `json:"logical"`
}

// Before reports whether t is earlier than other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.WallMillis != other.WallMillis {
		return t.WallMillis < other.WallMillis
	}
	return t.Logical < other.Logical
}

// Next returns the timestamp of a local event at the given wall time.
func (t Timestamp) Next(now time.Time) Timestamp {
	wall := now.UnixMilli()
	if wall > t.WallMillis {
		return Timestamp{WallMillis: wall}
	}
	return Timestamp{WallMillis: t.WallMillis, Logical: t.Logical + 1}
}

// Merge returns the timestamp of the receipt of a message with timestamp remote at the given wall time.
func (t Timestamp) Merge(remote Timestamp, now time.Time) Timestamp {
	if t.Before(remote) {
		return remote.Next(now)
	}
	return t.Next(now)
}
