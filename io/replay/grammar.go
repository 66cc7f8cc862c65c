package replay

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// field reads one NAME=VALUE of a line into an event.
type field struct {
	name     string
	required bool
	read     func(e *Event, value string) error
}

// required marks a field that a line must have.
func required(f field) field {
	f.required = true
	return f
}

func text(name string, at func(*Event) *string) field {
	return field{name: name, read: func(e *Event, value string) error {
		if value == "" {
			return fmt.Errorf("%s must not be empty", name)
		}
		*at(e) = value
		return nil
	}}
}

func duration(name string, at func(*Event) *time.Duration) field {
	return field{name: name, read: func(e *Event, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return fmt.Errorf("%s must be a duration such as 1.5s, not %q", name, value)
		}
		*at(e) = d
		return nil
	}}
}

func count(name string, at func(*Event) *int) field {
	return field{name: name, read: func(e *Event, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxCount {
			return fmt.Errorf("%s must be a whole number up to %d, not %q", name, maxCount, value)
		}
		*at(e) = n
		return nil
	}}
}

func number(name string, limit float64, at func(*Event) *float64) field {
	return field{name: name, read: func(e *Event, value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n > limit {
			return fmt.Errorf("%s must be a number from 0 to %v, not %q", name, limit, value)
		}
		*at(e) = n
		return nil
	}}
}

// positive rejects a number that is zero.
func positive(f field, value func(*Event) float64) field {
	read := f.read
	f.read = func(e *Event, text string) error {
		if err := read(e, text); err != nil {
			return err
		}
		if value(e) == 0 {
			return fmt.Errorf("%s must be above zero", f.name)
		}
		return nil
	}
	return f
}

// flag is true when it stands without a value.
func flag(name string, at func(*Event) *bool) field {
	return field{name: name, read: func(e *Event, value string) error {
		if value == "" {
			value = "true"
		}
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%s must be true or false, not %q", name, value)
		}
		*at(e) = b
		return nil
	}}
}

// Units of memory in traces.
const (
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

func memory(name string, at func(*Event) *int64) field {
	return field{name: name, read: func(e *Event, value string) error {
		for suffix, unit := range map[string]int64{"MiB": mebibyte, "GiB": gibibyte} {
			digits, ok := strings.CutSuffix(value, suffix)
			if n, err := strconv.ParseInt(digits, 10, 32); ok && err == nil && n >= 0 {
				*at(e) = n * unit
				return nil
			}
		}
		return fmt.Errorf("%s must be a size such as 128GiB or 64MiB, not %q", name, value)
	}}
}

func names(name string, at func(*Event) *[]string) field {
	return field{name: name, read: func(e *Event, value string) error {
		for _, part := range strings.Split(value, ",") {
			if part == "" {
				return fmt.Errorf("%s must be names with commas between them", name)
			}
			*at(e) = append(*at(e), part)
		}
		return nil
	}}
}

// Bounds of numbers in traces.
const (
	maxRate  = 10_000
	maxCount = 1_000_000
	maxTimes = 100
	share    = 1
)

var (
	fieldFor   = duration("for", func(e *Event) *time.Duration { return &e.For })
	fieldPool  = text("pool", func(e *Event) *string { return &e.Pool })
	fieldQueue = required(text("queue", func(e *Event) *string { return &e.Queue }))
	fieldTeam  = text("team", func(e *Event) *string { return &e.Team })
	fieldHost  = text("host", func(e *Event) *string { return &e.Host })
	fieldRack  = text("rack", func(e *Event) *string { return &e.Rack })
	fieldZone  = text("zone", func(e *Event) *string { return &e.Zone })
	fieldCount = count("count", func(e *Event) *int { return &e.Count })
	fieldWork  = duration("work", func(e *Event) *time.Duration { return &e.Work })
	fieldBytes = count("bytes", func(e *Event) *int { return &e.Bytes })
	fieldDown  = flag("down", func(e *Event) *bool { return &e.Down })
	fieldSafe  = flag("idempotent", func(e *Event) *bool { return &e.Idempotent })
	fieldUrge  = flag("urgent", func(e *Event) *bool { return &e.Urgent })
	fieldMem   = memory("memory", func(e *Event) *int64 { return &e.MemoryBytes })
	fieldCores = count("cores", func(e *Event) *int { return &e.Cores })
)

// grammar tells the fields of each kind of event.
var grammar = map[Kind][]field{
	KindPlatform: {
		duration("list-lag", func(e *Event) *time.Duration { return &e.ListLag }),
		duration("usage-lag", func(e *Event) *time.Duration { return &e.UsageLag }),
		duration("reboot", func(e *Event) *time.Duration { return &e.Reboot }),
	},
	KindHosts: {
		required(fieldPool), required(fieldCount), fieldCores, fieldMem,
		required(names("zones", func(e *Event) *[]string { return &e.Zones })),
		required(count("slots", func(e *Event) *int { return &e.Slots })),
		count("connections", func(e *Event) *int { return &e.Connections }),
		required(count("rack-size", func(e *Event) *int { return &e.RackSize })),
		required(count("budget", func(e *Event) *int { return &e.Budget })),
	},
	KindSettings: {
		duration("heartbeat", func(e *Event) *time.Duration { return &e.Heartbeat }),
		duration("lapse", func(e *Event) *time.Duration { return &e.Lapse }),
		duration("plan", func(e *Event) *time.Duration { return &e.Plan }),
		duration("poll", func(e *Event) *time.Duration { return &e.Poll }),
		duration("vouch", func(e *Event) *time.Duration { return &e.Vouch }),
		duration("cool-down", func(e *Event) *time.Duration { return &e.CoolDown }),
		duration("maintenance", func(e *Event) *time.Duration { return &e.Maintenance }),
		duration("linger", func(e *Event) *time.Duration { return &e.Linger }),
	},
	KindEntry: {
		required(count("index", func(e *Event) *int { return &e.Index })), fieldZone,
		flag("start", func(e *Event) *bool { return &e.Start }),
		flag("stop", func(e *Event) *bool { return &e.Stop }),
		flag("kill", func(e *Event) *bool { return &e.Kill }),
		flag("replace", func(e *Event) *bool { return &e.Replace }),
	},
	KindDemand: {
		fieldQueue, required(fieldFor), fieldTeam, fieldWork, fieldBytes, fieldSafe, fieldUrge,
		required(positive(number("rate", maxRate, func(e *Event) *float64 { return &e.Rate }), func(e *Event) float64 { return e.Rate })),
		number("keyed", share, func(e *Event) *float64 { return &e.Keyed }),
		number("duplicates", share, func(e *Event) *float64 { return &e.Duplicates }),
		number("stream", share, func(e *Event) *float64 { return &e.Stream }),
		duration("timeout", func(e *Event) *time.Duration { return &e.Timeout }),
	},
	KindJob: {
		fieldQueue, fieldTeam, fieldCount, fieldWork, fieldBytes, fieldSafe, fieldUrge, fieldCores, fieldMem,
		text("fail", func(e *Event) *string { return &e.Fail }),
		number("uses-more", maxTimes, func(e *Event) *float64 { return &e.UsesMore }),
	},
	KindCancel:  {fieldQueue, required(number("share", share, func(e *Event) *float64 { return &e.Share }))},
	KindFail:    {fieldHost, fieldRack, fieldZone, fieldFor, flag("hang", func(e *Event) *bool { return &e.Hang })},
	KindLeave:   {required(fieldHost), required(duration("notice", func(e *Event) *time.Duration { return &e.Notice }))},
	KindAnswers: answersFields,
	KindWorker: {
		required(fieldHost), fieldFor,
		flag("fail-tasks", func(e *Event) *bool { return &e.FailTasks }),
		flag("never-returns", func(e *Event) *bool { return &e.NeverReturns }),
	},
	KindStore: {
		fieldDown, fieldFor,
		duration("slow", func(e *Event) *time.Duration { return &e.Slow }),
		count("lose-answers", func(e *Event) *int { return &e.LoseAnswers }),
		count("lose-commits", func(e *Event) *int { return &e.LoseCommits }),
	},
	KindList: {
		fieldDown, fieldFor,
		flag("empty", func(e *Event) *bool { return &e.Empty }),
		number("flap", share, func(e *Event) *float64 { return &e.Flap }),
	},
	KindApply: {
		required(fieldPool),
		required(text("marker", func(e *Event) *string { return &e.Marker })),
		names("values", func(e *Event) *[]string { return &e.Values }),
		text("rival-marker", func(e *Event) *string { return &e.RivalMarker }),
		names("rival-values", func(e *Event) *[]string { return &e.RivalValues }),
	},
	KindEnd: {number("answered", share, func(e *Event) *float64 { return &e.Answered })},
}

var answersFields = []field{
	fieldPool, fieldHost,
	count("duplicate", func(e *Event) *int { return &e.Duplicate }),
	count("cross", func(e *Event) *int { return &e.Cross }),
	count("cut", func(e *Event) *int { return &e.Cut }),
	count("garbage", func(e *Event) *int { return &e.Garbage }),
	count("late", func(e *Event) *int { return &e.Late }),
	duration("late-by", func(e *Event) *time.Duration { return &e.LateBy }),
}

// parseEvent reads one line.
func parseEvent(line string) (Event, error) {
	words := strings.Fields(line)
	if len(words) < 2 {
		return Event{}, fmt.Errorf("a line must be TIME KIND [NAME=VALUE]..., not %q", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Event{}, fmt.Errorf("%q is not a time such as 1.5s", words[0])
	}
	kind, err := KindString(words[1])
	if err != nil || kind.String() != words[1] {
		return Event{}, fmt.Errorf("%q is not a kind of event; the kinds are %s", words[1], strings.Join(KindStrings(), ", "))
	}
	e := Event{At: at, Kind: kind}
	return e, e.readFields(words[2:])
}

func (e *Event) readFields(words []string) error {
	seen := make(map[string]bool, len(words))
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if seen[name] {
			return fmt.Errorf("%s stands twice", name)
		}
		seen[name] = true
		if err := e.readField(name, value); err != nil {
			return err
		}
	}
	for _, f := range grammar[e.Kind] {
		if f.required && !seen[f.name] {
			return fmt.Errorf("%s needs %s", e.Kind, f.name)
		}
	}
	return nil
}

func (e *Event) readField(name, value string) error {
	var known []string
	for _, f := range grammar[e.Kind] {
		if f.name == name {
			return f.read(e, value)
		}
		known = append(known, f.name)
	}
	return fmt.Errorf("%s has no %q; it has %s", e.Kind, name, strings.Join(known, ", "))
}
