package dispatch

// retryBudget limits retries with a token bucket: over any period, the number of retries is at
// most retryRatio times the number of first requests plus the capacity. A sliding window that
// ends at each retry wouldn't ensure this for every period. The bucket starts empty, so a
// restarted proxy has no retries at first.
type retryBudget struct {
	// capacity is the maximum number of tokens; each token allows one retry.
	capacity float64
	// tokens is negative if a deposit was canceled after it had been spent.
	tokens float64
}

const (
	// retryRatio is the fraction of a token that each first request deposits. Targets must
	// see at most one retry per five first requests in any ten seconds, plus the capacity.
	// The ratio is lower than 0.2 because process delays may compress the requests sent
	// in ten seconds into nine seconds at the targets.
	retryRatio = 0.18
	// tokenRounding is the tolerance for floating-point errors of deposits.
	tokenRounding = 1e-9
)

// deposit adds the tokens for a first request.
func (b *retryBudget) deposit() { b.tokens = min(b.capacity, b.tokens+retryRatio) }

// cancelDeposit removes the tokens of a request that wasn't sent. The balance becomes negative
// if they have already been spent.
func (b *retryBudget) cancelDeposit() { b.tokens -= retryRatio }

// withdraw takes the token for a retry, or returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1-tokenRounding {
		return false
	}
	b.tokens--
	return true
}
