package yamux

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// until returns the time left to a deadline in nanoseconds, 0 for none.
func until(now, deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, deadline.Sub(now).Nanoseconds())
}

// after returns the deadline of a time left, the zero time for none.
func after(now time.Time, nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(nanos))
}

func sliceOf(service string, index uint32) home.Slice {
	return home.Slice{Service: service, Index: int(index)}
}

func askTo(slice home.Slice, ask pool.Ask, now time.Time) *wire.Ask {
	return &wire.Ask{
		Attempt: ask.Attempt, Service: slice.Service, Slice: uint32(slice.Index), Team: ask.Team,
		Idempotent: ask.Idempotent, Hedge: ask.Hedge, Number: uint32(ask.Number), Exclude: ask.Exclude,
		WaitNanos: until(now, ask.Deadline), Fingerprint: ask.Fingerprint, Verify: ask.Verify, NoWait: ask.NoWait,
		Priority: uint32(ask.Priority), Large: ask.Large, Last: ask.Last, Paused: ask.Paused,
	}
}

func askFrom(message *wire.Ask, now time.Time) (home.Slice, pool.Ask) {
	return sliceOf(message.GetService(), message.GetSlice()), pool.Ask{
		Attempt: message.GetAttempt(), Team: message.GetTeam(), Idempotent: message.GetIdempotent(),
		Hedge: message.GetHedge(), Number: int(message.GetNumber()), Exclude: message.GetExclude(),
		Deadline: after(now, message.GetWaitNanos()), Fingerprint: message.GetFingerprint(), Verify: message.GetVerify(), NoWait: message.GetNoWait(),
		Priority: int(message.GetPriority()), Large: message.GetLarge(), Last: message.GetLast(), Paused: message.GetPaused(),
	}
}

func decisionTo(decision pool.Decision, standing pool.Snapshot, now time.Time) *wire.Decision {
	message := &wire.Decision{
		Attempt: decision.Attempt, Verdict: uint32(decision.Verdict), Server: decision.Server,
		ServerDomain: decision.Domain, SuspectNanos: until(now, decision.SuspectAt),
		RetryAfterNanos: until(now, decision.RetryAt), Fresh: decision.Fresh, Close: decision.Close,
		Ejected: ejectedTo(standing.Ejected, now), Leavers: leaversTo(standing.Leaving), StartedUnixNanos: unixNanos(decision.Started),
		WaitedNanos: decision.Waited.Nanoseconds(),
	}
	if decision.Address.IsValid() {
		message.Address = decision.Address.String()
	}
	return message
}

// decisionFrom reads a decision; one that names no usable address counts as a refusal.
func decisionFrom(message *wire.Decision, now time.Time) (pool.Decision, pool.Snapshot) {
	decision := pool.Decision{
		Attempt: message.GetAttempt(), Verdict: pool.Verdict(message.GetVerdict()), Server: message.GetServer(),
		Domain: message.GetServerDomain(), SuspectAt: after(now, message.GetSuspectNanos()),
		RetryAt: after(now, message.GetRetryAfterNanos()), Fresh: message.GetFresh(), Close: message.GetClose(),
		Started: unixTime(message.GetStartedUnixNanos()), Waited: time.Duration(max(0, message.GetWaitedNanos())),
	}
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil && decision.Verdict == pool.Granted {
		decision.Verdict = pool.NoServer
	}
	decision.Address = address
	return decision, pool.Snapshot{Ejected: ejectedFrom(message.GetEjected(), now), Leaving: leaversFrom(message.GetLeavers())}
}

func leaversTo(leavers []pool.LeavingServer) []*wire.Leaver {
	var out []*wire.Leaver
	for _, leaver := range leavers {
		out = append(out, &wire.Leaver{Server: leaver.Server, StartedUnixNanos: unixNanos(leaver.Started)})
	}
	return out
}

func leaversFrom(messages []*wire.Leaver) []pool.LeavingServer {
	var out []pool.LeavingServer
	for _, m := range messages {
		out = append(out, pool.LeavingServer{Server: m.GetServer(), Started: unixTime(m.GetStartedUnixNanos())})
	}
	return out
}

func ejectedTo(ejected []pool.Ejected, now time.Time) []*wire.Ejected {
	var out []*wire.Ejected
	for _, e := range ejected {
		out = append(out, &wire.Ejected{Server: e.Server, RemainingNanos: until(now, e.Until), Count: uint32(e.Count)})
	}
	return out
}

func ejectedFrom(messages []*wire.Ejected, now time.Time) []pool.Ejected {
	var out []pool.Ejected
	for _, m := range messages {
		out = append(out, pool.Ejected{Server: m.GetServer(), Until: after(now, m.GetRemainingNanos()), Count: int(m.GetCount())})
	}
	return out
}

func reportTo(slice home.Slice, report pool.Report, now time.Time) *wire.Report {
	return &wire.Report{
		Attempt: report.Attempt, Service: slice.Service, Slice: uint32(slice.Index), Server: report.Server,
		Outcome: uint32(report.Outcome), FirstByteNanos: report.FirstByte.Nanoseconds(), Reused: report.Reused,
		Leaving: report.Leaving, Overdue: report.Overdue, Fingerprint: report.Fingerprint, Ongoing: report.Ongoing,
		PausedNanos: until(now, report.PausedUntil),
	}
}

func reportFrom(message *wire.Report, now time.Time) (home.Slice, pool.Report) {
	return sliceOf(message.GetService(), message.GetSlice()), pool.Report{
		Attempt: message.GetAttempt(), Server: message.GetServer(), Outcome: pool.Outcome(message.GetOutcome()),
		FirstByte: time.Duration(message.GetFirstByteNanos()), Reused: message.GetReused(),
		Leaving: message.GetLeaving(), Overdue: message.GetOverdue(), Fingerprint: message.GetFingerprint(), Ongoing: message.GetOngoing(),
		PausedUntil: after(now, message.GetPausedNanos()),
	}
}

func verificationTo(verification entry.Verification) *wire.Verify {
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

func verificationFrom(message *wire.Verify) entry.Verification {
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

func renewalTo(renewal entry.Renewal, now time.Time) *wire.Renew {
	message := &wire.Renew{}
	for _, r := range renewal.Slices {
		for _, h := range r.Grants {
			message.Held = append(message.Held, &wire.Held{
				Attempt: h.Attempt, Service: r.Slice.Service, Slice: uint32(r.Slice.Index), Server: h.Server, Team: h.Team,
			})
		}
		message.Views = append(message.Views, &wire.View{
			Service: r.Slice.Service, Slice: uint32(r.Slice.Index), Ejected: ejectedTo(r.Snapshot.Ejected, now), Leavers: leaversTo(r.Snapshot.Leaving),
		})
	}
	return message
}

func renewalFrom(message *wire.Renew, now time.Time) entry.Renewal {
	held := map[home.Slice][]pool.HeldGrant{}
	for _, h := range message.GetHeld() {
		slice := sliceOf(h.GetService(), h.GetSlice())
		held[slice] = append(held[slice], pool.HeldGrant{Attempt: h.GetAttempt(), Server: h.GetServer(), Team: h.GetTeam()})
	}
	renewal := entry.Renewal{}
	for _, v := range message.GetViews() {
		slice := sliceOf(v.GetService(), v.GetSlice())
		renewal.Slices = append(renewal.Slices, entry.SliceRenewal{
			Slice: slice, Grants: held[slice], Snapshot: pool.Snapshot{Ejected: ejectedFrom(v.GetEjected(), now), Leaving: leaversFrom(v.GetLeavers())},
		})
	}
	return renewal
}

func claimTo(claim idempotency.Claim, now time.Time) *wire.Claim {
	return &wire.Claim{
		Epoch: claim.Epoch, Key: claim.Key[:], BornUnixNanos: unixNanos(claim.CreatedAt), Attempt: claim.Attempt, Digest: claim.Digest,
		RunNanos: until(now, claim.Deadline),
	}
}

func claimFrom(message *wire.Claim, now time.Time) idempotency.Claim {
	return idempotency.Claim{
		Epoch: message.GetEpoch(), Key: keyFrom(message.GetKey()), CreatedAt: unixTime(message.GetBornUnixNanos()),
		Attempt: message.GetAttempt(), Digest: message.GetDigest(), Deadline: after(now, message.GetRunNanos()),
	}
}

// unixNanos returns a time on the wire, 0 for the zero time.
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

func keyFrom(value []byte) idempotency.Key {
	var key idempotency.Key
	copy(key[:], value)
	return key
}

func verdictTo(verdict idempotency.Verdict, now time.Time) *wire.Verdict {
	return &wire.Verdict{
		Verdict: uint32(verdict.Answer), WriteWithinNanos: until(now, verdict.WriteDeadline),
		RetryAfterNanos: until(now, verdict.RetryAt), Status: uint32(verdict.Status),
	}
}

// verdictFrom reads a verdict; a missing one counts as not ready.
func verdictFrom(message *wire.Verdict, now time.Time) idempotency.Verdict {
	if message == nil {
		return idempotency.Verdict{Answer: idempotency.NotReady}
	}
	return idempotency.Verdict{
		Answer: idempotency.Answer(message.GetVerdict()), WriteDeadline: after(now, message.GetWriteWithinNanos()),
		RetryAt: after(now, message.GetRetryAfterNanos()), Status: int(message.GetStatus()),
	}
}

// Outcomes of a settlement on the wire.
const (
	settledNotRun = iota + 1
	settledRan
	settledUnknown
)

func settlementTo(settlement idempotency.Settlement) *wire.Settle {
	outcome := uint32(settledUnknown)
	if settlement.NotRun {
		outcome = settledNotRun
	} else if settlement.Ran {
		outcome = settledRan
	}
	return &wire.Settle{Key: settlement.Key[:], Attempt: settlement.Attempt, Outcome: outcome, Status: uint32(settlement.Status)}
}

func settlementFrom(message *wire.Settle) idempotency.Settlement {
	return idempotency.Settlement{
		Key: keyFrom(message.GetKey()), Attempt: message.GetAttempt(), Status: int(message.GetStatus()),
		NotRun: message.GetOutcome() == settledNotRun, Ran: message.GetOutcome() == settledRan,
	}
}

func handoverTo(handover idempotency.Handover) *wire.Handover {
	return &wire.Handover{Taker: string(handover.Target), Epoch: handover.Epoch, Partitions: partitionsTo(handover.Partitions)}
}

func handoverFrom(message *wire.Handover) idempotency.Handover {
	return idempotency.Handover{
		Target: idempotency.Incarnation(message.GetTaker()), Epoch: message.GetEpoch(), Partitions: partitionsFrom(message.GetPartitions()),
	}
}

func partitionsTo(partitions []int) []uint32 {
	out := make([]uint32, len(partitions))
	for i, p := range partitions {
		out[i] = uint32(p)
	}
	return out
}

func partitionsFrom(partitions []uint32) []int {
	out := make([]int, len(partitions))
	for i, p := range partitions {
		out[i] = int(p)
	}
	return out
}

// keysTo returns the reply to a handover: keys, or a bare acknowledgement when the table is not known yet.
func keysTo(keys idempotency.HandoverReply, known bool, now time.Time) *wire.Frame {
	if !known {
		return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Refused: true}}}
	}
	message := &wire.Keys{Giver: string(keys.Source), Epoch: keys.Epoch, Partitions: partitionsTo(keys.Partitions)}
	for _, record := range keys.Records {
		message.Keys = append(message.Keys, &wire.Key{
			Key: record.Key[:], Attempt: record.Attempt, Digest: record.Digest, State: uint32(record.State),
			Status: uint32(record.Status), RemainingNanos: until(now, record.Expires), RunNanos: until(now, record.Deadline),
		})
	}
	for p, floor := range keys.Floors {
		if !floor.IsZero() {
			message.Floors = append(message.Floors, &wire.Floor{Partition: uint32(p), BornUnixNanos: floor.UnixNano()})
		}
	}
	return &wire.Frame{Body: &wire.Frame_Keys{Keys: message}}
}

func keysFrom(message *wire.Keys, now time.Time) idempotency.HandoverReply {
	keys := idempotency.HandoverReply{
		Source: idempotency.Incarnation(message.GetGiver()), Epoch: message.GetEpoch(),
		Partitions: partitionsFrom(message.GetPartitions()), Floors: map[int]time.Time{},
	}
	for _, m := range message.GetKeys() {
		keys.Records = append(keys.Records, idempotency.Record{
			Key: keyFrom(m.GetKey()), Attempt: m.GetAttempt(), Digest: m.GetDigest(), State: idempotency.State(m.GetState()),
			Status: int(m.GetStatus()), Expires: after(now, m.GetRemainingNanos()), Deadline: after(now, m.GetRunNanos()),
		})
	}
	for _, floor := range message.GetFloors() {
		keys.Floors[int(floor.GetPartition())] = unixTime(floor.GetBornUnixNanos())
	}
	return keys
}
