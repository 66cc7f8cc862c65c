package work

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// peakRate, baseRate and peakDuration describe the load of a queue with short peaks: the rate of jobs per
	// second at the height of a peak and between peaks, and the length of a peak.
	peakRate     = 56.0
	baseRate     = 0.6
	peakDuration = 9 * time.Second
	workPerJob   = 20.0
	horizon      = 2 * time.Second
)

var arrivalsStart = time.Unix(1_700_000_000, 0)

// evenArrivals counts jobs that arrive evenly at a rate, in jobs per second, that depends on the time since the
// start.
func evenArrivals(rate func(time.Duration) float64, until time.Duration) (*arrivalStats, time.Time) {
	a := &arrivalStats{}
	const tick = 5 * time.Millisecond
	due := 0.0
	for t := time.Duration(0); t < until; t += tick {
		for due += rate(t) * tick.Seconds(); due >= 1; due-- {
			a.add(workPerJob, arrivalsStart.Add(t))
		}
	}
	return a, arrivalsStart.Add(until)
}

func peakJobRate(t time.Duration) float64 {
	if t < 0 || t > peakDuration {
		return baseRate
	}
	return baseRate + peakRate*math.Sin(math.Pi*t.Seconds()/peakDuration.Seconds())
}

func TestArrivals(t *testing.T) {
	const calm = 3 * time.Second
	delayedPeak := func(d time.Duration) float64 { return peakJobRate(d - calm) }
	// Demand has peaks: the rate of a nearly idle queue rises within four seconds to many times its value.
	t.Run("rise at the beginning of a peak is forecast beyond the arrival of a host", func(t *testing.T) {
		is := is.New(t)
		a, now := evenArrivals(delayedPeak, calm+time.Second)
		then := workPerJob * peakJobRate(time.Second+horizon)
		is.True(a.forecast(horizon, now) > 0.6*then)
		is.True(a.forecast(horizon, now) < 1.6*then)
	})
	t.Run("forecast exceeds the current rate half a second into a peak", func(t *testing.T) {
		is := is.New(t)
		a, now := evenArrivals(delayedPeak, calm+500*time.Millisecond)
		is.True(a.forecast(horizon, now) > 1.5*workPerJob*peakJobRate(500*time.Millisecond))
	})
	t.Run("no rise is forecast at the end of a peak", func(t *testing.T) {
		is := is.New(t)
		a, now := evenArrivals(delayedPeak, calm+7*time.Second)
		is.True(a.forecast(horizon, now) < 1.3*workPerJob*peakJobRate(6500*time.Millisecond))
	})
	t.Run("steady demand is forecast to stay the same", func(t *testing.T) {
		is := is.New(t)
		a, now := evenArrivals(func(time.Duration) float64 { return 20 }, calm)
		is.True(math.Abs(a.forecast(horizon, now)-20*workPerJob) < 0.2*20*workPerJob)
	})
	// Jobs arrive randomly at 20 per second for a minute, so one of two consecutive half seconds often has twice
	// as many jobs as the other. The pool then requested hosts for four times its jobs and held them for
	// seconds.
	t.Run("random variation at the height of a peak is seldom forecast as a rise", func(t *testing.T) {
		is := is.New(t)
		const rate, samples = 20.0, 600
		chance := rand.New(rand.NewPCG(1, 2))
		a := &arrivalStats{}
		due, sum, doubled := arrivalsStart, 0.0, 0
		for i := range samples {
			now := arrivalsStart.Add(calm + time.Duration(i)*100*time.Millisecond)
			for ; due.Before(now); due = due.Add(time.Duration(chance.ExpFloat64() / rate * float64(time.Second))) {
				a.add(workPerJob, due)
			}
			ratio := a.forecast(horizon, now) / (rate * workPerJob)
			sum += ratio
			if ratio > 2 {
				doubled++
			}
		}
		is.True(sum/samples < 1.15)
		is.True(doubled < samples*6/100)
	})
	t.Run("single job is not a rise", func(t *testing.T) {
		is := is.New(t)
		a := &arrivalStats{}
		a.add(workPerJob, arrivalsStart)
		now := arrivalsStart.Add(50 * time.Millisecond)
		is.True(a.forecast(horizon, now) <= 2*workPerJob)
		is.Equal(a.forecast(horizon, now.Add(3*time.Second)), 0.0)
	})
}
