// Package head bounds the memory that the heads of requests take up: it follows the bytes of a connection and sums up what they cost.
//
// It responds to the number and size of the heads that are read or in progress at a time. It does not respond to the rate of requests.
package head

// Upper estimates of the memory that a head takes up, for its parsed form and two copies of it, one for an attempt and one for a hedge.
const (
	// lineCost is for lines with distinct short names, the costliest: up to 384 bytes for each were measured (TestCostIsNotBelowTheMemoryInUse).
	lineCost = 400
	// byteCost is for the bytes of names and values. Copies share them, but allocations are rounded up and the bytes are buffered too.
	byteCost = 2
)

// ordinaryCost is the cost of the largest ordinary head: 25 lines and 3 KB of values are about 16 KB.
const ordinaryCost = 16 << 10

// unusualShare is the share of a budget that heads which are larger than ordinary ones may fill.
const unusualShare = 0.5

// Size is the size of a head, or of what may become one.
type Size struct{ Bytes, Lines int }

// Cost returns the memory that a head of the size takes up at most, in bytes.
func (size Size) Cost() int64 { return int64(size.Bytes)*byteCost + int64(size.Lines)*lineCost }

// Budget bounds the sum of the costs of heads. It is not safe for concurrent use.
type Budget struct {
	Limit int64 // bytes

	used int64
}

// Resize changes the cost of one head. It returns false, and changes nothing, if the head grows and there is no room for it. A head that is the
// only one always has room, whatever its size: a legal request is served by an idle instance.
func (budget *Budget) Resize(from, to int64) bool {
	others := budget.used - from
	limit := budget.Limit
	if to > ordinaryCost {
		limit = int64(unusualShare * float64(limit))
	}
	if to > from && others > 0 && others+to > limit {
		return false
	}
	budget.used = others + to
	return true
}

// Used returns the sum of the costs.
func (budget *Budget) Used() int64 { return budget.used }
