package job

import (
	"sort"
	"time"

	"siskincross/core/host"
)

// maxLearntGroups bounds the groups of a Learnt.
const maxLearntGroups = 128

// Learnt is what a scheduler has learnt and the rows of jobs don't tell. It
// outlives a takeover, so that a bad worker is not tried anew.
type Learnt struct {
	Groups  []LearntGroup  `json:"groups,omitempty"`
	Workers []LearntWorker `json:"workers,omitempty"`
}

// LearntGroup is the usage of a group of jobs.
type LearntGroup struct {
	Name           string  `json:"name"`
	Tasks          int     `json:"tasks"`
	CoresMean      float64 `json:"cores-mean"`
	CoresVariance  float64 `json:"cores-variance"`
	MemoryMean     float64 `json:"memory-mean"`
	MemoryVariance float64 `json:"memory-variance"`
	MemoryPeak     float64 `json:"memory-peak"`
}

// LearntWorker is the evidence against a worker.
type LearntWorker struct {
	Host      host.ID         `json:"host"`
	Suspected bool            `json:"suspected,omitempty"`
	Probes    int             `json:"probes,omitempty"`
	Failures  []LearntFailure `json:"failures"`
}

// LearntFailure is one failed task of a worker.
type LearntFailure struct {
	Job        ID            `json:"job"`
	Group      string        `json:"group"`
	Age        time.Duration `json:"age"`
	Convicted  bool          `json:"convicted,omitempty"`
	Doubted    bool          `json:"doubted,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty"`
}

// Learnt returns what was learnt so far: the groups learnt last, and all evidence.
func (s *Scheduler) Learnt() Learnt {
	var l Learnt
	for _, name := range s.usage.newest(maxLearntGroups) {
		g := s.usage.groups[name]
		l.Groups = append(l.Groups, LearntGroup{
			Name: name, Tasks: g.tasks, CoresMean: g.cores.mean, CoresVariance: g.cores.variance,
			MemoryMean: g.memory.mean, MemoryVariance: g.memory.variance, MemoryPeak: g.peak,
		})
	}
	for _, w := range s.order {
		if len(w.record.evidence) == 0 {
			continue
		}
		saved := LearntWorker{Host: w.id, Suspected: w.record.suspected, Probes: w.record.probes}
		for _, e := range w.record.evidence {
			saved.Failures = append(saved.Failures, LearntFailure{
				Job: e.job, Group: e.group, Age: e.age, Convicted: e.convicted, Doubted: e.doubted, Repeatable: e.repeatable,
			})
		}
		l.Workers = append(l.Workers, saved)
	}
	return l
}

// newest returns the names of up to limit groups, those learnt last first.
func (u *Usage) newest(limit int) []string {
	names := make([]string, 0, len(u.groups))
	for name := range u.groups {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return u.groups[names[i]].last > u.groups[names[j]].last })
	return names[:min(limit, len(names))]
}

// Restore takes in what an earlier scheduler of the pool had learnt.
func (s *Scheduler) Restore(l Learnt, now time.Time) {
	s.init()
	s.usage = Usage{groups: make(map[string]*groupUsage)}
	for i, g := range l.Groups {
		s.usage.groups[g.Name] = &groupUsage{
			tasks: g.Tasks, peak: g.MemoryPeak, last: uint64(len(l.Groups) - i),
			cores:  moments{mean: g.CoresMean, variance: g.CoresVariance},
			memory: moments{mean: g.MemoryMean, variance: g.MemoryVariance},
		}
	}
	s.usage.observed = uint64(len(l.Groups))
	for _, saved := range l.Workers {
		s.suspicion.restore(s.worker(saved.Host, now), saved, now)
	}
}

func (s *suspicion) restore(w *worker, saved LearntWorker, now time.Time) {
	if s.failed == nil {
		s.failed = make(map[ID][]*worker)
	}
	w.listed = now
	w.record.suspected, w.record.probes = saved.Suspected, saved.Probes
	w.record.nextProbe = now.Add(s.probeWait(w))
	for _, f := range saved.Failures {
		w.record.evidence = append(w.record.evidence, evidence{
			job: f.Job, group: f.Group, at: now, age: f.Age, convicted: f.Convicted, doubted: f.Doubted, repeatable: f.Repeatable,
		})
		s.failed[f.Job] = append(s.failed[f.Job], w)
	}
}
