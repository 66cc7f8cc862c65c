package logs_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/io/logs"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	out.WriteString("some other line\n   12.5 edge-1 ")
	logs.Logger{Writer: &out}.Sink()(event.Event{
		Number: event.WorkStarted, Process: "edge-1", ID: "edge-1-7", Pool: "p", Host: "h", Job: "j", Detail: "why",
	})
	out.WriteString("{\"unknown\":1}\n{half")
	events, err := logs.Read(&out)
	is.NoErr(err)
	is.Equal(len(events), 1)
	e := events[0]
	is.True(e.Time.WallMillis > 0)
	e.Time = event.Timestamp{}
	is.Equal(e, event.Event{
		Number: event.WorkStarted, Process: "edge-1", ID: "edge-1-7", Pool: "p", Host: "h", Job: "j", Detail: "why",
	})
}
