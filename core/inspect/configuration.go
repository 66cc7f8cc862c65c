package inspect

import (
	"siskincross/core/organisation"
	"siskincross/core/resource"
	"siskincross/core/work"
)

// Configuration is a version of the operators' configuration with all its entries in their order, also those that are not
// in force.
type Configuration struct {
	Version       uint64
	Queues        []Queue
	Pools         []work.Pool
	Organisations []Organisation
	Limits        work.RequestLimits
}

// Queue is a queue as it is configured.
type Queue struct {
	work.Queue
	// Attempts is the configured maximum number of failed attempts.
	Attempts int
}

// Organisation is an organisation as it is configured.
type Organisation struct {
	organisation.Organisation
	// Unusable is true if the settings can't be decoded; only the name may then be set.
	Unusable bool
}

// Options are what a configuration doesn't contain. The zero value leaves out the findings that need them.
type Options struct {
	// TaskDemands holds the resources of the largest task that is submitted to a queue, by the name of the queue.
	TaskDemands map[string]resource.Amount
}

// Findings returns what is wrong in a configuration, without paths and lines.
func (c Configuration) Findings(o Options) []Finding {
	var list findings
	if c.Version == 0 {
		list.add(StaleVersion, SeverityError, Place{Field: FieldVersion}, "", "no version above zero: it is ignored")
	}
	c.inspectQueues(&list)
	c.inspectPools(&list)
	c.inspectOrganisations(&list)
	c.inspectTaskDemands(&list, o.TaskDemands)
	if c.Limits.MaxBodyBytes < 0 {
		list.add(ValueOutOfRange, SeverityWarning, Place{Section: SectionLimits, Field: FieldMaxBodyBytes}, "",
			"%d bytes is negative: bodies are not limited", c.Limits.MaxBodyBytes)
	}
	return list
}
