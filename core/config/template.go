package config

import (
	"fmt"
	"sort"
	"time"
)

// Limits of the values in templates.
const (
	maxHosts    = 10000
	maxQueued   = 100000
	maxSlots    = 100000
	maxWeight   = 1e6
	maxDeadline = 24 * time.Hour
)

// required is the default value that makes a missing key a problem.
const required = -1

// Source is the source text of the configuration of one organisation.
type Source struct {
	Organisation string `json:"organisation"`
	// Template and Parameters are TOML texts.
	Template   string `json:"template"`
	Parameters string `json:"parameters"`
}

// Names of files in problems.
const (
	fileTemplate   = "template"
	fileParameters = "parameters"
)

// Expand substitutes the parameters in the template. The result holds only the pools, queues and teams of this
// organisation, ordered by name, and no version. If there are problems, it returns ErrInvalid with all of them.
func (s Source) Expand() (Expanded, error) {
	template, problems := parse(fileTemplate, s.Template)
	parameters, more := parse(fileParameters, s.Parameters)
	if problems = append(problems, more...); len(problems) > 0 {
		return Expanded{}, ErrInvalid{Problems: problems}
	}
	declarationReader := &reader{file: fileTemplate, used: map[string]bool{}}
	declared := declarationReader.declarations(template)
	parameterReader := &reader{file: fileParameters, used: map[string]bool{}}
	values := parameterReader.values(parameters, declared)
	parameterReader.checkHeader(parameters, template, s.Organisation)
	templateReader := &reader{file: fileTemplate, parameters: values, used: map[string]bool{}}
	expanded := templateReader.expand(template, s.Organisation)
	templateReader.checkUsed(declared)
	problems = append(declarationReader.problems, append(parameterReader.problems, templateReader.problems...)...)
	if len(problems) > 0 {
		return Expanded{}, ErrInvalid{Problems: sortedUnique(problems)}
	}
	return expanded, nil
}

// sortedUnique returns the problems sorted by file and line, without duplicates.
func sortedUnique(problems []Problem) []Problem {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].File != problems[j].File {
			return problems[i].File > problems[j].File
		}
		return problems[i].Line < problems[j].Line
	})
	var list []Problem
	for _, p := range problems {
		if len(list) == 0 || list[len(list)-1] != p {
			list = append(list, p)
		}
	}
	return list
}

// checkHeader checks that the parameters belong to this organisation and template.
func (r *reader) checkHeader(parameters, template *table, organisation string) {
	r.checkKeys(parameters, "organisation", "template", "values")
	named := r.requiredString(parameters, "organisation", `write organisation = "name"`)
	if named != "" {
		r.checkName(parameters.entries["organisation"].line, "organisation", named)
	}
	if named != "" && named != organisation {
		r.report(parameters.entries["organisation"].line, "organisation",
			fmt.Sprintf("%q is not the organisation %q that the change is for", named, organisation), "apply the change to the organisation of the parameters")
	}
	wanted := r.requiredString(parameters, "template", `write template = "name"`)
	if e, ok := template.entries["name"]; ok && wanted != "" && e.value != any(wanted) {
		r.report(parameters.entries["template"].line, "template",
			fmt.Sprintf("%q is not the template's name %q", wanted, fmt.Sprint(e.value)), "use the template that the parameters were written for")
	}
}

// checkUsed reports declared parameters that the template does not use.
func (r *reader) checkUsed(declared map[string]declaration) {
	for _, name := range sortedNames(declared) {
		if !r.used[name] {
			r.report(declared[name].line, "parameters."+name, "is used nowhere", fmt.Sprintf("write %q as a value or remove the declaration", reference+name))
		}
	}
}

// expand returns the configuration described by a template.
func (r *reader) expand(root *table, organisation string) Expanded {
	r.checkKeys(root, "name", "slots-per-host", "parameters", "pools", "queues", "teams")
	if name := r.requiredString(root, "name", `write name = "template-name"`); name != "" {
		r.checkName(root.entries["name"].line, "name", name)
	}
	slotsPerHost := r.integer(root, "slots-per-host", numberRange{1, 1000}, 8)
	var e Expanded
	for _, t := range r.tables(root, "pools") {
		e.Pools = append(e.Pools, r.pool(t, organisation))
	}
	for _, t := range r.tables(root, "queues") {
		e.Queues = append(e.Queues, r.queue(t, organisation, e))
	}
	for _, t := range r.tables(root, "teams") {
		e.Teams = append(e.Teams, r.team(t, organisation))
	}
	r.checkTotals(root, e, slotsPerHost)
	return e
}

func (r *reader) pool(t *table, organisation string) Pool {
	r.checkKeys(t, "hosts", "min-hosts", "max-hosts", "max-unavailable", "spare", "buffer-weight", "move-weight")
	p := Pool{
		Name:           organisation + "/" + t.lastKey(),
		Organisation:   organisation,
		Hosts:          r.integer(t, "hosts", numberRange{1, maxHosts}, required),
		MinHosts:       r.integer(t, "min-hosts", numberRange{1, maxHosts}, required),
		MaxHosts:       r.integer(t, "max-hosts", numberRange{0, maxHosts}, 0),
		MaxUnavailable: r.integer(t, "max-unavailable", numberRange{1, maxHosts}, required),
		Spare:          r.boolean(t, "spare"),
		BufferWeight:   r.number(t, "buffer-weight", numberRange{0, maxWeight}, 1),
		MoveWeight:     r.number(t, "move-weight", numberRange{0, maxWeight}, 1),
	}
	r.checkPool(t, p)
	return p
}

// checkPool checks the values of a pool against each other.
func (r *reader) checkPool(t *table, p Pool) {
	if p.Hosts < 1 || p.MinHosts < 1 || p.MaxUnavailable < 1 {
		return
	}
	if p.MinHosts > p.Hosts {
		r.report(t.entries["min-hosts"].line, t.keyPath("min-hosts"), fmt.Sprintf("%d is above hosts, %d", p.MinHosts, p.Hosts), "write at most hosts")
	}
	if p.MaxHosts != 0 && p.MaxHosts < p.Hosts {
		r.report(t.entries["max-hosts"].line, t.keyPath("max-hosts"), fmt.Sprintf("%d is below hosts, %d", p.MaxHosts, p.Hosts), "write at least hosts, or 0 for no bound")
	}
	if p.MaxUnavailable >= p.MinHosts {
		r.report(t.entries["max-unavailable"].line, t.keyPath("max-unavailable"),
			fmt.Sprintf("%d could take all %d hosts of the smallest pool out at once", p.MaxUnavailable, p.MinHosts), "write less than min-hosts")
	}
}

func (r *reader) queue(t *table, organisation string, e Expanded) Queue {
	r.checkKeys(t, "pool", "max-queued", "deadline", "urgent")
	pool := r.requiredString(t, "pool", `write pool = "name" of a pool of this template`)
	q := Queue{
		Name:         organisation + "/" + t.lastKey(),
		Organisation: organisation,
		Pool:         organisation + "/" + pool,
		MaxQueued:    r.integer(t, "max-queued", numberRange{1, maxQueued}, required),
		Deadline:     r.duration(t, "deadline", maxDeadline),
		Urgent:       r.boolean(t, "urgent"),
	}
	if _, ok := e.Pool(q.Pool); !ok && pool != "" {
		r.report(t.entries["pool"].line, t.keyPath("pool"), fmt.Sprintf("there is no pool %q", pool), "name a pool of this template")
	}
	return q
}

func (r *reader) team(t *table, organisation string) Team {
	r.checkKeys(t, "weight", "slots", "max-queued")
	return Team{
		Name:         organisation + "/" + t.lastKey(),
		Organisation: organisation,
		Weight:       r.integer(t, "weight", numberRange{1, maxSlots}, 1),
		Slots:        r.integer(t, "slots", numberRange{0, maxSlots}, required),
		MaxQueued:    r.integer(t, "max-queued", numberRange{0, maxQueued}, 0),
	}
}

// checkTotals checks constraints that span all pools and teams.
func (r *reader) checkTotals(root *table, e Expanded, slotsPerHost int) {
	if len(e.Pools) == 0 {
		r.report(root.line, "pools", "there is no pool", "describe at least one pool as [pools.name]")
	}
	spares, hosts := 0, 0
	for _, p := range e.Pools {
		hosts += max(0, p.Hosts)
		if p.Spare {
			spares++
		}
	}
	if spares > 1 {
		r.report(root.entries["pools"].line, "pools", fmt.Sprintf("%d pools are spare", spares), "mark one pool as spare")
	}
	guaranteed := 0
	for _, t := range e.Teams {
		guaranteed += max(0, t.Slots)
	}
	if guaranteed > hosts*slotsPerHost {
		r.report(root.entries["teams"].line, "teams",
			fmt.Sprintf("the teams are guaranteed %d slots, the pools have %d", guaranteed, hosts*slotsPerHost), "lower the slots of teams or raise the hosts of pools")
	}
}

// sortedNames returns the keys of set, sorted.
func sortedNames[T any](set map[string]T) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
