package replay

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// field is one NAME=VALUE of a line; read parses the value into an event.
type field struct {
	name     string
	required bool
	read     func(e *Event, value string) error
}

// required returns f as a field that a line must have.
func required(f field) field {
	f.required = true
	return f
}

// textField is a text that must not be empty. Here and below, target returns the
// field of the event that the value is stored in.
func textField(name string, target func(*Event) *string) field {
	return field{name: name, read: func(e *Event, value string) error {
		if value == "" {
			return fmt.Errorf("%s must not be empty", name)
		}
		*target(e) = value
		return nil
	}}
}

// durationField is a duration that is not negative.
func durationField(name string, target func(*Event) *time.Duration) field {
	return field{name: name, read: func(e *Event, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return fmt.Errorf("%s must be a duration such as 1.5s, not %q", name, value)
		}
		*target(e) = d
		return nil
	}}
}

// countField is an integer from 0 to maxFieldCount.
func countField(name string, target func(*Event) *int) field {
	return field{name: name, read: func(e *Event, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxFieldCount {
			return fmt.Errorf("%s must be a non-negative integer up to %d, not %q", name, maxFieldCount, value)
		}
		*target(e) = n
		return nil
	}}
}

// numberField is a number from 0 to limit.
func numberField(name string, limit float64, target func(*Event) *float64) field {
	return field{name: name, read: func(e *Event, value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n > limit {
			return fmt.Errorf("%s must be a number from 0 to %v, not %q", name, limit, value)
		}
		*target(e) = n
		return nil
	}}
}

// positive returns f as a field that rejects zero. value returns the number that f stored.
func positive(f field, value func(*Event) float64) field {
	read := f.read
	f.read = func(e *Event, text string) error {
		if err := read(e, text); err != nil {
			return err
		}
		if value(e) == 0 {
			return fmt.Errorf("%s must be greater than zero", f.name)
		}
		return nil
	}
	return f
}

// flagField is a boolean; a name without a value means true.
func flagField(name string, target func(*Event) *bool) field {
	return field{name: name, read: func(e *Event, value string) error {
		if value == "" {
			value = "true"
		}
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%s must be true or false, not %q", name, value)
		}
		*target(e) = b
		return nil
	}}
}

// Units of memory in traces.
const (
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// memoryField is a size with the unit MiB or GiB.
func memoryField(name string, target func(*Event) *int64) field {
	return field{name: name, read: func(e *Event, value string) error {
		for suffix, unit := range map[string]int64{"MiB": mebibyte, "GiB": gibibyte} {
			digits, ok := strings.CutSuffix(value, suffix)
			if n, err := strconv.ParseInt(digits, 10, 32); ok && err == nil && n >= 0 {
				*target(e) = n * unit
				return nil
			}
		}
		return fmt.Errorf("%s must be a size such as 128GiB or 64MiB, not %q", name, value)
	}}
}

// namesField is a list of names separated by commas.
func namesField(name string, target func(*Event) *[]string) field {
	return field{name: name, read: func(e *Event, value string) error {
		for _, part := range strings.Split(value, ",") {
			if part == "" {
				return fmt.Errorf("%s must be names separated by commas", name)
			}
			*target(e) = append(*target(e), part)
		}
		return nil
	}}
}

// Maximum values of numbers in traces. maxFactor limits uses-more.
const (
	maxRate       = 10_000
	maxFieldCount = 1_000_000
	maxFactor     = 100
	maxShare      = 1
)

var (
	fieldFor        = durationField("for", func(e *Event) *time.Duration { return &e.For })
	fieldPool       = textField("pool", func(e *Event) *string { return &e.Pool })
	fieldQueue      = required(textField("queue", func(e *Event) *string { return &e.Queue }))
	fieldTeam       = textField("team", func(e *Event) *string { return &e.Team })
	fieldHost       = textField("host", func(e *Event) *string { return &e.Host })
	fieldRack       = textField("rack", func(e *Event) *string { return &e.Rack })
	fieldZone       = textField("zone", func(e *Event) *string { return &e.Zone })
	fieldCount      = countField("count", func(e *Event) *int { return &e.Count })
	fieldWork       = durationField("work", func(e *Event) *time.Duration { return &e.Work })
	fieldBytes      = countField("bytes", func(e *Event) *int { return &e.Bytes })
	fieldDown       = flagField("down", func(e *Event) *bool { return &e.Down })
	fieldIdempotent = flagField("idempotent", func(e *Event) *bool { return &e.Idempotent })
	fieldUrgent     = flagField("urgent", func(e *Event) *bool { return &e.Urgent })
	fieldMemory     = memoryField("memory", func(e *Event) *int64 { return &e.MemoryBytes })
	fieldCores      = countField("cores", func(e *Event) *int { return &e.Cores })
)

// grammar lists the fields of each kind of event.
var grammar = map[Kind][]field{
	KindPlatform: {
		durationField("list-lag", func(e *Event) *time.Duration { return &e.ListLag }),
		durationField("usage-lag", func(e *Event) *time.Duration { return &e.UsageLag }),
		durationField("reboot", func(e *Event) *time.Duration { return &e.Reboot }),
	},
	KindHosts: {
		required(fieldPool), required(fieldCount), fieldCores, fieldMemory,
		required(namesField("zones", func(e *Event) *[]string { return &e.Zones })),
		required(countField("slots", func(e *Event) *int { return &e.Slots })),
		countField("connections", func(e *Event) *int { return &e.Connections }),
		required(countField("rack-size", func(e *Event) *int { return &e.RackSize })),
		required(countField("budget", func(e *Event) *int { return &e.Budget })),
	},
	KindSettings: {
		durationField("heartbeat", func(e *Event) *time.Duration { return &e.Heartbeat }),
		durationField("lapse", func(e *Event) *time.Duration { return &e.Lapse }),
		durationField("plan", func(e *Event) *time.Duration { return &e.Plan }),
		durationField("poll", func(e *Event) *time.Duration { return &e.Poll }),
		durationField("vouch", func(e *Event) *time.Duration { return &e.Vouch }),
		durationField("cool-down", func(e *Event) *time.Duration { return &e.CoolDown }),
		durationField("maintenance", func(e *Event) *time.Duration { return &e.Maintenance }),
		durationField("linger", func(e *Event) *time.Duration { return &e.Linger }),
	},
	KindEntry: {
		required(countField("index", func(e *Event) *int { return &e.Index })), fieldZone,
		flagField("start", func(e *Event) *bool { return &e.Start }),
		flagField("stop", func(e *Event) *bool { return &e.Stop }),
		flagField("kill", func(e *Event) *bool { return &e.Kill }),
		flagField("replace", func(e *Event) *bool { return &e.Replace }),
	},
	KindDemand: {
		fieldQueue, required(fieldFor), fieldTeam, fieldWork, fieldBytes, fieldIdempotent, fieldUrgent,
		required(positive(numberField("rate", maxRate, func(e *Event) *float64 { return &e.Rate }), func(e *Event) float64 { return e.Rate })),
		numberField("keyed", maxShare, func(e *Event) *float64 { return &e.Keyed }),
		numberField("duplicates", maxShare, func(e *Event) *float64 { return &e.Duplicates }),
		numberField("stream", maxShare, func(e *Event) *float64 { return &e.Stream }),
		durationField("timeout", func(e *Event) *time.Duration { return &e.Timeout }),
	},
	KindJob: {
		fieldQueue, fieldTeam, fieldCount, fieldWork, fieldBytes, fieldIdempotent, fieldUrgent, fieldCores, fieldMemory,
		textField("fail", func(e *Event) *string { return &e.Fail }),
		numberField("uses-more", maxFactor, func(e *Event) *float64 { return &e.UsesMore }),
	},
	KindCancel:  {fieldQueue, required(numberField("share", maxShare, func(e *Event) *float64 { return &e.Share }))},
	KindFail:    {fieldHost, fieldRack, fieldZone, fieldFor, flagField("hang", func(e *Event) *bool { return &e.Hang })},
	KindLeave:   {required(fieldHost), required(durationField("notice", func(e *Event) *time.Duration { return &e.Notice }))},
	KindAnswers: answersFields,
	KindWorker: {
		required(fieldHost), fieldFor,
		flagField("fail-tasks", func(e *Event) *bool { return &e.FailTasks }),
		flagField("never-returns", func(e *Event) *bool { return &e.NeverReturns }),
	},
	KindStore: {
		fieldDown, fieldFor,
		durationField("slow", func(e *Event) *time.Duration { return &e.Slow }),
		countField("lose-answers", func(e *Event) *int { return &e.LoseAnswers }),
		countField("lose-commits", func(e *Event) *int { return &e.LoseCommits }),
	},
	KindList: {
		fieldDown, fieldFor,
		flagField("empty", func(e *Event) *bool { return &e.Empty }),
		numberField("flap", maxShare, func(e *Event) *float64 { return &e.Flap }),
	},
	KindApply: {
		required(fieldPool),
		required(textField("marker", func(e *Event) *string { return &e.Marker })),
		namesField("values", func(e *Event) *[]string { return &e.Values }),
		textField("rival-marker", func(e *Event) *string { return &e.RivalMarker }),
		namesField("rival-values", func(e *Event) *[]string { return &e.RivalValues }),
	},
	KindEnd: {numberField("answered", maxShare, func(e *Event) *float64 { return &e.Answered })},
}

var answersFields = []field{
	fieldPool, fieldHost,
	countField("duplicate", func(e *Event) *int { return &e.Duplicate }),
	countField("cross", func(e *Event) *int { return &e.Cross }),
	countField("cut", func(e *Event) *int { return &e.Cut }),
	countField("garbage", func(e *Event) *int { return &e.Garbage }),
	countField("late", func(e *Event) *int { return &e.Late }),
	durationField("late-by", func(e *Event) *time.Duration { return &e.LateBy }),
}

// parseEvent parses one line.
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

// readFields parses the fields of a line and checks that the required ones are given.
func (e *Event) readFields(words []string) error {
	seen := make(map[string]bool, len(words))
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if seen[name] {
			return fmt.Errorf("%s is given twice", name)
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

// readField parses the value of one field.
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
