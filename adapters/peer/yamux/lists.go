package yamux

import (
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/notice"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

func listsTo(lists entry.Lists, now time.Time) *wire.Lists {
	return &wire.Lists{
		AgeNanos: lists.Age.Nanoseconds(),
		Entries:  entryChangesTo(&lists.Entries, now),
		Servers:  serverChangesTo(&lists.Servers, now),
		Leavers:  unlistedTo(lists.LeavingServers),
	}
}

func listsFrom(message *wire.Lists, now time.Time) (entry.Lists, error) {
	entries, err := entryChangesFrom(message.GetEntries(), now)
	if err != nil {
		return entry.Lists{}, err
	}
	servers, err := serverChangesFrom(message.GetServers(), now)
	if err != nil {
		return entry.Lists{}, err
	}
	return entry.Lists{
		Age: time.Duration(message.GetAgeNanos()), Entries: entries, Servers: servers, LeavingServers: unlistedFrom(message.GetLeavers()),
	}, nil
}

// revised is a message with a revision.
type revised interface {
	GetGeneration() uint64
	GetRevision() uint64
}

func revisionOf(message revised) instance.Revision {
	return instance.Revision{Generation: message.GetGeneration(), Number: message.GetRevision()}
}

func unlistedTo(leavers []notice.Server) []*wire.Leaver {
	var out []*wire.Leaver
	for _, leaver := range leavers {
		out = append(out, &wire.Leaver{Server: leaver.Name, StartedUnixNanos: unixNanos(leaver.Started), Service: leaver.Service})
	}
	return out
}

func unlistedFrom(messages []*wire.Leaver) []notice.Server {
	var out []notice.Server
	for _, m := range messages {
		out = append(out, notice.Server{Name: m.GetServer(), Service: m.GetService(), Started: unixTime(m.GetStartedUnixNanos())})
	}
	return out
}

func entryChangesTo(changes *instance.Changes[instance.Entry], now time.Time) *wire.EntryChanges {
	message := &wire.EntryChanges{Whole: changes.Snapshot, Generation: changes.Revision.Generation, Revision: changes.Revision.Number, Removals: removalsTo(changes.Removals, now)}
	for _, item := range changes.Items {
		e := &item.Value
		message.Items = append(message.Items, &wire.ListedEntry{
			Name: item.Name, Generation: item.Revision.Generation, Revision: item.Revision.Number, Domain: e.Domain, Region: e.Region,
			Caller: addressTo(e.Caller), Peer: addressTo(e.Peer), Operator: addressTo(e.Operator), Leaving: e.State == instance.Leaving,
			Processor: e.Processor,
		})
	}
	return message
}

func entryChangesFrom(message *wire.EntryChanges, now time.Time) (instance.Changes[instance.Entry], error) {
	changes := instance.Changes[instance.Entry]{
		Snapshot: message.GetWhole(), Revision: revisionOf(message), Removals: removalsFrom(message.GetRemovals(), now),
	}
	for _, m := range message.GetItems() {
		e := instance.Entry{Name: m.GetName(), Domain: m.GetDomain(), Region: m.GetRegion(), Processor: m.GetProcessor(), State: stateFrom(m.GetLeaving())}
		var err error
		if e.Caller, err = netip.ParseAddrPort(m.GetCaller()); err != nil {
			return changes, err
		}
		if e.Peer, err = netip.ParseAddrPort(m.GetPeer()); err != nil {
			return changes, err
		}
		// The operators' address is for display only and may be missing.
		e.Operator, _ = netip.ParseAddrPort(m.GetOperator())
		changes.Items = append(changes.Items, instance.Item[instance.Entry]{Name: e.Name, Value: e, Revision: revisionOf(m)})
	}
	return changes, nil
}

func serverChangesTo(changes *instance.Changes[instance.Server], now time.Time) *wire.ServerChanges {
	message := &wire.ServerChanges{Whole: changes.Snapshot, Generation: changes.Revision.Generation, Revision: changes.Revision.Number, Removals: removalsTo(changes.Removals, now)}
	for _, item := range changes.Items {
		s := &item.Value
		listed := &wire.ListedServer{
			Name: item.Name, Generation: item.Revision.Generation, Revision: item.Revision.Number, Service: s.Service, Domain: s.Domain, Address: addressTo(s.Address),
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

func serverChangesFrom(message *wire.ServerChanges, now time.Time) (instance.Changes[instance.Server], error) {
	changes := instance.Changes[instance.Server]{
		Snapshot: message.GetWhole(), Revision: revisionOf(message), Removals: removalsFrom(message.GetRemovals(), now),
	}
	for _, m := range message.GetItems() {
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			return changes, err
		}
		s := instance.Server{
			Name: m.GetName(), Service: m.GetService(), Domain: m.GetDomain(), Address: address, Slots: int(m.GetSlots()),
			State: stateFrom(m.GetLeaving()), WarmAt: now.Add(time.Duration(m.GetWarmNanos())),
		}
		if nanos := m.GetStartedUnixNanos(); nanos != 0 {
			s.Started = time.Unix(0, nanos)
		}
		changes.Items = append(changes.Items, instance.Item[instance.Server]{Name: s.Name, Value: s, Revision: revisionOf(m)})
	}
	return changes, nil
}

func removalsTo(removals []instance.Removal, now time.Time) []*wire.Removal {
	var out []*wire.Removal
	for _, removal := range removals {
		out = append(out, &wire.Removal{Name: removal.Name, Generation: removal.Revision.Generation, Revision: removal.Revision.Number, KeepNanos: until(now, removal.KeepUntil)})
	}
	return out
}

func removalsFrom(messages []*wire.Removal, now time.Time) []instance.Removal {
	var out []instance.Removal
	for _, m := range messages {
		out = append(out, instance.Removal{Name: m.GetName(), Revision: revisionOf(m), KeepUntil: after(now, m.GetKeepNanos())})
	}
	return out
}

func addressTo(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func stateFrom(leaving bool) instance.State {
	if leaving {
		return instance.Leaving
	}
	return instance.Live
}
