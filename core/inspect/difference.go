package inspect

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/resource"
	"siskincross/core/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=ChangeKind -transform=kebab -text -trimprefix=Change -output=changekind_enumer.go

// ChangeKind is how a setting differs from the version in force.
type ChangeKind int

// Kinds of changes.
const (
	ChangeAdded ChangeKind = iota
	ChangeRemoved
	// ChangeWithdrawn is a key that is no longer taken.
	ChangeWithdrawn
	ChangeRaised
	ChangeLowered
	// ChangeReplaced is another value that is neither more nor less.
	ChangeReplaced
)

// Change is one difference between two versions. It contains no key, only the beginning of a key's digest.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject names the queue, pool or organisation, or is "configuration".
	Subject string `json:"subject"`
	// Setting is empty if the subject itself is added or removed.
	Setting string `json:"setting,omitempty"`
	// Before and After are the values; empty if there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// changes collects the changes of one subject.
type changes struct {
	list    []Change
	subject string
}

func (l *changes) add(k ChangeKind, setting, before, after string) {
	l.list = append(l.list, Change{k, l.subject, setting, before, after})
}

// replace records a value that is neither more nor less than before.
func (l *changes) replace(setting, before, after string) {
	if before != after {
		l.add(ChangeReplaced, setting, before, after)
	}
}

// compare records a value that is raised or lowered.
func compare[T cmp.Ordered](l *changes, setting string, before, after T, format func(T) string) {
	switch {
	case after > before:
		l.add(ChangeRaised, setting, format(before), format(after))
	case after < before:
		l.add(ChangeLowered, setting, format(before), format(after))
	}
}

// compareLimits records a limit that is raised or lowered. No limit is above every limit.
func compareLimits[T int | int64](l *changes, setting string, before, after T) {
	switch {
	case before == after:
	case after == 0, before != 0 && after > before:
		l.add(ChangeRaised, setting, formatLimit(before), formatLimit(after))
	default:
		l.add(ChangeLowered, setting, formatLimit(before), formatLimit(after))
	}
}

func formatLimit[T int | int64](n T) string {
	if n == 0 {
		return "no limit"
	}
	return strconv.FormatInt(int64(n), 10)
}

func formatLimits(a resource.Amount) string {
	return fmt.Sprintf("milli-cores: %s, MB: %s, accelerators: %s", formatLimit(a.MilliCores), formatLimit(a.MemoryMB), formatLimit(a.Accelerators))
}

func formatFactor(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Directory returns the organisations that are in force in this version.
func (c Configuration) Directory() organisation.Directory {
	var usable []organisation.Organisation
	for _, o := range c.Organisations {
		if !o.Unusable {
			usable = append(usable, o.Organisation)
		}
	}
	return organisation.NewDirectory(usable)
}

// Changes returns what next changes about c, the version in force.
func (c Configuration) Changes(next Configuration) []Change {
	l := &changes{subject: "configuration"}
	compare(l, "version", c.Version, next.Version, func(v uint64) string { return strconv.FormatUint(v, 10) })
	compareLimits(l, "bytes of a body", c.Limits.MaxBodyBytes, next.Limits.MaxBodyBytes)
	compareLimits(l, "bytes of headers", c.Limits.MaxHeaderBytes, next.Limits.MaxHeaderBytes)
	compare(l, "time for headers", c.Limits.HeaderTimeout, next.Limits.HeaderTimeout, time.Duration.String)
	compare(l, "time of idle connections", c.Limits.IdleTimeout, next.Limits.IdleTimeout, time.Duration.String)
	compareAll(l, c.queuesInForce(), next.queuesInForce(), Queue.description, compareQueues)
	compareAll(l, byName(c.Pools, poolName), byName(next.Pools, poolName), describePool, comparePools)
	c.compareOrganisations(l, next)
	return l.list
}

// queuesInForce returns the queues by their keys. Of several with one key the first is in force.
func (c Configuration) queuesInForce() map[string]Queue {
	backward := slices.Clone(c.Queues)
	slices.Reverse(backward)
	return byName(backward, Queue.Key)
}

// description names a queue with its host and prefix, which tell it apart from an earlier one of that name.
func (q Queue) description() (subject, summary string) {
	return fmt.Sprintf("queue %s (%s%s)", q.Name, q.Host, q.Prefix), "pool " + q.Pool
}

func poolName(p work.Pool) string { return p.Name }

func describePool(p work.Pool) (subject, summary string) { return "pool " + p.Name, "" }

// byName returns the entries of a list by name. Of several with one name the last is kept.
func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T)
	for _, item := range list {
		m[name(item)] = item
	}
	return m
}

// compareAll records what is added, removed and changed among the entries of a section.
func compareAll[T any](l *changes, before, after map[string]T, describe func(T) (subject, summary string), differ func(l *changes, before, after T)) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		subject, summary := describe(all[name])
		l.subject = subject
		from, was := before[name]
		to, is := after[name]
		switch {
		case !was:
			l.add(ChangeAdded, "", "", summary)
		case !is:
			l.add(ChangeRemoved, "", summary, "")
		default:
			differ(l, from, to)
		}
	}
}

func compareQueues(l *changes, before, after Queue) {
	l.replace("name", before.Name, after.Name)
	l.replace("pool", before.Pool, after.Pool)
	l.replace("public", strconv.FormatBool(before.Public), strconv.FormatBool(after.Public))
	// Lower numbers come first.
	l.replace("priority", strconv.Itoa(before.Priority), strconv.Itoa(after.Priority))
	compare(l, "attempts", before.Attempts, after.Attempts, strconv.Itoa)
	compare(l, "timeout of requests", before.RequestTimeout, after.RequestTimeout, time.Duration.String)
	compare(l, "objective, times a job's length", before.Objective.Factor, after.Objective.Factor, formatFactor)
	compare(l, "objective, beside a job's length", before.Objective.Slack, after.Objective.Slack, time.Duration.String)
	l.replace("policy service", formatPolicy(before.PolicyService), formatPolicy(after.PolicyService))
}

func formatPolicy(p work.PolicyService) string {
	if !p.Required() {
		return "none"
	}
	return fmt.Sprintf("%s a call, %s a worker, tickets valid for %s", p.CallDuration, p.DurationPerWorker, p.TicketValidity)
}

func comparePools(l *changes, before, after work.Pool) {
	l.replace("standby", strconv.FormatBool(before.Standby), strconv.FormatBool(after.Standby))
	l.replace("refuses tasks beyond its workers' capacity", strconv.FormatBool(before.EnforcesCapacity), strconv.FormatBool(after.EnforcesCapacity))
}

// describeOrganisation names an organisation and its weight and limit.
func describeOrganisation(o organisation.Organisation) (subject, summary string) {
	return "organisation " + o.Name, fmt.Sprintf("weight %s, %s", formatFactor(o.Weight), formatLimits(o.Limit))
}

// compareOrganisations records the changes of the organisations that are in force.
func (c Configuration) compareOrganisations(l *changes, next Configuration) {
	from, to := c.Directory(), next.Directory()
	compareAll(l, byName(organisations(from), organisationName), byName(organisations(to), organisationName), describeOrganisation,
		func(l *changes, before, after organisation.Organisation) {
			compare(l, "weight", before.Weight, after.Weight, formatFactor)
			compareLimits(l, "limit, milli-cores", before.Limit.MilliCores, after.Limit.MilliCores)
			compareLimits(l, "limit, MB of memory", before.Limit.MemoryMB, after.Limit.MemoryMB)
			compareLimits(l, "limit, accelerators", before.Limit.Accelerators, after.Limit.Accelerators)
		})
	difference := from.Difference(to)
	l.addKeys(ChangeAdded, difference.AddedKeys)
	l.addKeys(ChangeWithdrawn, difference.WithdrawnKeys)
}

func organisationName(o organisation.Organisation) string { return o.Name }

func organisations(d organisation.Directory) []organisation.Organisation {
	var list []organisation.Organisation
	for _, name := range d.Names() {
		o, _ := d.Find(name)
		list = append(list, o)
	}
	return list
}

// addKeys records keys that are added or withdrawn, ordered by their organisations.
func (l *changes) addKeys(k ChangeKind, keys map[organisation.KeyDigest]string) {
	digests := slices.SortedFunc(maps.Keys(keys), func(a, b organisation.KeyDigest) int {
		return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(a.String(), b.String()))
	})
	for _, digest := range digests {
		l.subject = "organisation " + keys[digest]
		l.add(k, "key "+digest.String(), "", "")
	}
}

// FindingsAgainst returns what is wrong in next as the successor of c, the version in force.
func (c Configuration) FindingsAgainst(next Configuration) []Finding {
	var l findings
	if next.Version > 0 && next.Version <= c.Version {
		l.add(StaleVersion, SeverityError, Place{Field: FieldVersion}, "", "version %d is not above %d, which is in force: it is ignored", next.Version, c.Version)
	}
	if len(c.Organisations) > 0 && len(next.Organisations) == 0 {
		l.add(NoKeysAnyMore, SeverityWarning, Place{Section: SectionOrganisations, Index: WholeSection}, "",
			"the version in force has organisations: without them no key is asked for and nothing is limited")
	}
	return l
}
