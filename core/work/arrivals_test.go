package work

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// turnPeak, turnBase and turnTime are those of a queue of quotes: jobs a second at the height of its turn and between turns.
	turnPeak = 56.0
	turnBase = 0.6
	turnTime = 9 * time.Second
	jobWork  = 20.0
	ahead    = 2 * time.Second
)

var arrivalsStart = time.Unix(1_700_000_000, 0)

// withArrivals counts jobs that come evenly at a rate, in jobs a second, that changes with the time since the start.
func withArrivals(rate func(time.Duration) float64, until time.Duration) (*arrivals, time.Time) {
	a := &arrivals{}
	const tick = 5 * time.Millisecond
	due := 0.0
	for t := time.Duration(0); t < until; t += tick {
		for due += rate(t) * tick.Seconds(); due >= 1; due-- {
			a.add(jobWork, arrivalsStart.Add(t))
		}
	}
	return a, arrivalsStart.Add(until)
}

func turn(t time.Duration) float64 {
	if t < 0 || t > turnTime {
		return turnBase
	}
	return turnBase + turnPeak*math.Sin(math.Pi*t.Seconds()/turnTime.Seconds())
}

func TestArrivals(t *testing.T) {
	const calm = 3 * time.Second
	lateTurn := func(d time.Duration) float64 { return turn(d - calm) }
	// Demand comes by turns: a queue that was nearly idle rises within four seconds to many times its rate.
	t.Run("beginning of a turn is foreseen while a host is on its way", func(t *testing.T) {
		is := is.New(t)
		a, now := withArrivals(lateTurn, calm+time.Second)
		then := jobWork * turn(time.Second+ahead)
		is.True(a.foreseen(ahead, now) > 0.6*then)
		is.True(a.foreseen(ahead, now) < 1.6*then)
	})
	t.Run("half a second into a turn more than now's rate is foreseen", func(t *testing.T) {
		is := is.New(t)
		a, now := withArrivals(lateTurn, calm+500*time.Millisecond)
		is.True(a.foreseen(ahead, now) > 1.5*jobWork*turn(500*time.Millisecond))
	})
	t.Run("end of a turn is not foreseen to be a rise", func(t *testing.T) {
		is := is.New(t)
		a, now := withArrivals(lateTurn, calm+7*time.Second)
		is.True(a.foreseen(ahead, now) < 1.3*jobWork*turn(6500*time.Millisecond))
	})
	t.Run("steady demand is foreseen to stay", func(t *testing.T) {
		is := is.New(t)
		a, now := withArrivals(func(time.Duration) float64 { return 20 }, calm)
		is.True(math.Abs(a.foreseen(ahead, now)-20*jobWork) < 0.2*20*jobWork)
	})
	// Twenty jobs a second come by chance for a minute: of two half seconds in a row one often has twice as many as the other. The pool took
	// hosts for four times its jobs, and held them for seconds.
	t.Run("chance at the height of a turn is seldom foreseen to be a rise", func(t *testing.T) {
		is := is.New(t)
		const rate, samples = 20.0, 600
		chance := rand.New(rand.NewPCG(1, 2))
		a := &arrivals{}
		due, sum, doubled := arrivalsStart, 0.0, 0
		for i := range samples {
			now := arrivalsStart.Add(calm + time.Duration(i)*100*time.Millisecond)
			for ; due.Before(now); due = due.Add(time.Duration(chance.ExpFloat64() / rate * float64(time.Second))) {
				a.add(jobWork, due)
			}
			ratio := a.foreseen(ahead, now) / (rate * jobWork)
			sum += ratio
			if ratio > 2 {
				doubled++
			}
		}
		is.True(sum/samples < 1.15)
		is.True(doubled < samples*6/100)
	})
	t.Run("single job is no rise", func(t *testing.T) {
		is := is.New(t)
		a := &arrivals{}
		a.add(jobWork, arrivalsStart)
		now := arrivalsStart.Add(50 * time.Millisecond)
		is.True(a.foreseen(ahead, now) <= 2*jobWork)
		is.Equal(a.foreseen(ahead, now.Add(3*time.Second)), 0.0)
	})
}
