package work

import (
	"cmp"
	"slices"
	"time"
)

const (
	// inquiryWorkers is the most workers that one inquiry names: callers' objectives allow for a call on as many for each step.
	inquiryWorkers = 30
	// inquiriesAtOnce is how many calls of the policy service wait at once: it answers an entry host's in turn, so one
	// more than the one in work is enough.
	inquiriesAtOnce = 2
	// inquiryRetry is the pause after a call that the policy service refused or did not answer.
	inquiryRetry = 150 * time.Millisecond
	// ticketMargin is how much earlier than stated a ticket counts as over: the time of a start order and of the answer that brought it.
	ticketMargin = 50 * time.Millisecond
	// assumedValidity is how long tickets count on a queue that was not known to need them: the platform's usual time.
	assumedValidity = 3 * time.Second
	// enoughPlaces is how many places an inquiry should bring for each task that waits: other steps take some of them meanwhile.
	enoughPlaces = 2
)

// Inquiry asks the policy service which of some workers may run a step of one occurrence of a job.
type Inquiry struct {
	Job              ID
	Occurrence, Step int
	Workers          []Life
}

// Advised is what the policy service answered to an inquiry.
type Advised struct {
	// Tickets holds the approval of each worker that may run the step, by the worker's ID.
	Tickets map[string]string
	// Failed is true if there was no answer that can be used.
	Failed bool
}

// approval is what is known of a life of a worker for one step.
type approval struct {
	// ticket goes with starts until then; it is empty if the worker may not run the step, which stays so.
	ticket string
	until  time.Time
}

func (a approval) denied() bool { return a.ticket == "" }

func (a approval) valid(now time.Time) bool { return !a.denied() && now.Before(a.until) }

// approvalShare learns which share of the workers asked about may run a step of a queue. The zero value has learnt nothing.
type approvalShare struct{ asked, approved float64 }

func (s approvalShare) estimate() float64 { return (s.approved + 1) / (s.asked + 2) }

// needsAdvice reports whether starts of the step need a ticket.
func (g *group) needsAdvice() bool { return g.job.Advice.Needed() }

// admits reports whether the step's tasks may be started on the worker now.
func (g *group) admits(w *worker, now time.Time) bool {
	return !g.needsAdvice() || g.approvals[w.Life].valid(now)
}

// adviceTime is how long the policy service takes for one inquiry.
func (a Advice) adviceTime(workers int) time.Duration {
	if !a.Needed() {
		return 0
	}
	return a.Decision + time.Duration(workers)*a.Each
}

// Inquiries returns what the policy service has to be asked now, for the steps that come first. The owner hands the answers to Advised.
func (b *Board) Inquiries(now time.Time) []Inquiry {
	b.init()
	var list []Inquiry
	if now.Before(b.inquireAfter) {
		return nil
	}
	for _, g := range b.groups {
		if b.inquiring >= inquiriesAtOnce {
			break
		}
		if !g.searching || !g.needsAdvice() || g.inquiring {
			continue
		}
		if workers := b.worthAsking(g, now); len(workers) > 0 {
			g.inquiring = true
			b.inquiring++
			list = append(list, Inquiry{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Workers: workers})
		}
	}
	return list
}

// worthAsking returns the workers to ask about: those with room first, until enough of them are expected to be approved.
// Of workers without room only those are asked about of which nothing is known, so that the step is ready when they have room.
func (b *Board) worthAsking(g *group, now time.Time) []Life {
	type candidate struct {
		*worker
		fits int
	}
	var candidates []candidate
	for _, w := range b.order {
		known, asked := g.approvals[w.Life]
		if !w.open(now) || !b.suits(g, w) || (asked && (known.denied() || known.valid(now))) {
			continue
		}
		if fits := w.fits(g.spec().counted()); fits > 0 || !asked {
			candidates = append(candidates, candidate{w, fits})
		}
	}
	slices.SortStableFunc(candidates, func(a, c candidate) int { return cmp.Compare(c.fits, a.fits) })
	share := b.approving[g.job.Queue].estimate()
	places := 0.0
	var lives []Life
	for _, c := range candidates {
		if len(lives) == inquiryWorkers || places >= enoughPlaces*float64(g.left) {
			break
		}
		lives = append(lives, c.Life)
		places += share * float64(max(1, c.fits))
	}
	return lives
}

// suits reports whether the worker could run a task of the step, had it room.
func (b *Board) suits(g *group, w *worker) bool {
	spec := g.spec()
	return w.hasLabel(spec.Label) && w.Capacity.Holds(spec.counted()) && (spec.SpreadLimit == 0 || g.on(w) < spec.SpreadLimit)
}

// fits is how many tasks with a demand have room on the worker, up to as many as an inquiry names workers.
func (w *worker) fits(demand Resources) int {
	n := 0
	for need := demand; n < inquiryWorkers && w.free().Holds(need); need = need.Plus(demand) {
		n++
	}
	return n
}

// Advised takes in the answer to an inquiry.
func (b *Board) Advised(q Inquiry, a Advised, now time.Time) {
	b.inquiring--
	g := b.groupOf(q)
	if g != nil {
		g.inquiring = false
	}
	if a.Failed {
		b.inquireAfter = now.Add(inquiryRetry)
		return
	}
	if g == nil {
		return
	}
	if g.approvals == nil {
		g.approvals = make(map[Life]approval)
	}
	advice := g.job.Advice
	share := b.approving[g.job.Queue]
	until := now.Add(advice.Validity - advice.adviceTime(len(q.Workers)) - ticketMargin)
	for _, life := range q.Workers {
		ticket := a.Tickets[life.Worker]
		g.approvals[life] = approval{ticket: ticket, until: until}
		share.asked++
		if ticket != "" {
			share.approved++
		}
	}
	b.approving[g.job.Queue] = share
}

func (b *Board) groupOf(q Inquiry) *group {
	j := b.jobs[q.Job]
	if j == nil {
		return nil
	}
	for _, g := range j.groups {
		if g.occurrence == q.Occurrence && g.step == q.Step {
			return g
		}
	}
	return nil
}

// ticketRefused notes that a worker did not accept the ticket of a start, or missed one: the step asks again.
func (g *group) ticketRefused(life Life) {
	delete(g.approvals, life)
	if !g.needsAdvice() {
		g.job.Advice.Validity = assumedValidity
	}
}
