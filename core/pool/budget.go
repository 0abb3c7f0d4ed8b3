package pool

// Retry budget: tokens that first attempts earn and further ones spend.
const (
	budgetEarned = 0.2 // per first attempt
	budgetMost   = 20.0
	hedgeMost    = budgetMost / 2 // hedges leave the other half to retries
	verifyMost   = 6.0            // verifications leave the rest to hedges
)

// budget bounds retries and hedges to a share of the first attempts; the zero value is full.
type budget struct {
	spent float64
}

func (budget *budget) earn() {
	budget.spent = max(0, budget.spent-budgetEarned)
}

// spend takes a token, if that leaves no more than most spent.
func (budget *budget) spend(most float64) bool {
	if budget.spent+1 > most {
		return false
	}
	budget.spent++
	return true
}

// mostFor returns how many tokens may be spent after a retry or a hedge.
func mostFor(hedge bool) float64 {
	if hedge {
		return hedgeMost
	}
	return budgetMost
}
