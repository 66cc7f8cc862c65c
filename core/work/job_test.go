package work_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// TestCheck guards against jobs with numbers that overflow, take up unlimited memory or add capacity that does
// not exist.
func TestCheck(t *testing.T) {
	t.Run("usual job", func(t *testing.T) { is.New(t).NoErr(chainJob("j", 3, 4).Validate()) })
	for field, change := range map[string]func(*work.Job){
		"step 0: tasks":          func(j *work.Job) { j.Steps[0].TaskCount, j.Steps[1].TaskCount = math.MaxInt, math.MaxInt },
		"10001 tasks":            func(j *work.Job) { j.Steps[0].TaskCount = 9997 },
		"step 0: milli-cores":    func(j *work.Job) { j.Steps[0].Demand.MilliCores = -1 },
		"step 1: memory in MB":   func(j *work.Job) { j.Steps[1].Demand.MemoryMB = math.MinInt },
		"step 0: accelerators":   func(j *work.Job) { j.Steps[0].Demand.Accelerators = math.MaxInt },
		"step 0: estimate":       func(j *work.Job) { j.Steps[0].Estimate = -time.Second },
		"step 1: estimate":       func(j *work.Job) { j.Steps[1].Estimate = math.MaxInt64 },
		"step 0: spread limit":   func(j *work.Job) { j.Steps[0].SpreadLimit = -1 },
		"step 0: tail target":    func(j *work.Job) { j.Steps[0].TailLatencyTarget = math.MinInt64 },
		"step 0: tolerated loss": func(j *work.Job) { j.Steps[0].MaxUnavailable = -1 },
		"occurrences":            func(j *work.Job) { j.Repeat = work.Repeat{Count: math.MaxInt, Period: time.Second} },
		"10001 occurrences":      func(j *work.Job) { j.Repeat = work.Repeat{Count: 10_001, Period: time.Second} },
		"period":                 func(j *work.Job) { j.Repeat = work.Repeat{Count: 2, Period: -time.Second} },
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			j := chainJob("j", 3, 4)
			change(&j)
			var invalid work.ErrInvalid
			is.True(errors.As(j.Validate(), &invalid))
			t.Log(invalid)
			is.True(strings.Contains(invalid.Reason, field))
		})
	}
}
