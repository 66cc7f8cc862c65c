package work_test

import (
	"fmt"
	"testing"

	"siskincross/core/work"
)

// TestEndsBeyondFirstReport guards against a second run of a task whose end a worker has listed to an earlier holder, and lists to the
// next one only in its second report: a report has at most EndsPerReport ends.
func TestEndsBeyondFirstReport(t *testing.T) {
	f := withBoard(t)
	f.board.Expect(life("a"), f.now)
	f.board.Add(chain("j", 1), work.Progress{}, 5, true, f.now)
	f.hear("b", work.Report{})
	first := make([]work.End, work.EndsPerReport)
	for i := range first {
		first[i] = work.End{Number: uint64(i + 1), Run: run(work.ID(fmt.Sprint("other", i)), 0, 0, 1), How: work.HowDone}
	}
	f.hear("a", work.Report{Ends: first})
	f.assertNoStart(f.orders())
	f.hear("a", work.Report{Ends: []work.End{{Number: work.EndsPerReport + 1, Run: run("j", 0, 0, 1), How: work.HowDone}}})
	f.assertNoStart(f.orders())
}
