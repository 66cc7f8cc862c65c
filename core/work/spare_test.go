package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// spareWorkers returns the workers that a pool offers once they have been spare for some time. Its workers "w00" to "w04" have four
// cores; some have a label or accelerators.
func spareWorkers(t *testing.T, jobs ...work.Job) []string {
	f := newFixture(t)
	var list []work.WorkerInfo
	for _, id := range []string{"w00", "w01", "w02", "w03", "w04"} {
		info := workerInfo(id)
		switch id {
		case "w00":
			info.Labels = []string{"b"}
		case "w01", "w02":
			info.Labels = []string{"c"}
			info.Capacity.Accelerators = 1
		}
		list = append(list, info)
	}
	f.scheduler.UpdateWorkers(list, f.now)
	for _, info := range list {
		f.answerRenewal(info.Incarnation.Worker, work.Report{})
	}
	for _, j := range jobs {
		f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now)
	}
	f.scheduler.CapacityDemand(f.now)
	f.now = f.now.Add(time.Second)
	demand := f.scheduler.CapacityDemand(f.now)
	f.is.Equal(demand.SpareCount, len(demand.SpareWorkers))
	return demand.SpareWorkers
}

// TestSpareWorkersOfRareKinds guards against tasks that wait because the only workers that they can run on are offered to other pools.
func TestSpareWorkersOfRareKinds(t *testing.T) {
	// labelled returns a job of one task that requires a label in its last step.
	labelled := func(label string, steps int) work.Job {
		j := chainJob("j", make([]int, steps)...)
		for i := range j.Steps {
			j.Steps[i].TaskCount = 1
		}
		j.Steps[steps-1].RequiredLabel = label
		return j
	}
	scheduled := labelled("b", 1)
	scheduled.Repeat = work.Repeat{Count: 20, First: start.Add(time.Hour), Period: time.Second}
	lasting := newLongRunningJob("lasting", 5)
	lasting.Steps[0].RequiredLabel = "c"
	accelerated := chainJob("k", 1)
	accelerated.Steps[0].Demand.Accelerators = 1
	for _, c := range []struct {
		name string
		jobs []work.Job
		want []string
	}{
		{"no job requires a kind", nil, []string{"w00", "w01"}},
		{"the only worker with the label is kept", []work.Job{labelled("b", 1)}, []string{"w01", "w02"}},
		{"kept for a later step", []work.Job{labelled("b", 3)}, []string{"w01", "w02"}},
		{"kept for the next occurrence", []work.Job{scheduled}, []string{"w01", "w02"}},
		{"one of two is enough for a small task", []work.Job{labelled("c", 1)}, []string{"w00", "w01"}},
		{"both are needed for five tasks of a core", []work.Job{lasting}, []string{"w00", "w03"}},
		{"accelerators", []work.Job{accelerated}, []string{"w00", "w01"}},
		{"label and accelerators", []work.Job{labelled("b", 1), accelerated}, []string{"w01", "w03"}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(spareWorkers(t, c.jobs...), c.want) })
	}
}
