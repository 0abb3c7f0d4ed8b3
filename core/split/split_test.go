package split

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// TestSplitIsEvenAcrossInstances checks that 44 instances match the weights together when each receives only about 7 of 300
// requests.
func TestSplitIsEvenAcrossInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, share := range []float64{0.1, 0.5, 0.9} {
		for range 200 {
			sequences := make([]*Sequence, 44)
			for i := range sequences {
				sequences[i] = New(random.Uint64())
			}
			selected := 0
			const requests = 300
			for range requests {
				if sequences[random.IntN(len(sequences))].Next() < share {
					selected++
				}
			}
			must.Less(t, 0.1, math.Abs(float64(selected)/requests-share))
		}
	}
}
