package dispatch

// retryBudget bounds retries with a token bucket: over any span of time, retries are at
// most retryRatio of the first requests plus the capacity. (A sliding window counted back
// from each retry would let a later span exceed that.) It starts empty, so that a
// restarted proxy has no retries to begin with.
type retryBudget struct {
	// capacity is the most tokens that are kept, in retries.
	capacity float64
	// tokens is negative while cancelled deposits are owed.
	tokens float64
}

const (
	// retryRatio is the part of a retry that each first request deposits. Targets are
	// promised no more than one retry for five first requests in any ten seconds, beyond
	// the budget's capacity. It is a little under that, as what leaves here within ten
	// seconds may reach targets within nine if this process is delayed just then.
	retryRatio = 0.18
	// tokenRounding makes up for rounding errors of deposits.
	tokenRounding = 1e-9
)

// deposit adds the share of one first request.
func (b *retryBudget) deposit() { b.tokens = min(b.capacity, b.tokens+retryRatio) }

// cancelDeposit takes back the share of a request that wasn't sent after all. If it has been
// spent meanwhile, the budget is in debt.
func (b *retryBudget) cancelDeposit() { b.tokens -= retryRatio }

// withdraw takes one retry, or returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1-tokenRounding {
		return false
	}
	b.tokens--
	return true
}
