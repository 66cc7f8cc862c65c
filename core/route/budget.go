package route

// Shares of the retry budget, in attempts.
const (
	// retryPerRequest is earned by each new request.
	retryPerRequest = 0.08
	// retryPerAnswer is earned by each answered request.
	retryPerAnswer = 1.0
	// maxRetryBalance bounds the attempts saved up.
	maxRetryBalance = 10.0
	// outageFaults is the number of failed attempts in a row that is taken for an outage.
	outageFaults = 2
	// outageRefusals is the least number of refusals in a row that is taken for an outage.
	outageRefusals = 3
)

// Budget bounds the second and later attempts of all requests of one pool. While
// targets answer, nearly every request may be tried again. In a full outage the
// saved attempts are lost, and what remains is a fixed share of the new requests:
// a wave of failures does not multiply the load. The zero value allows no retry yet.
type Budget struct {
	// balance is at most maxRetryBalance. Below zero, it is a debt from the beginning of an outage.
	balance float64
	// faults and refusals count the failed and refused attempts since the last answer.
	faults, refusals int
	// spent counts the attempts taken since the last answer.
	spent float64
	// outage tells that those since the last answer are taken for an outage.
	outage bool
}

// Arrive earns the share of a new request.
func (b *Budget) Arrive() {
	b.earn(retryPerRequest)
}

// Answer earns the share of an answered request and ends an outage.
func (b *Budget) Answer() {
	*b = Budget{balance: b.balance}
	b.earn(retryPerAnswer)
}

// Fail notes a failed or refused attempt beside busy others in progress. Healthy workers refuse
// too, when several entry hosts take their last slot at the same time: as long as more
// requests are in progress, refusals are no outage. When an outage begins, the saved attempts
// are lost, and those taken since the last answer are paid back from the share of new requests.
func (b *Budget) Fail(f Fault, busy int) {
	if f == FaultRefused {
		b.refusals++
	} else {
		b.faults++
	}
	outage := b.faults >= outageFaults || b.refusals >= max(outageRefusals, busy)
	if outage && !b.outage {
		b.balance = -b.spent
	}
	b.outage = outage || b.outage
}

// Spend takes another attempt after a fault, or reports that none is left. After a
// refusal, which costs the pool next to nothing, it is free unless there is an outage.
func (b *Budget) Spend(after Fault) bool {
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

func (b *Budget) earn(share float64) {
	b.balance = min(b.balance+share, maxRetryBalance)
}
