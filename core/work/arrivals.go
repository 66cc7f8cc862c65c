package work

import (
	"math"
	"time"
)

const (
	// bucketDuration is the resolution at which arriving jobs are counted.
	bucketDuration = 100 * time.Millisecond
	// shortWindowBuckets and longWindowBuckets are the lengths of the windows in which the rate is measured. The
	// short window shows the beginning of a demand peak sooner; the long one is less affected by single jobs.
	shortWindowBuckets = 5
	longWindowBuckets  = 10
	// bucketCount covers two consecutive long windows and the current bucket, which is not complete yet.
	bucketCount = 2*longWindowBuckets + 1
	// minJobs is the number of jobs that the short window must contain to be used. With fewer, random variation
	// multiplies the rate.
	minJobs = 3
	// discountedDeviations is the number of standard deviations of the count by which a measured rise is
	// reduced.
	discountedDeviations = 1.0
	// longWindowPart is the fraction of that reduction that the rise in the long window must exceed before the
	// short window is used.
	longWindowPart = 0.5
	// maxMeanWeight limits the weight of past jobs in the mean work of a job.
	maxMeanWeight = 50
	// hostOrderLatency is the time from the demand for a host to its first task, apart from the move of the
	// host: the demand and the plan are stored, and the host's worker is listed in the directory and answers.
	hostOrderLatency = 500 * time.Millisecond
)

// arrivalStats counts the arriving jobs of one queue to forecast their rate. Demand has peaks that rise within a
// few seconds to many times the previous rate, while a host takes more than a second to arrive. The zero value
// has no samples.
type arrivalStats struct {
	counts        [bucketCount]float64
	currentBucket int64
	// jobs is the number of counted jobs, at most maxMeanWeight; meanWork is their mean work in core-seconds.
	jobs, meanWork float64
	// rising is set if the last forecast found the rate to be rising.
	rising bool
}

// advance clears the buckets up to the current time.
func (a *arrivalStats) advance(now time.Time) {
	tick := now.UnixMilli() / bucketDuration.Milliseconds()
	a.currentBucket = max(a.currentBucket, tick-bucketCount)
	for a.currentBucket < tick {
		a.currentBucket++
		a.counts[a.currentBucket%bucketCount] = 0
	}
}

// add counts a job with its work in core-seconds.
func (a *arrivalStats) add(work float64, now time.Time) {
	a.advance(now)
	a.counts[a.currentBucket%bucketCount]++
	a.jobs = math.Min(a.jobs+1, maxMeanWeight)
	a.meanWork += (work - a.meanWork) / a.jobs
}

// count returns the number of jobs in a range of buckets that starts from buckets ago and extends into the past.
// Bucket zero is the current one.
func (a *arrivalStats) count(from, buckets int64) float64 {
	sum := 0.0
	for i := from; i < from+buckets; i++ {
		sum += a.counts[(a.currentBucket-i+bucketCount)%bucketCount]
	}
	return sum
}

// forecast returns the work, in core-seconds per second, that is expected to arrive after this time: the current
// rate, or more if the rate is rising.
func (a *arrivalStats) forecast(after time.Duration, now time.Time) float64 {
	a.advance(now)
	present := time.Duration(now.UnixMilli()%bucketDuration.Milliseconds()) * time.Millisecond
	rate, rises := a.extrapolate(longWindowBuckets, present, after)
	if rises && a.count(0, shortWindowBuckets+1) >= minJobs {
		var short float64
		short, rises = a.extrapolate(shortWindowBuckets, present, after)
		rate = math.Max(rate, short)
	}
	a.rising = rises
	return a.meanWork * rate
}

// extrapolate continues the rise from one window to the next and reports whether the rate is rising. A rise is
// reduced by what random variation explains, and a fall is not continued.
func (a *arrivalStats) extrapolate(window int64, present, after time.Duration) (float64, bool) {
	length := time.Duration(window) * bucketDuration
	recent := a.count(0, window+1)
	previous := a.count(window+1, window)
	rate := recent / (length + present).Seconds()
	rise := rate - previous/length.Seconds()
	variation := discountedDeviations * math.Sqrt(recent+previous) / length.Seconds()
	if rise <= variation {
		return rate, rise > longWindowPart*variation
	}
	ahead := after + (length+present)/2
	return rate + (rise-variation)/(length+present/2).Seconds()*ahead.Seconds(), true
}
