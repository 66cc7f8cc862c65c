package work

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWorkersPerRequest is the maximum number of workers in one approval request. Callers' objectives allow
	// for a call with this many workers for each step.
	maxWorkersPerRequest = 30
	// maxApprovalRequestsInFlight limits the calls to the policy service that have no answer yet. The service
	// processes the calls of an entry host one at a time, so one waiting call beside the current one is enough.
	maxApprovalRequestsInFlight = 2
	// approvalRetryDelay is the delay after a call that the policy service refused or did not answer.
	approvalRetryDelay = 150 * time.Millisecond
	// ticketExpiryMargin is the time by which a ticket is treated as expired early. It covers the start order
	// and the answer that contained the ticket.
	ticketExpiryMargin = 50 * time.Millisecond
	// defaultTicketValidity is the validity of tickets on a queue that was not known to need them. It is the
	// platform's usual value.
	defaultTicketValidity = 3 * time.Second
	// slotsPerTask is the number of free slots that a request should yield for each waiting task. Other steps
	// take some of the slots meanwhile.
	slotsPerTask = 2
)

// ApprovalRequest asks the policy service which of the workers may run a step of one occurrence of a job.
type ApprovalRequest struct {
	Job              JobID
	Occurrence, Step int
	Workers          []Incarnation
}

// ApprovalResponse is the policy service's answer to an ApprovalRequest.
type ApprovalResponse struct {
	// Tickets holds the ticket of each worker that may run the step, by worker ID.
	Tickets map[string]string
	// Failed is true if there was no usable answer.
	Failed bool
}

// approval is the policy service's decision about one incarnation and one step.
type approval struct {
	// ticket is sent with starts until validUntil. It is empty if the worker may not run the step, which does
	// not change.
	ticket     string
	validUntil time.Time
}

func (a approval) isDenied() bool { return a.ticket == "" }

func (a approval) isValid(now time.Time) bool { return !a.isDenied() && now.Before(a.validUntil) }

// approvalRate estimates the share of workers that may run the steps of a queue. The zero value has no samples.
type approvalRate struct{ requested, approved float64 }

func (r approvalRate) estimate() float64 { return (r.approved + 1) / (r.requested + 2) }

// needsApproval reports whether starts of the step need a ticket.
func (g *taskGroup) needsApproval() bool { return g.job.PolicyService.Required() }

// isApproved reports whether the step's tasks may be started on the worker now.
func (g *taskGroup) isApproved(w *worker, now time.Time) bool {
	return !g.needsApproval() || g.approvals[w.Incarnation].isValid(now)
}

// responseTime returns the time that the policy service takes for a request with this number of workers.
func (p PolicyService) responseTime(workers int) time.Duration {
	if !p.Required() {
		return 0
	}
	return p.CallDuration + time.Duration(workers)*p.DurationPerWorker
}

// CanApprove reports whether a ticket for one worker is still valid when it arrives.
func (p PolicyService) CanApprove() bool {
	return !p.Required() || p.TicketValidity > p.responseTime(1)+ticketExpiryMargin
}

// NextApprovalRequests returns the requests to send to the policy service now, for the most urgent steps. The
// caller passes the answers to HandleApprovals.
func (s *Scheduler) NextApprovalRequests(now time.Time) []ApprovalRequest {
	s.initialise()
	var list []ApprovalRequest
	if now.Before(s.nextApprovalRequest) {
		return nil
	}
	for _, g := range s.groups {
		if s.approvalRequestsInFlight >= maxApprovalRequestsInFlight {
			break
		}
		if !g.unplaced || !g.needsApproval() || g.approvalRequested {
			continue
		}
		if workers := s.workersToAsk(g, now); len(workers) > 0 {
			g.approvalRequested = true
			s.approvalRequestsInFlight++
			list = append(list, ApprovalRequest{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Workers: workers})
		}
	}
	return list
}

// workersToAsk returns the workers to ask about, those with the most free slots first, until enough of them are
// expected to be approved. Workers without room are included only if nothing is known about them, so that the
// step is approved by the time that they have room.
func (s *Scheduler) workersToAsk(g *taskGroup, now time.Time) []Incarnation {
	type candidate struct {
		*worker
		slots int
	}
	var candidates []candidate
	for _, w := range s.sortedWorkers {
		known, decided := g.approvals[w.Incarnation]
		if !w.isReady(now) || !s.isSuitable(g, w) || (decided && (known.isDenied() || known.isValid(now))) {
			continue
		}
		if slots := w.taskSlots(g.spec().reservedResources()); slots > 0 || !decided {
			candidates = append(candidates, candidate{w, slots})
		}
	}
	slices.SortStableFunc(candidates, func(a, c candidate) int { return cmp.Compare(c.slots, a.slots) })
	rate := s.approvalRates[g.job.Queue].estimate()
	slots := 0.0
	var incarnations []Incarnation
	for _, c := range candidates {
		if len(incarnations) == maxWorkersPerRequest || slots >= slotsPerTask*float64(g.remainingTasks) {
			break
		}
		incarnations = append(incarnations, c.Incarnation)
		slots += rate * float64(max(1, c.slots))
	}
	return incarnations
}

// isSuitable reports whether the worker could run a task of the step if it had room.
func (s *Scheduler) isSuitable(g *taskGroup, w *worker) bool {
	spec := g.spec()
	return w.hasLabel(spec.RequiredLabel) && w.Capacity.Covers(spec.reservedResources()) && (spec.SpreadLimit == 0 || g.runsOn(w) < spec.SpreadLimit)
}

// taskSlots returns the number of tasks with this demand that fit into the free resources of the worker, at most
// maxWorkersPerRequest.
func (w *worker) taskSlots(demand Resources) int {
	n := 0
	for need := demand; n < maxWorkersPerRequest && w.freeResources().Covers(need); need = need.Add(demand) {
		n++
	}
	return n
}

// HandleApprovals processes the answer to an approval request.
func (s *Scheduler) HandleApprovals(req ApprovalRequest, res ApprovalResponse, now time.Time) {
	s.approvalRequestsInFlight--
	g := s.findGroup(req)
	if g != nil {
		g.approvalRequested = false
	}
	if res.Failed {
		s.nextApprovalRequest = now.Add(approvalRetryDelay)
		return
	}
	if g == nil {
		return
	}
	if g.approvals == nil {
		g.approvals = make(map[Incarnation]approval)
	}
	advice := g.job.PolicyService
	rate := s.approvalRates[g.job.Queue]
	until := now.Add(advice.TicketValidity - advice.responseTime(len(req.Workers)) - ticketExpiryMargin)
	for _, inc := range req.Workers {
		ticket := res.Tickets[inc.Worker]
		g.approvals[inc] = approval{ticket: ticket, validUntil: until}
		rate.requested++
		if ticket != "" {
			rate.approved++
		}
	}
	s.approvalRates[g.job.Queue] = rate
}

func (s *Scheduler) findGroup(req ApprovalRequest) *taskGroup {
	j := s.jobs[req.Job]
	if j == nil {
		return nil
	}
	for _, g := range j.groups {
		if g.occurrence == req.Occurrence && g.step == req.Step {
			return g
		}
	}
	return nil
}

// handleRefusedTicket discards the approval of a worker that refused a start for lack of a valid ticket, so that
// it is requested again.
func (g *taskGroup) handleRefusedTicket(inc Incarnation) {
	delete(g.approvals, inc)
	if !g.needsApproval() {
		g.job.PolicyService.TicketValidity = defaultTicketValidity
	}
}
