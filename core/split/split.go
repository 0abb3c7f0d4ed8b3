// Package split distributes the requests of a route over its services by weight.
package split

import (
	"math"
	"math/bits"
)

// Sequence generates points in [0, 1) with low discrepancy: even a few points cover the range evenly.
//
// It is an additive recurrence with the golden ratio (a Kronecker sequence). With random starting points, many instances that
// each receive few requests match the weights together. Each request uses one point. The zero value starts at 0.
type Sequence struct {
	state uint64
}

// goldenRatioFraction is the fractional part of the golden ratio as a 64-bit fixed-point number.
const goldenRatioFraction = 0x9e3779b97f4a7c15

// New returns a sequence with the given random starting point.
func New(random uint64) *Sequence { return &Sequence{state: random} }

// Next returns the next point.
func (sequence *Sequence) Next() float64 {
	sequence.state, _ = bits.Add64(sequence.state, goldenRatioFraction, 0)
	return float64(sequence.state>>11) / math.Exp2(53)
}
