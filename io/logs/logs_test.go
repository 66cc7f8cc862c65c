package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/io/logs"
)

// assertLines logs three events, checks how many lines are written and returns them.
func assertLines(t *testing.T, l logs.Logger, want int) []byte {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	l.Writer = &out
	sink := l.Sink()
	sink(event.Event{Number: event.RequestAnswered, Request: "r1"})
	sink(event.Event{Number: event.DutyTaken, Pool: "org/p", Detail: "epoch 3"})
	sink(event.Event{Number: event.MemberLapsed})
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), want)
	return out.Bytes()
}

func TestSink(t *testing.T) {
	tests := []struct {
		name   string
		logger logs.Logger
		want   int
	}{
		{"zero value writes all", logs.Logger{}, 3},
		{"info omits requests", logs.Logger{Level: "info"}, 2},
		{"warn", logs.Logger{Level: "warn"}, 1},
		{"subsystem", logs.Logger{Subsystems: []string{"request"}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assertLines(t, tt.logger, tt.want) })
	}
	t.Run("fields", func(t *testing.T) {
		is := is.New(t)
		line := assertLines(t, logs.Logger{Level: "info", Subsystems: []string{"fleet"}}, 2)
		var got struct {
			Event         int
			Name, Pool    string
			Level         string
			Message, Host string
		}
		is.NoErr(json.Unmarshal(line[:bytes.IndexByte(line, '\n')], &got))
		is.Equal(got.Event, int(event.DutyTaken))
		is.Equal(got.Name, "duty-taken")
		is.Equal(got.Pool, "org/p")
		is.Equal(got.Message, "epoch 3")
	})
}
