package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/io/timeline"
)

func TestWriteHTML(t *testing.T) {
	first := &timeline.Recorder{Process: "entry-1"}
	second := &timeline.Recorder{Process: "entry-2"}
	cause := first.Record(event.Event{Number: event.DutyReleased, Pool: "org/a"})
	second.Record(event.Event{Number: event.DutyTaken, Pool: "org/a", Cause: cause, Detail: "<script>alert(1)</script>"})

	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(timeline.WriteHTML(&out, timeline.Merge(first.Events(), second.Events())))
	page := out.String()
	is.Equal(strings.Count(page, "<th>entry-"), 2)            // a lane for each process
	is.True(strings.Contains(page, `data-cause="entry-1-1"`)) // an event refers to its cause
	is.True(!strings.Contains(page, "<script>alert"))         // details are escaped
	is.True(!strings.Contains(page, "http://"))               // nothing is fetched from elsewhere
	is.True(!strings.Contains(page, "https://"))              // nothing is fetched from elsewhere
	is.True(strings.Index(page, "duty-released") < strings.Index(page, "duty-taken"))
}

func TestWriteHTMLOfNothing(t *testing.T) {
	is := is.New(t)
	is.NoErr(timeline.WriteHTML(&bytes.Buffer{}, nil))
}
