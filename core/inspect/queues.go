package inspect

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"siskincross/core/work"
)

// findings collects what is wrong.
type findings []Finding

func (l *findings) add(k Kind, s Severity, p Place, subject, format string, args ...any) {
	*l = append(*l, Finding{Kind: k, Severity: s, Place: p, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

// jobIDDigits matches what the ID of a job may begin with.
var jobIDDigits = regexp.MustCompile(`^[0-9a-fA-F]{1,16}$`)

func queuePlace(i int, f Field) Place { return Place{Section: SectionQueues, Index: i, Field: f} }

func (q Queue) subject() string { return "queue " + q.Name }

func (c Configuration) inspectQueues(l *findings) {
	if len(c.Queues) == 0 {
		l.add(NoQueues, SeverityWarning, Place{}, "", "there are no queues: every request is answered 404")
	}
	pools := make(map[string]work.Pool)
	for _, p := range c.Pools {
		pools[p.Name] = p
	}
	for i, q := range c.Queues {
		inspectMatch(l, i, q)
		pool, known := pools[q.Pool]
		switch {
		case !known:
			l.add(UnknownPool, SeverityError, queuePlace(i, FieldPool), q.subject(), "there is no pool %q: nothing runs its jobs", q.Pool)
		case pool.Standby:
			l.add(StandbyPool, SeverityError, queuePlace(i, FieldPool), q.subject(), "pool %s is on standby: nothing runs its jobs", q.Pool)
		}
		inspectTimes(l, i, q)
	}
	c.inspectNames(l)
	c.inspectPrefixes(l)
}

// inspectMatch looks for a host and a prefix that no request can have.
func inspectMatch(l *findings, i int, q Queue) {
	add := func(s Severity, f Field, reason string) {
		l.add(UnreachableQueue, s, queuePlace(i, f), q.subject(), "%s", reason)
	}
	unreachable := func(f Field, reason string) { add(SeverityError, f, reason) }
	unusual := func(f Field, reason string) { add(SeverityWarning, f, reason) }
	switch {
	case q.Host == "":
		unusual(FieldHost, "no host: only requests without a host match")
	case strings.Contains(q.Host, ":"):
		unreachable(FieldHost, "the host has a port, and hosts of requests are compared without theirs")
	case strings.ContainsAny(q.Host, "/ \t"):
		unreachable(FieldHost, "no host of a request contains a slash or a space")
	}
	switch {
	case q.Prefix == "":
		unreachable(FieldPrefix, "no prefix: what follows it is never the ID of a job, as paths begin with a slash")
	case !strings.HasPrefix(q.Prefix, "/"):
		unreachable(FieldPrefix, "the prefix does not begin with a slash, as all paths do")
	case strings.ContainsAny(q.Prefix, "?#"):
		unusual(FieldPrefix, "a path ends before ? and #, unless callers encode them")
	}
}

func inspectTimes(l *findings, i int, q Queue) {
	outOfRange := func(f Field, format string, args ...any) {
		l.add(ValueOutOfRange, SeverityWarning, queuePlace(i, f), q.subject(), format, args...)
	}
	if q.Attempts < 1 {
		outOfRange(FieldAttempts, "%d attempts: one is allowed", q.Attempts)
	}
	if q.RequestTimeout < 0 {
		outOfRange(FieldTimeout, "the timeout %s is negative: requests get the shortest one", q.RequestTimeout)
	}
	switch o := q.Objective; {
	case o.Factor < 0 || o.Slack < 0:
		outOfRange(FieldSlack, "the objective has a negative part, %v times a job's length and %s", o.Factor, o.Slack)
	case o.Factor == 0 && o.Slack == 0:
		l.add(EmptyObjective, SeverityWarning, queuePlace(i, FieldSlack), q.subject(), "the objective is zero: jobs count as late from the start, and none are refused because of what waits")
	case q.RequestTimeout > 0 && q.RequestTimeout < o.Slack:
		l.add(ShortTimeout, SeverityWarning, queuePlace(i, FieldTimeout), q.subject(),
			"requests may take %s, which is less than the %s that the objective allows for any job", q.RequestTimeout, o.Slack)
	}
	p := q.PolicyService
	if p.CallDuration < 0 || p.DurationPerWorker < 0 || p.TicketValidity < 0 {
		outOfRange(FieldPolicyService, "a time of the policy service is negative")
	} else if !p.CanApprove() {
		l.add(UselessTickets, SeverityError, queuePlace(i, FieldPolicyService), q.subject(),
			"tickets are valid for %s, and one call takes %s: they expire before a task starts", p.TicketValidity, (p.CallDuration + p.DurationPerWorker).Round(time.Millisecond))
	}
}

func (c Configuration) inspectNames(l *findings) {
	first := make(map[string]int)
	for i, q := range c.Queues {
		if other, ok := first[q.Name]; ok {
			l.add(SharedQueueName, SeverityWarning, queuePlace(i, FieldName), q.subject(), "queue %d of the configuration has this name too: logs do not tell them apart", other+1)
			continue
		}
		first[q.Name] = i
	}
}

// inspectPrefixes looks for queues of one host of which one takes all or some requests of the other.
func (c Configuration) inspectPrefixes(l *findings) {
	byKey := make(map[[2]string]int)
	for i, q := range c.Queues {
		key := [2]string{q.Host, q.Prefix}
		if other, ok := byKey[key]; ok {
			l.add(DuplicateQueue, SeverityError, queuePlace(i, FieldPrefix), q.subject(),
				"queue %s has the same host and prefix and comes first: it gets all requests", c.Queues[other].Name)
			continue
		}
		byKey[key] = i
	}
	for i, q := range c.Queues {
		// Only a continuation that is the beginning of an ID overlaps.
		for n := 1; n <= maxIDDigits && n < len(q.Prefix); n++ {
			cut := len(q.Prefix) - n
			if !jobIDDigits.MatchString(q.Prefix[cut:]) {
				break
			}
			if other, ok := byKey[[2]string{q.Host, q.Prefix[:cut]}]; ok {
				l.add(OverlappingQueue, SeverityError, queuePlace(i, FieldPrefix), q.subject(),
					"takes the requests of queue %s for jobs whose IDs begin with %s: they are answered 404", c.Queues[other].Name, q.Prefix[cut:])
			}
		}
	}
}

// maxIDDigits is the length of a job's ID.
const maxIDDigits = 16

func (c Configuration) inspectPools(l *findings) {
	place := func(i int) Place { return Place{Section: SectionPools, Index: i, Field: FieldName} }
	used := make(map[string]bool)
	for _, q := range c.Queues {
		used[q.Pool] = true
	}
	first := make(map[string]int)
	for i, p := range c.Pools {
		subject := "pool " + p.Name
		other, duplicate := first[p.Name]
		switch {
		case duplicate:
			l.add(DuplicatePool, SeverityError, place(i), subject, "pool %d of the configuration has this name too: the last one counts", other+1)
			continue
		case !used[p.Name] && !p.Standby:
			l.add(UnusedPool, SeverityWarning, place(i), subject, "no queue uses it, and its hosts are switched on")
		}
		first[p.Name] = i
	}
}
