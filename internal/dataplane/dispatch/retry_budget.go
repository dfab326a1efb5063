package dispatch

// retryBudget bounds retries. A bucket rather than a sliding window: over any span
// at all, retries are at most a fifth of the first requests plus the depth,
// while a window counted back from each retry lets a later span pass that.
// It starts empty, so a restarted proxy has no allowance to begin with.
type retryBudget struct {
	capacity float64
	tokens   float64
}

// retryRatio is a little under one in five: what leaves here within ten seconds
// may reach targets within nine, if this process is held up just then.
const retryRatio = 0.18

func (b *retryBudget) deposit() { b.tokens = min(b.capacity, b.tokens+retryRatio) }

// cancelDeposit takes a share back for a request that didn't leave after all; what
// was spent of it meanwhile becomes a debt.
func (b *retryBudget) cancelDeposit() { b.tokens -= retryRatio }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
