package pool

// Retry budget: tokens that first attempts earn and further ones spend.
const (
	budgetEarned = 0.2 // per first attempt
	budgetMost   = 20.0
	hedgeMost    = budgetMost / 2 // hedges leave the other half to retries
)

// budget bounds retries and hedges to a share of the first attempts; the zero value is full.
type budget struct {
	spent float64
}

func (budget *budget) earn() {
	budget.spent = max(0, budget.spent-budgetEarned)
}

// spend takes a token for a retry or a hedge, if one is left.
func (budget *budget) spend(hedge bool) bool {
	most := budgetMost
	if hedge {
		most = hedgeMost
	}
	if budget.spent+1 > most {
		return false
	}
	budget.spent++
	return true
}
