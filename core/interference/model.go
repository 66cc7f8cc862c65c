// Package interference learns which kinds of tasks slow each other down on one worker: it compares like tasks that ran
// beside another kind with those that did not.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind names tasks that behave alike.
type Kind string

// Run is one of several like runs that are compared.
type Run struct {
	Worker string
	// Amount is what the run took: its duration or its tail latency, in a unit that is the same for all of them.
	Amount float64
	// Beside holds the kinds that ran on the worker for at least half of the run's time, without duplicates.
	Beside []Kind
}

// Pair is a kind that is slowed down and the kind beside it that slows it down.
type Pair struct{ Slowed, Neighbour Kind }

// Verdict is a change of what is held of a pair.
type Verdict struct {
	Pair
	// Harmful is true if the pair is to be kept apart from now on.
	Harmful bool
	// Factor is the ratio of the durations beside the neighbour and without it.
	Factor float64
	// With and Without are the weights of the observations beside the neighbour and without it, in observations.
	With, Without float64
}

const (
	// halfLife is the age at which an observation has half of its weight: the amounts change within seconds.
	halfLife = 8 * time.Second
	// minWeight is the weight of observations on each side from which a verdict is reached. keepWeight is the one
	// beside the neighbour below which a verdict is dropped, so that the pair is tried again.
	minWeight, keepWeight = 24, 2
	// minWorkers is the number of workers on each side that a verdict needs. A slow worker is one of them at most, and
	// sides are compared by the medians of their workers.
	minWorkers = 6
	// harmfulFactor is the factor from which a pair is kept apart, and harmlessFactor the one below which it no longer is.
	harmfulFactor, harmlessFactor = 1.25, 1.12
	// minCertainty is the difference of the two sides in standard errors from which a pair is kept apart.
	minCertainty = 5
	// maxDeviation bounds the logarithm of the ratio of one run to the others, so that a single run that hung does not
	// decide.
	maxDeviation = 1.5
	// minAmount replaces amounts that are zero.
	minAmount = 1e-3
)

// Bounds of the state. Kinds and pairs beyond them are not learnt until others have faded.
const (
	maxKinds          = 64
	maxPairs          = 256
	maxWorkersPerSide = 16
)

// Model holds the estimates of one pool. The zero value knows nothing. It is not safe for concurrent use.
type Model struct {
	// OnVerdict is called for each change of a verdict. It may be nil.
	OnVerdict func(Verdict)

	pairs map[Pair]*estimate
	// kinds holds when each kind was last observed.
	kinds map[Kind]time.Time
	// neighbours holds the tracked neighbours of each kind.
	neighbours map[Kind][]Kind
	// apart holds the kinds that each kind is to be kept apart from.
	apart    map[Kind][]Kind
	forgotAt time.Time
}

// estimate compares the durations of a kind beside a neighbour and without it.
type estimate struct {
	with, without side
	harmful       bool
}

// side holds the observations of one side by worker.
type side struct {
	workers map[string]moments
	// seenAt is when the last observation was added.
	seenAt time.Time
}

// moments are the weight, mean and sum of squared deviations of logarithms of amounts, as of a time.
type moments struct {
	weight, mean, squares float64
	at                    time.Time
}

// faded returns the moments with the weight that they have now.
func (m moments) faded(now time.Time) moments {
	keep := math.Exp2(-now.Sub(m.at).Seconds() / halfLife.Seconds())
	return moments{m.weight * keep, m.mean, m.squares * keep, now}
}

func (m moments) with(value float64, now time.Time) moments {
	m = m.faded(now)
	m.weight++
	difference := value - m.mean
	m.mean += difference / m.weight
	m.squares += difference * (value - m.mean)
	return m
}

// Clear drops all verdicts and estimates.
func (m *Model) Clear() {
	for p, e := range m.pairs {
		if e.harmful {
			m.decide(e, Verdict{Pair: p})
		}
	}
	*m = Model{OnVerdict: m.OnVerdict}
}

// Compare adds like runs of one kind, such as the tasks of one step: what they took differs by their workers and neighbours
// alone. A neighbour that all of them had, or none, leaves no trace.
func (m *Model) Compare(kind Kind, runs []Run, now time.Time) {
	if len(runs) < 2 || !m.track(kind, now) {
		return
	}
	mean := 0.0
	for _, r := range runs {
		mean += logAmount(r) / float64(len(runs))
		for _, n := range r.Beside {
			m.trackPair(Pair{kind, n})
		}
	}
	for _, n := range m.neighbours[kind] {
		isBeside := func(r Run) bool { return slices.Contains(r.Beside, n) }
		if !slices.ContainsFunc(runs, isBeside) || !slices.ContainsFunc(runs, func(r Run) bool { return !isBeside(r) }) {
			continue
		}
		p := Pair{kind, n}
		e := m.pairs[p]
		for _, r := range runs {
			value := min(max(logAmount(r)-mean, -maxDeviation), maxDeviation)
			if isBeside(r) {
				e.with.add(r.Worker, value, now)
			} else {
				e.without.add(r.Worker, value, now)
			}
		}
		m.judge(p, e, now)
	}
}

// logAmount returns the logarithm of what a run took, which is never negative infinity.
func logAmount(r Run) float64 { return math.Log(max(r.Amount, minAmount)) }

// track records that a kind was seen. It returns false if there is no room for another kind.
func (m *Model) track(k Kind, now time.Time) bool {
	if m.kinds == nil {
		m.kinds, m.pairs, m.neighbours = make(map[Kind]time.Time), make(map[Pair]*estimate), make(map[Kind][]Kind)
	}
	if _, known := m.kinds[k]; !known && len(m.kinds) >= maxKinds {
		return false
	}
	m.kinds[k] = now
	return true
}

func (m *Model) trackPair(p Pair) {
	if m.pairs[p] != nil || len(m.pairs) >= maxPairs {
		return
	}
	m.pairs[p] = &estimate{}
	m.neighbours[p.Slowed] = append(m.neighbours[p.Slowed], p.Neighbour)
}

// add adds an observation. The worker that was seen longest ago makes room for a new one.
func (s *side) add(worker string, value float64, now time.Time) {
	if s.workers == nil {
		s.workers = make(map[string]moments)
	}
	if _, known := s.workers[worker]; !known && len(s.workers) >= maxWorkersPerSide {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.workers)), func(a, c string) int {
			return cmp.Or(s.workers[a].at.Compare(s.workers[c].at), cmp.Compare(a, c))
		})
		delete(s.workers, oldest)
	}
	s.workers[worker] = s.workers[worker].with(value, now)
	s.seenAt = now
}

// summary returns the weight of the side, the median of its workers' means, and the variance of that centre.
func (s *side) summary(now time.Time) (weight, centre, variance float64, workers int) {
	means := make([]float64, 0, len(s.workers))
	squares := 0.0
	for _, w := range s.workers {
		w = w.faded(now)
		weight += w.weight
		squares += w.squares
		means = append(means, w.mean)
	}
	if len(means) == 0 {
		return 0, 0, 0, 0
	}
	slices.Sort(means)
	centre = means[len(means)/2]
	if len(means)%2 == 0 {
		centre = (centre + means[len(means)/2-1]) / 2
	}
	spread := 0.0
	for _, mean := range means {
		spread += (mean - centre) * (mean - centre)
	}
	// The median of n values varies by about pi/2 times as much as their mean.
	variance = math.Pi / 2 * max(squares/weight/weight, spread/float64(len(means)*len(means)))
	return weight, centre, variance, len(means)
}

// judge reaches or drops the verdict of a pair.
func (m *Model) judge(p Pair, e *estimate, now time.Time) {
	with, centreWith, varianceWith, workersWith := e.with.summary(now)
	without, centreWithout, varianceWithout, workersWithout := e.without.summary(now)
	difference := centreWith - centreWithout
	v := Verdict{Pair: p, Factor: math.Exp(difference), With: with, Without: without}
	switch {
	case e.harmful && (v.Factor < harmlessFactor || with < keepWeight):
	case !e.harmful && min(with, without) >= minWeight && min(workersWith, workersWithout) >= minWorkers &&
		v.Factor >= harmfulFactor && difference >= minCertainty*math.Sqrt(varianceWith+varianceWithout):
		v.Harmful = true
	default:
		return
	}
	m.decide(e, v)
}

func (m *Model) decide(e *estimate, v Verdict) {
	e.harmful = v.Harmful
	m.apart = make(map[Kind][]Kind)
	for p, e := range m.pairs {
		if !e.harmful {
			continue
		}
		m.apart[p.Slowed] = append(m.apart[p.Slowed], p.Neighbour)
		if p.Neighbour != p.Slowed {
			m.apart[p.Neighbour] = append(m.apart[p.Neighbour], p.Slowed)
		}
	}
	if m.OnVerdict != nil {
		m.OnVerdict(v)
	}
}

// forgetInterval is the time between two looks for what has faded.
const forgetInterval = time.Second

// Forget drops the verdicts and estimates that have faded, at most once a second. It is to be called in every round,
// since a pair that is kept apart is no longer observed.
func (m *Model) Forget(now time.Time) {
	if now.Sub(m.forgotAt) < forgetInterval {
		return
	}
	m.forgotAt = now
	for p, e := range m.pairs {
		with, centreWith, _, _ := e.with.summary(now)
		without, centreWithout, _, _ := e.without.summary(now)
		if e.harmful && with < keepWeight {
			m.decide(e, Verdict{Pair: p, Factor: math.Exp(centreWith - centreWithout), With: with, Without: without})
		}
		if !e.harmful && now.Sub(e.with.seenAt) > forgetAfter {
			delete(m.pairs, p)
			m.neighbours[p.Slowed] = slices.DeleteFunc(m.neighbours[p.Slowed], func(n Kind) bool { return n == p.Neighbour })
		}
	}
	for k, seenAt := range m.kinds {
		if now.Sub(seenAt) > forgetAfter && len(m.neighbours[k]) == 0 {
			delete(m.kinds, k)
			delete(m.neighbours, k)
		}
	}
}

// forgetAfter is the time without observations after which a kind or a pair is dropped.
const forgetAfter = 8 * halfLife

// Apart returns the kinds that a kind is to be kept apart from, because one of the two slows the other down. A kind that slows
// down and is slowed down may be named twice.
func (m *Model) Apart(k Kind) []Kind { return m.apart[k] }

// Size returns the numbers of kinds and of pairs that the model holds.
func (m *Model) Size() (kinds, pairs int) { return len(m.kinds), len(m.pairs) }
