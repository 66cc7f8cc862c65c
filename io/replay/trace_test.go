package replay

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

const (
	hostsLine = "0s hosts pool=o/p count=9 zones=north,south slots=8 rack-size=4 budget=2 memory=128GiB\n"
	endLine   = "9s end answered=0.5\n"
)

func mustParse(t *testing.T, text string) Trace {
	t.Helper()
	trace, err := Parse(strings.NewReader(text))
	is.New(t).NoErr(err)
	return trace
}

// assertRejected checks that a trace is rejected at a line, for a reason that contains words.
func assertRejected(t *testing.T, text string, line int, words string) {
	t.Helper()
	is := is.New(t)
	_, err := Parse(strings.NewReader(text))
	var invalid ErrTrace
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Line, line)
	if !strings.Contains(invalid.Reason, words) {
		t.Errorf("reason %q does not contain %q", invalid.Reason, words)
	}
}

func TestParse(t *testing.T) {
	t.Run("fields", func(t *testing.T) {
		is := is.New(t)
		trace := mustParse(t, "# comment\n\n"+hostsLine+"1.5s demand queue=o/q rate=40 for=3s work=20ms keyed=0.5 idempotent=false\n2s store down for=4s\n"+endLine)
		is.Equal(len(trace.Events), 4)
		demand := trace.Events[1]
		is.Equal(demand.At, 1500*time.Millisecond)
		is.Equal(demand.Line, 4)
		is.Equal(demand.Rate, 40.0)
		is.Equal(demand.Work, 20*time.Millisecond)
		is.True(!demand.Idempotent)
		is.True(trace.Events[2].Down)
		is.Equal(trace.Duration(), 9*time.Second)
	})
	t.Run("each rack is in one zone", func(t *testing.T) {
		is := is.New(t)
		hosts := mustParse(t, hostsLine+endLine).Fleet(1).Hosts
		is.Equal(len(hosts), 9)
		is.Equal(hosts[3].Place.Rack, hosts[0].Place.Rack)
		is.Equal(hosts[3].Place.Zone, "north")
		is.Equal(hosts[4].Place.Zone, "south")
		is.Equal(hosts[8].Place.Rack, "p-rack-3")
		is.Equal(hosts[8].Capacity.MemoryBytes, int64(128*gibibyte))
	})
}

func TestParseRejects(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		line  int
		words string
	}{
		"no end":               {hostsLine, 1, "must be of kind end"},
		"no hosts":             {endLine, 1, "no hosts"},
		"unknown kind":         {hostsLine + "1s dance now=true\n", 2, "is not a kind"},
		"unknown field":        {hostsLine + "1s fail hots=p-01\n", 2, `no "hots"; it has host`},
		"missing field":        {hostsLine + "1s demand queue=o/q for=1s\n", 2, "needs rate"},
		"field twice":          {hostsLine + "1s fail host=a host=b\n", 2, "is given twice"},
		"decreasing time":      {hostsLine + "2s fail host=a\n1s fail host=b\n" + endLine, 3, "before that of the previous event"},
		"no demand":            {hostsLine + "1s demand queue=o/q for=1s rate=0\n", 2, "greater than zero"},
		"too many hosts":       {strings.Replace(hostsLine, "count=9", "count=10001", 1) + endLine, 1, "more than 10000 hosts"},
		"duplicate host names": {hostsLine + strings.Replace(hostsLine, "o/p", "x/p", 1) + endLine, 2, "two pools are named p"},
		"settings not at 0s":   {hostsLine + "1s settings plan=1s\n" + endLine, 2, "must be at 0s"},
		"share above one":      {hostsLine + "1s cancel queue=o/q share=1.5\n", 2, "from 0 to 1"},
		"negative time":        {hostsLine + "-1s fail host=a\n", 2, "not a time"},
		"invalid memory":       {"0s hosts pool=o/p count=1 zones=a slots=1 rack-size=1 budget=1 memory=12TB\n", 1, "128GiB"},
		"not a number":         {hostsLine + "1s demand queue=o/q for=1s rate=NaN\n", 2, "rate must be a number"},
	} {
		t.Run(name, func(t *testing.T) { assertRejected(t, tc.text, tc.line, tc.words) })
	}
}

func TestVerdictNeedsProvokedCases(t *testing.T) {
	for name, tc := range map[string]struct {
		found finding
		held  bool
	}{
		"no cases":        {finding{}, false},
		"none provoked":   {finding{cases: 9}, false},
		"provoked":        {finding{cases: 9, provoked: 1}, true},
		"broken":          {finding{cases: 9, provoked: 1, violations: 1, firstViolation: "x"}, false},
		"broken only one": {finding{cases: 9, violations: 1, firstViolation: "x"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := tc.found.verdict(Property{Name: "p"})
			is.New(t).Equal(verdict.Held, tc.held)
			is.New(t).Equal(verdict.FirstViolation == "", tc.held)
		})
	}
}

// TestPageNamesEveryField checks that docs/replay.md names every kind, field and property.
func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/replay.md")
	is.New(t).NoErr(err)
	for kind, fields := range grammar {
		for _, f := range fields {
			if !strings.Contains(string(page), "`"+f.name+"`") || !strings.Contains(string(page), "`"+kind.String()+"`") {
				t.Errorf("docs/replay.md does not name %s of %s", f.name, kind)
			}
		}
	}
	for _, p := range Properties() {
		if !strings.Contains(string(page), "`"+p.Name+"`") {
			t.Errorf("docs/replay.md does not name the property %s", p.Name)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(hostsLine + endLine)
	f.Add("0s hosts pool=/ count=99999999 zones=, slots=1 rack-size=0 budget=0\n0s end\n")
	f.Add("1e9h end answered=1e-9\n")
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Parse(strings.NewReader(text))
		if err != nil {
			return
		}
		names := make(map[host.ID]bool)
		for _, spec := range trace.Fleet(1).Hosts {
			if names[spec.ID] {
				t.Fatalf("two hosts are named %s", spec.ID)
			}
			names[spec.ID] = true
		}
		for i, e := range trace.Events {
			if e.At < 0 || e.Answered > 1 || i > 0 && e.At < trace.Events[i-1].At {
				t.Fatalf("event %+v was accepted", e)
			}
		}
	})
}
