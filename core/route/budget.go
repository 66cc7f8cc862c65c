package route

// Shares of the retry budget, in attempts.
const (
	// retryPerRequest is earned by each new request.
	retryPerRequest = 0.08
	// retryPerAnswer is earned by each answered request.
	retryPerAnswer = 1.0
	// maxRetryBalance bounds the attempts saved up.
	maxRetryBalance = 10.0
	// outageStreak is the number of failures in a row after which saved attempts are lost.
	outageStreak = 2
)

// Budget bounds the second and later attempts of all requests of one pool. While
// targets answer, nearly every request may be tried again. During a full outage the
// saved attempts are lost, and what remains is a fixed share of the new requests:
// a wave of failures does not multiply the load. The zero value allows no retry yet.
type Budget struct {
	// balance is in [0, maxRetryBalance].
	balance float64
	// failures counts the failed attempts since the last answer.
	failures int
}

// Arrive earns the share of a new request.
func (b *Budget) Arrive() {
	b.earn(retryPerRequest)
}

// Answer earns the share of an answered request and ends a streak of failures.
func (b *Budget) Answer() {
	b.failures = 0
	b.earn(retryPerAnswer)
}

// Fail notes a failed attempt. Where a streak becomes an outage, the saved attempts are lost.
func (b *Budget) Fail() {
	b.failures++
	if b.failures == outageStreak {
		b.balance = 0
	}
}

// Spend takes one attempt, or reports that none is left.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) earn(share float64) {
	b.balance = min(b.balance+share, maxRetryBalance)
}
