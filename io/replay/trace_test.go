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
	testHosts = "0s hosts pool=o/p count=9 zones=north,south slots=8 rack-size=4 budget=2 memory=128GiB\n"
	testEnd   = "9s end answered=0.5\n"
)

func assertParses(t *testing.T, text string) Trace {
	t.Helper()
	trace, err := Parse(strings.NewReader(text))
	is.New(t).NoErr(err)
	return trace
}

// assertRejected checks that a trace is rejected at a line, for a reason that holds the words.
func assertRejected(t *testing.T, text string, line int, words string) {
	t.Helper()
	is := is.New(t)
	_, err := Parse(strings.NewReader(text))
	var wrong ErrTrace
	is.True(errors.As(err, &wrong))
	is.Equal(wrong.Line, line)
	if !strings.Contains(wrong.Reason, words) {
		t.Errorf("reason %q does not hold %q", wrong.Reason, words)
	}
}

func TestParse(t *testing.T) {
	t.Run("fields", func(t *testing.T) {
		is := is.New(t)
		trace := assertParses(t, "# comment\n\n"+testHosts+"1.5s demand queue=o/q rate=40 for=3s work=20ms keyed=0.5 idempotent=false\n2s store down for=4s\n"+testEnd)
		is.Equal(len(trace.Events), 4)
		demand := trace.Events[1]
		is.Equal(demand.At, 1500*time.Millisecond)
		is.Equal(demand.Line, 4)
		is.Equal(demand.Rate, 40.0)
		is.Equal(demand.Work, 20*time.Millisecond)
		is.True(!demand.Idempotent)
		is.True(trace.Events[2].Down)
		is.Equal(trace.Length(), 9*time.Second)
	})
	t.Run("racks lie in one zone", func(t *testing.T) {
		is := is.New(t)
		hosts := assertParses(t, testHosts+testEnd).Fleet(1).Hosts
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
		"no end":              {testHosts, 1, "must be of kind end"},
		"no hosts":            {testEnd, 1, "no hosts"},
		"unknown kind":        {testHosts + "1s dance now=true\n", 2, "is not a kind"},
		"unknown field":       {testHosts + "1s fail hots=p-01\n", 2, `no "hots"; it has host`},
		"missing field":       {testHosts + "1s demand queue=o/q for=1s\n", 2, "needs rate"},
		"field twice":         {testHosts + "1s fail host=a host=b\n", 2, "stands twice"},
		"time that goes back": {testHosts + "2s fail host=a\n1s fail host=b\n" + testEnd, 3, "before that of the line above"},
		"no demand":           {testHosts + "1s demand queue=o/q for=1s rate=0\n", 2, "above zero"},
		"too many hosts":      {strings.Replace(testHosts, "count=9", "count=10001", 1) + testEnd, 1, "more than 10000 hosts"},
		"hosts named alike":   {testHosts + strings.Replace(testHosts, "o/p", "x/p", 1) + testEnd, 2, "two pools are named p"},
		"settings not at 0s":  {testHosts + "1s settings plan=1s\n" + testEnd, 2, "must stand at 0s"},
		"share above one":     {testHosts + "1s cancel queue=o/q share=1.5\n", 2, "from 0 to 1"},
		"negative time":       {testHosts + "-1s fail host=a\n", 2, "not a time"},
		"wrong memory":        {"0s hosts pool=o/p count=1 zones=a slots=1 rack-size=1 budget=1 memory=12TB\n", 1, "128GiB"},
		"not a number":        {testHosts + "1s demand queue=o/q for=1s rate=NaN\n", 2, "rate must be a number"},
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
		"broken":          {finding{cases: 9, provoked: 1, broken: 1, first: "x"}, false},
		"broken only one": {finding{cases: 9, broken: 1, first: "x"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := tc.found.verdict(Property{Name: "p"})
			is.New(t).Equal(verdict.Held, tc.held)
			is.New(t).Equal(verdict.First == "", tc.held)
		})
	}
}

// TestPageNamesEveryField checks the page that documents the format.
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
	f.Add(testHosts + testEnd)
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
