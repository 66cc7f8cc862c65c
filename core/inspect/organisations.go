package inspect

import (
	"maps"
	"slices"
	"strings"

	"siskincross/core/organisation"
	"siskincross/core/resource"
)

// milliCoresPerCore converts cores to the unit of limits.
const milliCoresPerCore = 1000

func organisationPlace(i int, f Field) Place {
	return Place{Section: SectionOrganisations, Index: i, Field: f}
}

func (o Organisation) subject() string { return "organisation " + o.Name }

func (c Configuration) inspectOrganisations(l *findings) {
	names := make(map[string]int)
	for _, o := range c.Organisations {
		if !o.Unusable {
			names[o.Name]++
		}
	}
	for i, o := range c.Organisations {
		if o.Unusable {
			continue
		}
		if names[o.Name] > 1 {
			l.add(DuplicateOrganisation, SeverityError, organisationPlace(i, FieldName), o.subject(),
				"%d organisations have this name: none of them is in force", names[o.Name])
		}
		inspectSettings(l, i, o)
	}
	c.inspectKeys(l, names)
	needsKey := func(q Queue) bool { return !q.Public }
	if len(c.Organisations) > 0 && len(c.Queues) > 0 && !slices.ContainsFunc(c.Queues, needsKey) {
		l.add(NoKeysRequired, SeverityWarning, Place{Section: SectionOrganisations, Index: WholeSection}, "",
			"every queue is public: no key is asked for, and no job counts towards the weight or limit of an organisation")
	}
}

func inspectSettings(l *findings, i int, o Organisation) {
	if len(o.Keys) == 0 {
		l.add(NoKeys, SeverityWarning, organisationPlace(i, FieldKeys), o.subject(), "has no keys: none of its callers can submit jobs")
	}
	if o.Weight == 0 {
		l.add(NoWeight, SeverityWarning, organisationPlace(i, FieldWeight), o.subject(),
			"weight zero: its rate is not limited, and it counts with weight 1 among the others while a pool is full")
	}
	if n := o.Limit.MilliCores; n > 0 && n < milliCoresPerCore {
		l.add(SmallLimit, SeverityWarning, organisationPlace(i, FieldMilliCores), o.subject(),
			"%d thousandths of a core is less than one core in all pools together", n)
	}
}

// inspectKeys looks for keys that are listed twice. names holds how many organisations have a name: those that share one
// are not in force, and neither are their keys.
func (c Configuration) inspectKeys(l *findings, names map[string]int) {
	owners := make(map[organisation.KeyDigest]map[string]bool)
	for _, o := range c.Organisations {
		if names[o.Name] > 1 {
			continue
		}
		for _, key := range o.Keys {
			if owners[key] == nil {
				owners[key] = make(map[string]bool)
			}
			owners[key][o.Name] = true
		}
	}
	for i, o := range c.Organisations {
		listed := make(map[organisation.KeyDigest]bool)
		for k, key := range o.Keys {
			place := organisationPlace(i, FieldKeys)
			place.Key = k + 1
			switch holders := owners[key]; {
			case listed[key]:
				l.add(RepeatedKey, SeverityWarning, place, o.subject(), "lists key %s again", key)
			case holders[o.Name] && len(holders) > 1:
				others := slices.DeleteFunc(slices.Sorted(maps.Keys(holders)), func(n string) bool { return n == o.Name })
				l.add(SharedKey, SeverityError, place, o.subject(), "key %s is also one of %s: it is refused for all", key, strings.Join(others, ", "))
			}
			listed[key] = true
		}
	}
}

// inspectTaskDemands looks for limits that are less than a task of a queue needs. Such jobs are refused.
func (c Configuration) inspectTaskDemands(l *findings, demands map[string]resource.Amount) {
	for _, q := range c.Queues {
		demand, stated := demands[q.Name]
		if !stated || q.Public {
			continue
		}
		for i, o := range c.Organisations {
			if !o.Unusable && !demand.WithinLimit(o.Limit) {
				l.add(TaskAboveLimit, SeverityError, organisationPlace(i, FieldLimit), o.subject(),
					"a task of queue %s needs %s, more than it may have running, %s: such jobs are refused", q.Name, demand, formatLimits(o.Limit))
			}
		}
	}
}
