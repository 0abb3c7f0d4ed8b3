package yamux

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/locality"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// nanosUntil returns the time until a deadline in nanoseconds, at least 1; it returns 0 for the zero time.
func nanosUntil(now, deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, deadline.Sub(now).Nanoseconds())
}

// deadlineAfter returns the deadline that is nanos from now, or the zero time if nanos is 0.
func deadlineAfter(now time.Time, nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(nanos))
}

// targetNanos returns the time until a request's target latency in nanoseconds, negative once it has passed; it returns 0 for the zero
// time.
func targetNanos(now, targetAt time.Time) int64 {
	if targetAt.IsZero() {
		return 0
	}
	if nanos := targetAt.Sub(now).Nanoseconds(); nanos != 0 {
		return nanos
	}
	return -1
}

func sliceOf(service string, index uint32) home.Slice {
	return home.Slice{Service: service, Index: int(index)}
}

func askToWire(slice home.Slice, ask pool.Ask, now time.Time) *wire.Ask {
	return &wire.Ask{
		Attempt: ask.Attempt, Service: slice.Service, Slice: uint32(slice.Index), Team: ask.Team,
		Idempotent: ask.Idempotent, Hedge: ask.Hedge, Number: uint32(ask.Number), Exclude: ask.Exclude,
		WaitNanos: nanosUntil(now, ask.Deadline), Fingerprint: ask.Fingerprint, Verify: ask.Verify, NoWait: ask.NoWait,
		Priority: uint32(ask.Priority), Large: ask.Large, Last: ask.Last, Paused: ask.Paused, Earned: ask.Earned, Burst: ask.Burst,
		TargetNanos: targetNanos(now, ask.TargetAt),
	}
}

func askFromWire(message *wire.Ask, now time.Time) (home.Slice, pool.Ask) {
	return sliceOf(message.GetService(), message.GetSlice()), pool.Ask{
		Attempt: message.GetAttempt(), Team: message.GetTeam(), Idempotent: message.GetIdempotent(),
		Hedge: message.GetHedge(), Number: int(message.GetNumber()), Exclude: message.GetExclude(),
		Deadline: deadlineAfter(now, message.GetWaitNanos()), Fingerprint: message.GetFingerprint(), Verify: message.GetVerify(), NoWait: message.GetNoWait(),
		Priority: int(message.GetPriority()), Large: message.GetLarge(), Last: message.GetLast(), Paused: message.GetPaused(), Earned: message.GetEarned(), Burst: message.GetBurst(),
		TargetAt: deadlineAfter(now, message.GetTargetNanos()),
	}
}

func decisionToWire(decision pool.Decision, snapshot pool.Snapshot, now time.Time) *wire.Decision {
	message := &wire.Decision{
		Attempt: decision.Attempt, Verdict: uint32(decision.Verdict), Server: decision.Server,
		ServerDomain: decision.Domain, SuspectNanos: nanosUntil(now, decision.SuspectAt),
		RetryAfterNanos: nanosUntil(now, decision.RetryAt), Fresh: decision.Fresh, Close: decision.Close,
		Ejected: ejectedToWire(snapshot.Ejected, now), Leavers: leaversToWire(snapshot.Leaving), StartedUnixNanos: unixNanos(decision.Started),
		WaitedNanos: decision.Waited.Nanoseconds(), Load: loadToWire(snapshot.Load),
	}
	if decision.Address.IsValid() {
		message.Address = decision.Address.String()
	}
	return message
}

// decisionFromWire converts a decision. A grant without a valid address becomes a refusal.
func decisionFromWire(message *wire.Decision, now time.Time) (pool.Decision, pool.Snapshot) {
	decision := pool.Decision{
		Attempt: message.GetAttempt(), Verdict: pool.Verdict(message.GetVerdict()), Server: message.GetServer(),
		Domain: message.GetServerDomain(), SuspectAt: deadlineAfter(now, message.GetSuspectNanos()),
		RetryAt: deadlineAfter(now, message.GetRetryAfterNanos()), Fresh: message.GetFresh(), Close: message.GetClose(),
		Started: unixTime(message.GetStartedUnixNanos()), Waited: time.Duration(max(0, message.GetWaitedNanos())),
	}
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil && decision.Verdict == pool.Granted {
		decision.Verdict = pool.NoServer
	}
	decision.Address = address
	return decision, pool.Snapshot{
		Ejected: ejectedFromWire(message.GetEjected(), now), Leaving: leaversFromWire(message.GetLeavers()), Load: loadFromWire(message.GetLoad()),
	}
}

func loadToWire(load *pool.Load) *wire.SliceLoad {
	if load == nil {
		return nil
	}
	return &wire.SliceLoad{
		Slots: uint32(load.Slots), InUse: uint32(load.InUse), Queued: uint32(load.Queued), HoldNanos: load.HoldTime.Nanoseconds(),
		Failing: load.Failing,
	}
}

func loadFromWire(message *wire.SliceLoad) *pool.Load {
	if message == nil {
		return nil
	}
	return &pool.Load{
		Load: locality.Load{
			Slots: int(message.GetSlots()), InUse: int(message.GetInUse()), Queued: int(message.GetQueued()),
			HoldTime: time.Duration(max(0, message.GetHoldNanos())),
		},
		Failing: message.GetFailing(),
	}
}

func leaversToWire(leavers []pool.LeavingServer) []*wire.Leaver {
	var out []*wire.Leaver
	for _, leaver := range leavers {
		out = append(out, &wire.Leaver{Server: leaver.Server, StartedUnixNanos: unixNanos(leaver.Started)})
	}
	return out
}

func leaversFromWire(messages []*wire.Leaver) []pool.LeavingServer {
	var out []pool.LeavingServer
	for _, m := range messages {
		out = append(out, pool.LeavingServer{Server: m.GetServer(), Started: unixTime(m.GetStartedUnixNanos())})
	}
	return out
}

func ejectedToWire(ejected []pool.Ejected, now time.Time) []*wire.Ejected {
	var out []*wire.Ejected
	for _, e := range ejected {
		out = append(out, &wire.Ejected{Server: e.Server, RemainingNanos: nanosUntil(now, e.Until), Count: uint32(e.Count)})
	}
	return out
}

func ejectedFromWire(messages []*wire.Ejected, now time.Time) []pool.Ejected {
	var out []pool.Ejected
	for _, m := range messages {
		out = append(out, pool.Ejected{Server: m.GetServer(), Until: deadlineAfter(now, m.GetRemainingNanos()), Count: int(m.GetCount())})
	}
	return out
}

func reportToWire(slice home.Slice, report pool.Report, now time.Time) *wire.Report {
	return &wire.Report{
		Attempt: report.Attempt, Service: slice.Service, Slice: uint32(slice.Index), Server: report.Server,
		Outcome: uint32(report.Outcome), FirstByteNanos: report.FirstByte.Nanoseconds(), Reused: report.Reused,
		Leaving: report.Leaving, Overdue: report.Overdue, Fingerprint: report.Fingerprint, Ongoing: report.Ongoing,
		PausedNanos: nanosUntil(now, report.PausedUntil),
	}
}

func reportFromWire(message *wire.Report, now time.Time) (home.Slice, pool.Report) {
	return sliceOf(message.GetService(), message.GetSlice()), pool.Report{
		Attempt: message.GetAttempt(), Server: message.GetServer(), Outcome: pool.Outcome(message.GetOutcome()),
		FirstByte: time.Duration(message.GetFirstByteNanos()), Reused: message.GetReused(),
		Leaving: message.GetLeaving(), Overdue: message.GetOverdue(), Fingerprint: message.GetFingerprint(), Ongoing: message.GetOngoing(),
		PausedUntil: deadlineAfter(now, message.GetPausedNanos()),
	}
}

func verificationToWire(verification entry.Verification) *wire.Verify {
	message := &wire.Verify{
		Service: verification.Slice.Service, Slice: uint32(verification.Slice.Index), Server: verification.Server,
		Attempt: verification.Attempt, Control: verification.Control, Fingerprint: verification.Fingerprint,
		Method: verification.Request.Method, Target: verification.Request.Target, Host: verification.Request.Host,
	}
	for name, values := range verification.Request.Header {
		message.Header = append(message.Header, &wire.Header{Name: name, Values: values})
	}
	return message
}

func verificationFromWire(message *wire.Verify) entry.Verification {
	header := http.Header{}
	for _, h := range message.GetHeader() {
		header[h.GetName()] = h.GetValues()
	}
	return entry.Verification{
		Slice: sliceOf(message.GetService(), message.GetSlice()), Server: message.GetServer(),
		Attempt: message.GetAttempt(), Control: message.GetControl(), Fingerprint: message.GetFingerprint(),
		Request: entry.RequestCopy{Method: message.GetMethod(), Target: message.GetTarget(), Host: message.GetHost(), Header: header},
	}
}

func renewalToWire(renewal entry.Renewal, now time.Time) *wire.Renew {
	message := &wire.Renew{}
	for _, r := range renewal.Slices {
		for _, h := range r.Grants {
			message.Held = append(message.Held, &wire.Held{
				Attempt: h.Attempt, Service: r.Slice.Service, Slice: uint32(r.Slice.Index), Server: h.Server, Team: h.Team,
			})
		}
		message.Views = append(message.Views, &wire.View{
			Service: r.Slice.Service, Slice: uint32(r.Slice.Index), Ejected: ejectedToWire(r.Snapshot.Ejected, now), Leavers: leaversToWire(r.Snapshot.Leaving),
		})
	}
	return message
}

func renewalFromWire(message *wire.Renew, now time.Time) entry.Renewal {
	held := map[home.Slice][]pool.HeldGrant{}
	for _, h := range message.GetHeld() {
		slice := sliceOf(h.GetService(), h.GetSlice())
		held[slice] = append(held[slice], pool.HeldGrant{Attempt: h.GetAttempt(), Server: h.GetServer(), Team: h.GetTeam()})
	}
	renewal := entry.Renewal{}
	for _, v := range message.GetViews() {
		slice := sliceOf(v.GetService(), v.GetSlice())
		renewal.Slices = append(renewal.Slices, entry.SliceRenewal{
			Slice: slice, Grants: held[slice], Snapshot: pool.Snapshot{Ejected: ejectedFromWire(v.GetEjected(), now), Leaving: leaversFromWire(v.GetLeavers())},
		})
	}
	return renewal
}

func claimToWire(claim idempotency.Claim, now time.Time) *wire.Claim {
	return &wire.Claim{
		Epoch: claim.Epoch, Key: claim.Key[:], BornUnixNanos: unixNanos(claim.CreatedAt), Attempt: claim.Attempt, Digest: claim.Digest,
		RunNanos: nanosUntil(now, claim.Deadline),
	}
}

func claimFromWire(message *wire.Claim, now time.Time) idempotency.Claim {
	return idempotency.Claim{
		Epoch: message.GetEpoch(), Key: keyFromWire(message.GetKey()), CreatedAt: unixTime(message.GetBornUnixNanos()),
		Attempt: message.GetAttempt(), Digest: message.GetDigest(), Deadline: deadlineAfter(now, message.GetRunNanos()),
	}
}

// unixNanos returns a time in Unix nanoseconds, 0 for the zero time.
func unixNanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func unixTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func keyFromWire(value []byte) idempotency.Key {
	var key idempotency.Key
	copy(key[:], value)
	return key
}

func verdictToWire(verdict idempotency.Verdict, now time.Time) *wire.Verdict {
	return &wire.Verdict{
		Verdict: uint32(verdict.Answer), WriteWithinNanos: nanosUntil(now, verdict.WriteDeadline),
		RetryAfterNanos: nanosUntil(now, verdict.RetryAt), Status: uint32(verdict.Status),
	}
}

// verdictFromWire converts a verdict; a missing one means not ready.
func verdictFromWire(message *wire.Verdict, now time.Time) idempotency.Verdict {
	if message == nil {
		return idempotency.Verdict{Answer: idempotency.NotReady}
	}
	return idempotency.Verdict{
		Answer: idempotency.Answer(message.GetVerdict()), WriteDeadline: deadlineAfter(now, message.GetWriteWithinNanos()),
		RetryAt: deadlineAfter(now, message.GetRetryAfterNanos()), Status: int(message.GetStatus()),
	}
}

// Settlement outcomes on the wire.
const (
	settledNotRun = iota + 1
	settledRan
	settledUnknown
)

func settlementToWire(settlement idempotency.Settlement) *wire.Settle {
	outcome := uint32(settledUnknown)
	if settlement.NotRun {
		outcome = settledNotRun
	} else if settlement.Ran {
		outcome = settledRan
	}
	return &wire.Settle{Key: settlement.Key[:], Attempt: settlement.Attempt, Outcome: outcome, Status: uint32(settlement.Status)}
}

func settlementFromWire(message *wire.Settle) idempotency.Settlement {
	return idempotency.Settlement{
		Key: keyFromWire(message.GetKey()), Attempt: message.GetAttempt(), Status: int(message.GetStatus()),
		NotRun: message.GetOutcome() == settledNotRun, Ran: message.GetOutcome() == settledRan,
	}
}

func handoverToWire(handover idempotency.Handover) *wire.Handover {
	return &wire.Handover{Taker: string(handover.Target), Epoch: handover.Epoch, Partitions: partitionsToWire(handover.Partitions)}
}

func handoverFromWire(message *wire.Handover) idempotency.Handover {
	return idempotency.Handover{
		Target: idempotency.Incarnation(message.GetTaker()), Epoch: message.GetEpoch(), Partitions: partitionsFromWire(message.GetPartitions()),
	}
}

func partitionsToWire(partitions []int) []uint32 {
	out := make([]uint32, len(partitions))
	for i, p := range partitions {
		out[i] = uint32(p)
	}
	return out
}

func partitionsFromWire(partitions []uint32) []int {
	out := make([]int, len(partitions))
	for i, p := range partitions {
		out[i] = int(p)
	}
	return out
}

// keysToWire returns the reply to a handover: the keys, or a refusing Ack if the key table is not known yet.
func keysToWire(keys idempotency.HandoverReply, known bool, now time.Time) *wire.Frame {
	if !known {
		return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Refused: true}}}
	}
	message := &wire.Keys{Giver: string(keys.Source), Epoch: keys.Epoch, Partitions: partitionsToWire(keys.Partitions)}
	for _, record := range keys.Records {
		message.Keys = append(message.Keys, &wire.Key{
			Key: record.Key[:], Attempt: record.Attempt, Digest: record.Digest, State: uint32(record.State),
			Status: uint32(record.Status), RemainingNanos: nanosUntil(now, record.Expires), RunNanos: nanosUntil(now, record.Deadline),
		})
	}
	for p, floor := range keys.Floors {
		if !floor.IsZero() {
			message.Floors = append(message.Floors, &wire.Floor{Partition: uint32(p), BornUnixNanos: floor.UnixNano()})
		}
	}
	return &wire.Frame{Body: &wire.Frame_Keys{Keys: message}}
}

func keysFromWire(message *wire.Keys, now time.Time) idempotency.HandoverReply {
	keys := idempotency.HandoverReply{
		Source: idempotency.Incarnation(message.GetGiver()), Epoch: message.GetEpoch(),
		Partitions: partitionsFromWire(message.GetPartitions()), Floors: map[int]time.Time{},
	}
	for _, m := range message.GetKeys() {
		keys.Records = append(keys.Records, idempotency.Record{
			Key: keyFromWire(m.GetKey()), Attempt: m.GetAttempt(), Digest: m.GetDigest(), State: idempotency.State(m.GetState()),
			Status: int(m.GetStatus()), Expires: deadlineAfter(now, m.GetRemainingNanos()), Deadline: deadlineAfter(now, m.GetRunNanos()),
		})
	}
	for _, floor := range message.GetFloors() {
		keys.Floors[int(floor.GetPartition())] = unixTime(floor.GetBornUnixNanos())
	}
	return keys
}
