package event

// Events of the job subsystem.
const (
	JobAccepted Number = 400 + iota
	JobCancelRequested
	JobReleased
	JobStarted
	JobFinished
	JobRequeued
	JobFailed
	JobParked
	JobUnknown
	JobCancelled
	JobLateAttempt
	JobLapsed
	JobLeaving
	WorkerSuspected
	WorkerCleared
	JobDutyTaken
	JobDutyLost
	JobCommitFailed
	JobRowUnreadable
)

var jobEntries = []CatalogueEntry{
	{JobAccepted, "job", "A job's row was committed."},
	{JobCancelRequested, "job", "A caller's request to cancel a job was committed."},
	{JobReleased, "job", "A caller's request to try a parked job again was committed."},
	{JobStarted, "job", "A worker accepted the task of a committed attempt."},
	{JobFinished, "job", "A job's result was committed."},
	{JobRequeued, "job", "An attempt ended without a result and the job was queued again."},
	{JobFailed, "job", "An attempt of a job failed on a worker."},
	{JobParked, "job", "A job was parked because it failed on several workers that run other jobs."},
	{JobUnknown, "job", "It is not known whether the only attempt of a job ended, and the job is not run again."},
	{JobCancelled, "job", "A cancelled job's end was committed."},
	{JobLateAttempt, "job", "The end of an attempt other than the job's latest was ignored."},
	{JobLapsed, "job", "The lease of an attempt lapsed, or its worker no longer knew it."},
	{JobLeaving, "job", "A task was ordered to save its progress and leave its worker."},
	{WorkerSuspected, "job", "A worker failed different jobs that run on other workers; it gets only probes."},
	{WorkerCleared, "job", "A suspected worker completed a probe."},
	{JobDutyTaken, "job", "An entry host fenced a pool's jobs and rebuilt their state."},
	{JobDutyLost, "job", "An entry host stopped deciding about a pool's jobs."},
	{JobCommitFailed, "job", "A commit of job rows failed and will be retried."},
	{JobRowUnreadable, "job", "A row of the job subsystem could not be decoded and was skipped."},
}
