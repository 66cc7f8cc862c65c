package route

// Shares of the retry budget, in attempts.
const (
	// retryPerRequest is earned by each new request.
	retryPerRequest = 0.08
	// retryPerAnswer is earned by each answered request.
	retryPerAnswer = 1.0
	// maxRetryBalance bounds the attempts saved up.
	maxRetryBalance = 10.0
	// outageStreak is the weight of failures in a row from which saved attempts are lost.
	outageStreak = 8
	// faultWeight and refusalWeight are the weights of a failed and of a refused attempt. Healthy
	// workers refuse too, when several entry hosts take their last slot at the same time.
	faultWeight   = 4
	refusalWeight = 1
)

// Budget bounds the second and later attempts of all requests of one pool. While
// targets answer, nearly every request may be tried again. During a full outage the
// saved attempts are lost, and what remains is a fixed share of the new requests:
// a wave of failures does not multiply the load. The zero value allows no retry yet.
type Budget struct {
	// balance is at most maxRetryBalance. Below zero, it is a debt from the beginning of an outage.
	balance float64
	// streak is the weight of the failures since the last answer.
	streak int
	// spent counts the attempts taken since the last answer.
	spent float64
}

// Arrive earns the share of a new request.
func (b *Budget) Arrive() {
	b.earn(retryPerRequest)
}

// Answer earns the share of an answered request and ends a streak of failures.
func (b *Budget) Answer() {
	b.streak = 0
	b.spent = 0
	b.earn(retryPerAnswer)
}

// Fail notes a failed attempt. Where a streak becomes an outage, the saved attempts
// are lost, and those taken during the streak are paid back from the share of new requests.
func (b *Budget) Fail(f Fault) {
	weight := faultWeight
	if f == FaultRefused {
		weight = refusalWeight
	}
	if b.streak < outageStreak && b.streak+weight >= outageStreak {
		b.balance = -b.spent
	}
	b.streak = min(b.streak+weight, outageStreak)
}

// Spend takes another attempt after a fault, or reports that none is left. A refused
// request costs the pool next to nothing, so it is free while other requests are answered.
func (b *Budget) Spend(after Fault) bool {
	free := after == FaultRefused && b.streak < outageStreak
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
