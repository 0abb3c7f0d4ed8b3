package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/retry"
)

// TestOnlyTheFirstAskOfARequestIsNew has two servers that cannot be reached: the third ask is still for the first attempt.
func TestOnlyTheFirstAskOfARequestIsNew(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	request := retry.Request{MaxAttempts: 3, Deadline: now.Add(time.Minute)}
	must.Eq(t, retry.Ask, request.Start(now).Step)
	must.False(t, request.AskedBefore())
	for range 2 {
		must.Eq(t, retry.Ask, request.Failed(now, retry.Failure{Replayable: true}, random).Step)
		must.Eq(t, 1, request.Number())
		must.True(t, request.AskedBefore())
	}
}
