package yamux

import (
	"context"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/limit"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/quota"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// tokensTimeout is the longest wait for tokens. It is longer than that for other replies: an instance without processor time finds all
// others slow, and a refusal for want of a count costs the caller more than the wait.
const tokensTimeout = 250 * time.Millisecond

// TakeTokens requests tokens of a team's limit from the instance that counts the team. It implements quota.Link.
func (client *Client) TakeTokens(ctx context.Context, to entry.Peer, team string, want limit.Want) (limit.Grant, error) {
	frame := &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{Team: team, Want: uint32(want.Tokens), Priority: uint32(want.Priority)}}}
	reply, err := client.callWithTimeout(ctx, "take-tokens", to, frame, max(tokensTimeout, client.ResponseTimeout))
	if err != nil {
		return limit.Grant{}, err
	}
	return grantFromWire(reply.GetTokensReply(), client.Clock()), nil
}

// ReturnTokens gives back tokens of requests that were not run. It implements quota.Link.
func (client *Client) ReturnTokens(ctx context.Context, to entry.Peer, team string, count int) error {
	return client.sendOneWay(ctx, "return-tokens", to, &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{Team: team, Returned: uint32(count)}}})
}

// SendCounts sends counts to an instance that may count the teams next. It implements quota.Link.
func (client *Client) SendCounts(ctx context.Context, to entry.Peer, counts []quota.Count) error {
	message := &wire.Counts{}
	for _, c := range counts {
		message.Counts = append(message.Counts, &wire.Count{Team: c.Team, Used: c.Used})
	}
	return client.sendOneWay(ctx, "counts", to, &wire.Frame{Body: &wire.Frame_Counts{Counts: message}})
}

func countsFromWire(message *wire.Counts) []quota.Count {
	counts := make([]quota.Count, 0, len(message.GetCounts()))
	for _, c := range message.GetCounts() {
		counts = append(counts, quota.Count{Team: c.GetTeam(), Used: c.GetUsed()})
	}
	return counts
}

func wantFromWire(message *wire.Tokens) limit.Want {
	return limit.Want{Tokens: int(message.GetWant()), Priority: int(min(message.GetPriority(), rules.MaxPriority))}
}

func grantToWire(grant limit.Grant, now time.Time) *wire.TokensReply {
	return &wire.TokensReply{Granted: uint32(grant.Tokens), RetryAfterNanos: nanosUntil(now, grant.RetryAt), NextNanos: nanosUntil(now, grant.NextAt)}
}

func grantFromWire(message *wire.TokensReply, now time.Time) limit.Grant {
	return limit.Grant{
		Tokens: int(message.GetGranted()), NextAt: deadlineAfter(now, message.GetNextNanos()), RetryAt: deadlineAfter(now, message.GetRetryAfterNanos()),
	}
}
