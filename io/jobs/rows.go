package jobs

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincross/core/job"
	"siskincross/io/platform"
)

// Prefixes of row keys.
const (
	jobPrefix    = "job/"
	fencePrefix  = "job-fence/"
	noticePrefix = "job-notice/"
	poolPrefix   = "pool/"
)

// fenceRow is the row "job-fence/<pool>". Its version is a precondition of every commit of the pool's duty
// holder, which fences earlier holders off.
type fenceRow struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	// TakeoverID is unique to a takeover, which recognises its own write by it.
	TakeoverID string `json:"claim"`
}

// poolRow is the part of the row "pool/<pool>" that the job subsystem needs.
type poolRow struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// noticeRow is a row "job-notice/<pool>/<id>". It tells the pool's duty holder which rows callers have
// written, so that the holder need not scan all rows.
type noticeRow struct {
	Jobs []job.ID `json:"jobs"`
}

func jobKey(pool string, id job.ID) string {
	return jobPrefix + pool + "/" + string(id)
}

// poolName returns the full name of the pool that is part of a job ID.
func poolName(organisation string, id job.ID) string {
	i := strings.LastIndexByte(string(id), '-')
	return organisation + "/" + string(id[:max(i, 0)])
}

// newJobID returns a job ID in a pool from a suffix that is unique in the organisation.
func newJobID(pool, unique string) job.ID {
	_, short, _ := strings.Cut(pool, "/")
	return job.ID(short + "-" + unique)
}

// decodeJob decodes a job row.
func decodeJob(row platform.Row) (job.Job, error) {
	var j job.Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		return j, errors.Wrapf(err, "row %q", row.Key)
	}
	j.Version = row.Version
	return j, nil
}

// encodeJSON marshals a value. It panics on an error, which the types of rows and responses never cause.
func encodeJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
