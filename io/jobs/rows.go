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

// fenceRow is the row "job-fence/<pool>". Its version is a precondition of every
// commit of the pool's duty holder, so that an earlier holder writes nothing more.
type fenceRow struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	// Claim is unique to a takeover, so that it knows its own write again.
	Claim string `json:"claim"`
}

// poolRow is the part of the row "pool/<pool>" that job duties need.
type poolRow struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// noticeRow is a row "job-notice/<pool>/<id>". It tells the pool's duty holder
// which rows callers have written, so that it need not scan them all.
type noticeRow struct {
	Jobs []job.ID `json:"jobs"`
}

func jobKey(pool string, id job.ID) string {
	return jobPrefix + pool + "/" + string(id)
}

// poolOf returns the full name of the pool that a job's ID names.
func poolOf(organisation string, id job.ID) string {
	i := strings.LastIndexByte(string(id), '-')
	return organisation + "/" + string(id[:max(i, 0)])
}

// newID returns a job's ID in a pool, from a part that is unique in the organisation.
func newID(pool, unique string) job.ID {
	_, short, _ := strings.Cut(pool, "/")
	return job.ID(short + "-" + unique)
}

// decodeJob reads a job's row.
func decodeJob(row platform.Row) (job.Job, error) {
	var j job.Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		return j, errors.Wrapf(err, "row %q", row.Key)
	}
	j.Version = row.Version
	return j, nil
}

// encode marshals a row's value. The types of rows always marshal.
func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
