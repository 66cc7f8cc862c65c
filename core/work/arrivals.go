package work

import (
	"math"
	"time"
)

const (
	// rateBucket is the unit of the windows over which arriving jobs are counted.
	rateBucket = 100 * time.Millisecond
	// shortWindow shows the beginning of a turn of demand first, longWindow is less moved by single jobs; both in buckets.
	shortWindow = 5
	longWindow  = 10
	// rateBuckets are those of two windows that follow each other, and the present one, which is not full yet.
	rateBuckets = 2*longWindow + 1
	// fewJobs is how many jobs the short window must hold to be believed: with fewer, chance multiplies the rate.
	fewJobs = 3
	// doubtedDeviations is by how many standard deviations of a count a rise is taken as smaller than it looks.
	doubtedDeviations = 1.0
	// shownPart is the part of doubtedDeviations by which the long window must show a rise for that of the short one to be believed.
	shownPart = 0.5
	// meanJobs bounds the weight of the past in the mean work of a job.
	meanJobs = 50
	// orderTime is what passes beside the move itself from the need of a host to its first task: the need and the plan are
	// stored, the host's worker appears in the directory and answers.
	orderTime = 500 * time.Millisecond
)

// arrivals counts the jobs of one queue, to tell how fast their number grows. Demand comes by turns that rise within a few
// seconds to many times the rate before, while a host takes longer than a second to come. The zero value has seen none.
type arrivals struct {
	counts [rateBuckets]float64
	at     int64
	// jobs counts the jobs seen, up to meanJobs; mean is the mean work of one, in core-seconds.
	jobs, mean float64
}

// roll empties the buckets that have passed.
func (a *arrivals) roll(now time.Time) {
	tick := now.UnixMilli() / rateBucket.Milliseconds()
	a.at = max(a.at, tick-rateBuckets)
	for a.at < tick {
		a.at++
		a.counts[a.at%rateBuckets] = 0
	}
}

// add counts a job with its work in core-seconds.
func (a *arrivals) add(work float64, now time.Time) {
	a.roll(now)
	a.counts[a.at%rateBuckets]++
	a.jobs = math.Min(a.jobs+1, meanJobs)
	a.mean += (work - a.mean) / a.jobs
}

// count returns the number of jobs in buckets from a number of buckets ago, the present one being zero.
func (a *arrivals) count(from, buckets int64) float64 {
	sum := 0.0
	for i := from; i < from+buckets; i++ {
		sum += a.counts[(a.at-i+rateBuckets)%rateBuckets]
	}
	return sum
}

// foreseen is the work, in core-seconds a second, that is expected to arrive after a while: the rate of now, or
// more if it has been rising.
func (a *arrivals) foreseen(after time.Duration, now time.Time) float64 {
	a.roll(now)
	present := time.Duration(now.UnixMilli()%rateBucket.Milliseconds()) * time.Millisecond
	rate, rises := a.extend(longWindow, present, after)
	if rises && a.count(0, shortWindow+1) >= fewJobs {
		short, _ := a.extend(shortWindow, present, after)
		rate = math.Max(rate, short)
	}
	return a.mean * rate
}

// extend continues the rise between two windows in a row and reports whether there is one. Rises that chance explains count less, falls
// not at all.
func (a *arrivals) extend(window int64, present, after time.Duration) (float64, bool) {
	length := time.Duration(window) * rateBucket
	last := a.count(0, window+1)
	before := a.count(window+1, window)
	rate := last / (length + present).Seconds()
	rise := rate - before/length.Seconds()
	doubt := doubtedDeviations * math.Sqrt(last+before) / length.Seconds()
	if rise <= doubt {
		return rate, rise > shownPart*doubt
	}
	ahead := after + (length+present)/2
	return rate + (rise-doubt)/(length+present/2).Seconds()*ahead.Seconds(), true
}
