package yamux

import (
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/notice"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

func listsToWire(lists entry.Lists, now time.Time) *wire.Lists {
	return &wire.Lists{
		AgeNanos: lists.Age.Nanoseconds(),
		Entries:  entryChangesToWire(&lists.Entries, now),
		Servers:  serverChangesToWire(&lists.Servers, now),
		Leavers:  noticesToWire(lists.LeavingServers),

		RulesVersion: lists.Rules.Number, RulesGeneration: lists.RulesRevision.Generation, RulesRevision: lists.RulesRevision.Number,
	}
}

func listsFromWire(message *wire.Lists, now time.Time) (entry.Lists, error) {
	entries, err := entryChangesFromWire(message.GetEntries(), now)
	if err != nil {
		return entry.Lists{}, err
	}
	servers, err := serverChangesFromWire(message.GetServers(), now)
	if err != nil {
		return entry.Lists{}, err
	}
	return entry.Lists{
		Age: time.Duration(message.GetAgeNanos()), Entries: entries, Servers: servers, LeavingServers: noticesFromWire(message.GetLeavers()),
		Rules:         entry.RulesVersion{Number: message.GetRulesVersion()},
		RulesRevision: instance.Revision{Generation: message.GetRulesGeneration(), Number: message.GetRulesRevision()},
	}, nil
}

// revisionMessage is a message that carries a revision.
type revisionMessage interface {
	GetGeneration() uint64
	GetRevision() uint64
}

func revisionOf(message revisionMessage) instance.Revision {
	return instance.Revision{Generation: message.GetGeneration(), Number: message.GetRevision()}
}

func noticesToWire(leavers []notice.Server) []*wire.Leaver {
	var out []*wire.Leaver
	for _, leaver := range leavers {
		out = append(out, &wire.Leaver{Server: leaver.Name, StartedUnixNanos: unixNanos(leaver.Started), Service: leaver.Service})
	}
	return out
}

func noticesFromWire(messages []*wire.Leaver) []notice.Server {
	var out []notice.Server
	for _, m := range messages {
		out = append(out, notice.Server{Name: m.GetServer(), Service: m.GetService(), Started: unixTime(m.GetStartedUnixNanos())})
	}
	return out
}

func entryChangesToWire(changes *instance.Changes[instance.Entry], now time.Time) *wire.EntryChanges {
	message := &wire.EntryChanges{Whole: changes.Snapshot, Generation: changes.Revision.Generation, Revision: changes.Revision.Number, Removals: removalsToWire(changes.Removals, now)}
	for _, item := range changes.Items {
		e := &item.Value
		message.Items = append(message.Items, &wire.ListedEntry{
			Name: item.Name, Generation: item.Revision.Generation, Revision: item.Revision.Number, Domain: e.Domain, Region: e.Region,
			Caller: addressToWire(e.Caller), Peer: addressToWire(e.Peer), Operator: addressToWire(e.Operator), Leaving: e.State == instance.Leaving,
			Processor: e.Processor,
		})
	}
	return message
}

func entryChangesFromWire(message *wire.EntryChanges, now time.Time) (instance.Changes[instance.Entry], error) {
	changes := instance.Changes[instance.Entry]{
		Snapshot: message.GetWhole(), Revision: revisionOf(message), Removals: removalsFromWire(message.GetRemovals(), now),
	}
	for _, m := range message.GetItems() {
		e := instance.Entry{Name: m.GetName(), Domain: m.GetDomain(), Region: m.GetRegion(), Processor: m.GetProcessor(), State: stateFromWire(m.GetLeaving())}
		var err error
		if e.Caller, err = netip.ParseAddrPort(m.GetCaller()); err != nil {
			return changes, err
		}
		if e.Peer, err = netip.ParseAddrPort(m.GetPeer()); err != nil {
			return changes, err
		}
		// The operator address is only displayed and may be missing.
		e.Operator, _ = netip.ParseAddrPort(m.GetOperator())
		changes.Items = append(changes.Items, instance.Item[instance.Entry]{Name: e.Name, Value: e, Revision: revisionOf(m)})
	}
	return changes, nil
}

func serverChangesToWire(changes *instance.Changes[instance.Server], now time.Time) *wire.ServerChanges {
	message := &wire.ServerChanges{Whole: changes.Snapshot, Generation: changes.Revision.Generation, Revision: changes.Revision.Number, Removals: removalsToWire(changes.Removals, now)}
	for _, item := range changes.Items {
		s := &item.Value
		listed := &wire.ListedServer{
			Name: item.Name, Generation: item.Revision.Generation, Revision: item.Revision.Number, Service: s.Service, Domain: s.Domain, Address: addressToWire(s.Address),
			Slots: uint32(s.Slots), Leaving: s.State == instance.Leaving,
		}
		if !s.Started.IsZero() {
			listed.StartedUnixNanos = s.Started.UnixNano()
		}
		if now.Before(s.WarmAt) {
			listed.WarmNanos = s.WarmAt.Sub(now).Nanoseconds()
		}
		message.Items = append(message.Items, listed)
	}
	return message
}

func serverChangesFromWire(message *wire.ServerChanges, now time.Time) (instance.Changes[instance.Server], error) {
	changes := instance.Changes[instance.Server]{
		Snapshot: message.GetWhole(), Revision: revisionOf(message), Removals: removalsFromWire(message.GetRemovals(), now),
	}
	for _, m := range message.GetItems() {
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			return changes, err
		}
		s := instance.Server{
			Name: m.GetName(), Service: m.GetService(), Domain: m.GetDomain(), Address: address, Slots: int(m.GetSlots()),
			State: stateFromWire(m.GetLeaving()), WarmAt: now.Add(time.Duration(m.GetWarmNanos())),
		}
		if nanos := m.GetStartedUnixNanos(); nanos != 0 {
			s.Started = time.Unix(0, nanos)
		}
		changes.Items = append(changes.Items, instance.Item[instance.Server]{Name: s.Name, Value: s, Revision: revisionOf(m)})
	}
	return changes, nil
}

func removalsToWire(removals []instance.Removal, now time.Time) []*wire.Removal {
	var out []*wire.Removal
	for _, removal := range removals {
		out = append(out, &wire.Removal{Name: removal.Name, Generation: removal.Revision.Generation, Revision: removal.Revision.Number, KeepNanos: nanosUntil(now, removal.KeepUntil)})
	}
	return out
}

func removalsFromWire(messages []*wire.Removal, now time.Time) []instance.Removal {
	var out []instance.Removal
	for _, m := range messages {
		out = append(out, instance.Removal{Name: m.GetName(), Revision: revisionOf(m), KeepUntil: deadlineAfter(now, m.GetKeepNanos())})
	}
	return out
}

func addressToWire(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func stateFromWire(leaving bool) instance.State {
	if leaving {
		return instance.Leaving
	}
	return instance.Live
}
