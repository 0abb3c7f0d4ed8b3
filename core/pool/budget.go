package pool

// Token budgets: first attempts earn tokens; retries, hedges and verifications spend them.
const (
	defaultRetryShare = 0.2 // earned per first attempt, for retries and hedges
	defaultRetryBurst = 20.0
	hedgeBurstShare   = 0.5  // of the burst; the rest is reserved for retries
	initialSpentShare = 0.25 // of the burst that a new pool counts as spent, low enough to allow hedges
	verifyShare       = 0.1  // earned per first attempt, for verifications
	verifyBurst       = 8.0
)

// budget limits additional attempts to a share of the first attempts. The zero value is full.
type budget struct {
	spent float64
}

func (budget *budget) earn(tokens float64) {
	budget.spent = max(0, budget.spent-tokens)
}

// spend takes a token and reports true, unless more than limit tokens would then be spent.
func (budget *budget) spend(limit float64) bool {
	if budget.spent+1 > limit {
		return false
	}
	budget.spent++
	return true
}

// maxSpent returns the limit on spent tokens for a retry or a hedge.
func (policy *Policy) maxSpent(hedge bool) float64 {
	if hedge {
		return hedgeBurstShare * policy.RetryBurst
	}
	return policy.RetryBurst
}
