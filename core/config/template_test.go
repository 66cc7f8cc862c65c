package config

import (
	_ "embed"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

//go:embed testdata/template.toml
var testTemplate string

//go:embed testdata/parameters.toml
var testParameters string

func testSource() Source {
	return Source{Organisation: "boutiques-ephemeres", Template: testTemplate, Parameters: testParameters}
}

func TestExpand(t *testing.T) {
	is := is.New(t)
	e, err := testSource().Expand()
	is.NoErr(err)
	is.Equal(len(e.Pools), 3)
	pool, _ := e.Pool("boutiques-ephemeres/port-louis")
	is.Equal(pool.Hosts, 9)
	is.Equal(pool.MoveWeight, 1.0)
	queue, _ := e.Queue("boutiques-ephemeres/quotes")
	is.Equal(queue.Pool, "boutiques-ephemeres/grand-baie")
	is.Equal(queue.Deadline, 2*time.Second)
	team, _ := e.Team("boutiques-ephemeres/port-louis")
	is.Equal(team.Slots, 8) // the default of the parameter
}

// lineOfText returns the line number of the first occurrence of part.
func lineOfText(t *testing.T, text, part string) int {
	t.Helper()
	before, _, found := strings.Cut(text, part)
	if !found {
		t.Fatalf("%q is not in the text", part)
	}
	return strings.Count(before, "\n") + 1
}

func TestProblems(t *testing.T) {
	for _, test := range []struct {
		name, file, old, replacement string
		// at is the text whose line the problem refers to; empty means the replacement.
		at, key, reason string
	}{
		{"a wrong type", "template", "slots-per-host = 8", `slots-per-host = "eight"`, "", "slots-per-host", "eight is not a number"},
		{"an unknown key", "template", "spare = true", "sparse = true", "", "pools.member-accounts.sparse", "is not a known key"},
		{"a missing key", "template", "min-hosts = 4\n", "", "[pools.member-accounts]", "pools.member-accounts.min-hosts", "is missing"},
		{"a name in capitals", "template", "[queues.keys]", "[queues.Keys]", "", "queues.Keys", "is not kebab case"},
		{"an unknown pool", "template", `pool = "grand-baie"`, `pool = "grand-bay"`, "", "queues.quotes.pool", `there is no pool "grand-bay"`},
		{"a deadline without a unit", "template", `deadline = "1m"`, `deadline = "60"`, "", "queues.keys.deadline", `"60" is not such a duration`},
		{"a minimum above the hosts", "template", "min-hosts = 6", "min-hosts = 50", "", "pools.port-louis.min-hosts", "50 is above hosts, 9"},
		{"a budget that takes all hosts", "template", `max-unavailable = "$max-unavailable"`, "max-unavailable = 6", "", "pools.port-louis.max-unavailable", "could take all 6 hosts"},
		{"an undeclared parameter", "template", `hosts = "$port-louis-hosts"`, `hosts = "$port-hosts"`, "", "pools.port-louis.hosts", `there is no value for parameter "port-hosts"`},
		{"an unused parameter", "template", `slots = "$desk-slots"`, "slots = 8", "[parameters.desk-slots]", "parameters.desk-slots", "is used nowhere"},
		{"quotas beyond the slots", "template", "slots = 4", "slots = 999", "[teams.", "teams", "guaranteed 1007 slots"},
		{"two spare pools", "template", "[pools.port-louis]", "[pools.port-louis]\nspare = true", "[pools.", "pools", "2 pools are spare"},
		{"broken TOML", "template", "name = ", "name ", "", "", "expected '.' or '='"},
		{"a parameter out of bounds", "parameters", "port-louis-hosts = 9", "port-louis-hosts = 900", "", "values.port-louis-hosts", "900 is out of bounds"},
		{"a parameter of another kind", "parameters", "max-unavailable = 2", "max-unavailable = 2.5", "", "values.max-unavailable", "is not of kind integer"},
		{"a parameter that is not declared", "parameters", "max-unavailable = 2", "max-unavailable = 2\nextra = 1", "extra = 1", "values.extra", "declares no such parameter"},
		{"a missing parameter", "parameters", "max-unavailable = 2\n", "", "[values]", "values.max-unavailable", "is missing"},
		{"another organisation", "parameters", "boutiques-ephemeres", "kuntavoima", "", "organisation", "is not the organisation"},
		{"another template", "parameters", `"letting-desks"`, `"learning"`, "", "template", "is not the template's name"},
	} {
		t.Run(test.name+" is reported with its position and remedy", func(t *testing.T) {
			is := is.New(t)
			source := testSource()
			text := &source.Template
			if test.file == "parameters" {
				text = &source.Parameters
			}
			is.True(strings.Contains(*text, test.old))
			occurrences := 1
			if test.key == "parameters.desk-slots" {
				occurrences = -1
			}
			*text = strings.Replace(*text, test.old, test.replacement, occurrences)
			at := test.at
			if at == "" {
				at = test.replacement
			}
			_, err := source.Expand()
			var invalid ErrInvalid
			is.True(errors.As(err, &invalid))
			assertProblem(t, invalid, test.file, lineOfText(t, *text, at), test.key, test.reason)
		})
	}
}

// assertProblem checks that one of the problems has the given position, key and reason, and a remedy.
func assertProblem(t *testing.T, invalid ErrInvalid, file string, line int, key, reason string) {
	t.Helper()
	for _, p := range invalid.Problems {
		if p.File == file && p.Line == line && (key == "" || p.Key == key) && strings.Contains(p.Reason, reason) && p.Remedy != "" {
			return
		}
	}
	t.Errorf("no problem at %s:%d %s %q in:\n%v", file, line, key, reason, invalid)
}
