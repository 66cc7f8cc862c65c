package chart_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/chart"
)

const doorChart = `
name = "door"
initial = "closed"
final = ["gone"]

[[transition]]
on = "open"
from = ["closed"]
to = "opened"
meaning = "Somebody opened the door."

[[transition]]
on = "remove"
from = ["closed", "opened"]
to = "gone"
meaning = "The door was taken away."
`

func TestNext(t *testing.T) {
	door := chart.MustParse(doorChart)
	tests := []struct {
		name  string
		state chart.State
		event chart.Event
		want  chart.State
	}{
		{"handled", "closed", "open", "opened"},
		{"several sources", "opened", "remove", "gone"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := door.Next(tt.state, tt.event)
			is.NoErr(err)
			is.Equal(got, tt.want)
		})
	}
	t.Run("refused by name", func(t *testing.T) {
		is := is.New(t)
		_, err := door.Next("opened", "open")
		is.True(errors.Is(err, chart.ErrRefused{Chart: "door", State: "opened", Event: "open"}))
	})
}

func TestParseRefuses(t *testing.T) {
	tests := []struct{ name, text string }{
		{"unreachable state", doorChart + "\n[[transition]]\non = \"x\"\nfrom = [\"lost\"]\nto = \"gone\"\n"},
		{"event handled twice", doorChart + "\n[[transition]]\non = \"open\"\nfrom = [\"closed\"]\nto = \"gone\"\n"},
		{"unknown key", doorChart + "\n[[transition]]\nwhen = \"open\"\n"},
		{"state that is neither final nor left", doorChart + "\n[[transition]]\non = \"jam\"\nfrom = [\"closed\"]\nto = \"jammed\"\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Parse(tt.text)
			var invalid chart.ErrInvalid
			is.True(errors.As(err, &invalid))
		})
	}
}

func TestMarkdownTellsEveryCase(t *testing.T) {
	is := is.New(t)
	text := chart.MustParse(doorChart).Markdown()
	is.True(strings.Contains(text, "closed --> opened: open"))
	is.True(strings.Contains(text, "| opened | refused | gone |"))
}
