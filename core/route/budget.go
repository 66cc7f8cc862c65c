package route

// Credits of the retry budget, in attempts, and the detection of an outage.
const (
	// budgetPerRequest is the credit for a new request.
	budgetPerRequest = 0.08
	// budgetPerAnswer is the credit for an answered request.
	budgetPerAnswer = 1.0
	// maxBalance bounds the balance.
	maxBalance = 10.0
	// outageFaults is the number of consecutive failed attempts that indicates an outage.
	outageFaults = 2
	// outageRefusals is the minimum number of consecutive refusals that indicates an outage.
	outageRefusals = 3
)

// RetryBudget limits the retries of all requests of one pool, so that an outage does not
// multiply the load. While targets answer, nearly every request may be retried. When an
// outage begins, the balance is lost, and the retries are limited to a fixed share of the
// new requests. The zero value has an empty balance.
type RetryBudget struct {
	// balance is the number of retries available, at most maxBalance. A negative balance is a debt from the beginning of an outage.
	balance float64
	// consecutiveFaults and consecutiveRefusals count the failed and refused attempts since the last answer.
	consecutiveFaults, consecutiveRefusals int
	// spent counts the retries taken since the last answer.
	spent float64
	// outage is set if the failures since the last answer indicate an outage.
	outage bool
}

// RecordRequest adds the credit for a new request.
func (b *RetryBudget) RecordRequest() {
	b.credit(budgetPerRequest)
}

// RecordAnswer adds the credit for an answered request and ends an outage.
func (b *RetryBudget) RecordAnswer() {
	*b = RetryBudget{balance: b.balance}
	b.credit(budgetPerAnswer)
}

// RecordFailure records a failed or refused attempt while inProgress other requests are in progress. Healthy
// workers refuse requests too, when several entry hosts take their last slot at the same time: refusals
// indicate an outage only if there are at least as many as requests in progress. When an outage begins, the
// balance becomes a debt of the retries taken since the last answer, which the credits of new requests pay back.
func (b *RetryBudget) RecordFailure(f Fault, inProgress int) {
	if f == FaultRefused {
		b.consecutiveRefusals++
	} else {
		b.consecutiveFaults++
	}
	outage := b.consecutiveFaults >= outageFaults || b.consecutiveRefusals >= max(outageRefusals, inProgress)
	if outage && !b.outage {
		b.balance = -b.spent
	}
	b.outage = outage || b.outage
}

// TakeRetry takes a retry after a fault, and reports false if the balance is below one. A retry after
// a refusal is free except in an outage, because a refusal costs the pool almost nothing.
func (b *RetryBudget) TakeRetry(after Fault) bool {
	free := after == FaultRefused && !b.outage
	if !free && b.balance < 1 {
		return false
	}
	if !free {
		b.balance--
	}
	b.spent++
	return true
}

// credit adds an amount to the balance.
func (b *RetryBudget) credit(amount float64) {
	b.balance = min(b.balance+amount, maxBalance)
}
