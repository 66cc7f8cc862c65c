package job

import (
	"sort"
	"time"

	"siskincross/core/host"
)

// maxLearntGroups bounds the groups of a LearntState.
const maxLearntGroups = 128

// LearntState is the learnt state of a scheduler that can't be rebuilt from the rows of jobs. It is stored,
// so that after a takeover a faulty worker doesn't receive new tasks again.
type LearntState struct {
	Groups  []LearntGroup  `json:"groups,omitempty"`
	Workers []LearntWorker `json:"workers,omitempty"`
}

// LearntGroup is the learnt resource usage of a group of jobs.
type LearntGroup struct {
	Name           string  `json:"name"`
	Tasks          int     `json:"tasks"`
	CoresMean      float64 `json:"cores-mean"`
	CoresVariance  float64 `json:"cores-variance"`
	MemoryMean     float64 `json:"memory-mean"`
	MemoryVariance float64 `json:"memory-variance"`
	MemoryPeak     float64 `json:"memory-peak"`
}

// LearntWorker holds the task failures of a worker.
type LearntWorker struct {
	Host      host.ID         `json:"host"`
	Suspected bool            `json:"suspected,omitempty"`
	Probes    int             `json:"probes,omitempty"`
	Failures  []LearntFailure `json:"failures"`
}

// LearntFailure is a failed task of a worker.
type LearntFailure struct {
	Job              ID            `json:"job"`
	Group            string        `json:"group"`
	RunTime          time.Duration `json:"age"`
	WorkerAtFault    bool          `json:"convicted,omitempty"`
	JobLikelyAtFault bool          `json:"doubted,omitempty"`
	Repeatable       bool          `json:"repeatable,omitempty"`
}

// LearntState returns the usage of the most recently observed groups and all recorded failures of workers.
func (s *Scheduler) LearntState() LearntState {
	var l LearntState
	for _, name := range s.usage.newestGroups(maxLearntGroups) {
		g := s.usage.groups[name]
		l.Groups = append(l.Groups, LearntGroup{
			Name: name, Tasks: g.tasks, CoresMean: g.cores.mean, CoresVariance: g.cores.variance,
			MemoryMean: g.memory.mean, MemoryVariance: g.memory.variance, MemoryPeak: g.peak,
		})
	}
	for _, w := range s.sortedWorkers {
		if len(w.health.taskFailures) == 0 {
			continue
		}
		saved := LearntWorker{Host: w.id, Suspected: w.health.suspected, Probes: w.health.probes}
		for _, e := range w.health.taskFailures {
			saved.Failures = append(saved.Failures, LearntFailure{
				Job: e.job, Group: e.group, RunTime: e.runTime, WorkerAtFault: e.workerAtFault, JobLikelyAtFault: e.jobLikelyAtFault, Repeatable: e.repeatable,
			})
		}
		l.Workers = append(l.Workers, saved)
	}
	return l
}

// newestGroups returns the names of up to limit groups, the most recently observed first.
func (u *Usage) newestGroups(limit int) []string {
	names := make([]string, 0, len(u.groups))
	for name := range u.groups {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return u.groups[names[i]].lastObserved > u.groups[names[j]].lastObserved })
	return names[:min(limit, len(names))]
}

// RestoreLearntState restores the learnt state of an earlier scheduler of the pool.
func (s *Scheduler) RestoreLearntState(l LearntState, now time.Time) {
	s.init()
	s.usage = Usage{groups: make(map[string]*groupUsage)}
	for i, g := range l.Groups {
		s.usage.groups[g.Name] = &groupUsage{
			tasks: g.Tasks, peak: g.MemoryPeak, lastObserved: uint64(len(l.Groups) - i),
			cores:  moments{mean: g.CoresMean, variance: g.CoresVariance},
			memory: moments{mean: g.MemoryMean, variance: g.MemoryVariance},
		}
	}
	s.usage.observedTasks = uint64(len(l.Groups))
	for _, saved := range l.Workers {
		s.faults.restoreWorker(s.ensureWorker(saved.Host, now), saved, now)
	}
}

func (s *faultTracker) restoreWorker(w *worker, saved LearntWorker, now time.Time) {
	if s.failedWorkers == nil {
		s.failedWorkers = make(map[ID][]*worker)
	}
	w.lastListed = now
	w.health.suspected, w.health.probes = saved.Suspected, saved.Probes
	w.health.nextProbe = now.Add(s.probeDelay(w))
	for _, f := range saved.Failures {
		w.health.taskFailures = append(w.health.taskFailures, taskFailure{
			job: f.Job, group: f.Group, at: now, runTime: f.RunTime, workerAtFault: f.WorkerAtFault, jobLikelyAtFault: f.JobLikelyAtFault, repeatable: f.Repeatable,
		})
		s.failedWorkers[f.Job] = append(s.failedWorkers[f.Job], w)
	}
}
