package pool

// Verifications spend tokens that first attempts earn.
const (
	verifyShare = 0.1 // earned per first attempt
	verifyBurst = 8.0
)

// budget limits additional attempts to a share of the first attempts. The zero value is full.
type budget struct {
	spent float64
}

// earn adds tokens up to a full budget.
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
