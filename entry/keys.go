package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiaspan/sequoiaspan/adapters/peer/wire"
	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// TableKey is the key table's key in the platform's store.
const TableKey = "sequoiaspan/idempotency/table"

// Timing of the key table.
const (
	keyTick       = 250 * time.Millisecond
	dropAfter     = 3 * time.Second // a member missing from the list for this long is dropped
	settleTries   = 5
	claimTries    = 4
	claimPause    = 20 * time.Millisecond
	tableDeadline = 2 * time.Second // for one call to the store
)

// keys is this instance's part in keeping idempotency keys.
type keys struct {
	mu       sync.Mutex
	owner    idempotency.Owner
	revision uint64 // of the table in the store
	missing  map[idempotency.Incarnation]time.Time
	wanted   chan struct{}
}

func (keys *keys) claim(now time.Time, claim idempotency.Claim) idempotency.Verdict {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.owner.Claim(now, claim)
}

func (keys *keys) settle(settlement idempotency.Settlement) bool {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.owner.Settle(settlement)
}

func (keys *keys) give(handover idempotency.Handover) (idempotency.Keys, bool) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.owner.Give(handover)
}

func (keys *keys) table() *idempotency.Table {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.owner.Table()
}

func (keys *keys) epoch() uint64 {
	if table := keys.table(); table != nil {
		return table.Epoch
	}
	return 0
}

// wantTable asks for a reading of the table soon.
func (keys *keys) wantTable() {
	select {
	case keys.wanted <- struct{}{}:
	default:
	}
}

// Claim asks the key's owner whether a request may run. An answer of NotReady or NotOwner is final for this try.
func (entry *Entry) Claim(ctx context.Context, claim idempotency.Claim) idempotency.Verdict {
	verdict := idempotency.Verdict{Answer: idempotency.NotReady, RetryAt: entry.Clock().Add(time.Second)}
	for range claimTries {
		asked := entry.Clock()
		owner, epoch := entry.ownerOf(claim.Key)
		claim.Epoch = epoch
		switch owner {
		case "":
			entry.keys.wantTable()
			return verdict
		case entry.Incarnation:
			verdict = entry.keys.claim(asked, claim)
		default:
			verdict = entry.claimAt(ctx, owner, claim, asked)
		}
		if verdict.Answer != idempotency.NotOwner {
			return verdict
		}
		entry.keys.wantTable()
		sleep(ctx, claimPause)
	}
	return verdict
}

// claimAt asks another instance. The deadline to write counts from the time of asking, so that no clocks are compared.
func (entry *Entry) claimAt(ctx context.Context, owner idempotency.Incarnation, claim idempotency.Claim, asked time.Time) idempotency.Verdict {
	verdict, err := entry.Peers.Claim(ctx, entry.peerNamed(owner.Name()), claim)
	if err != nil {
		entry.count("keys.silent-owners")
		return idempotency.Verdict{Answer: idempotency.NotReady, RetryAt: entry.Clock().Add(time.Second)}
	}
	if verdict.Answer == idempotency.Run {
		verdict.WriteBy = asked.Add(idempotency.WriteLength)
	}
	return verdict
}

func (entry *Entry) ownerOf(key idempotency.Key) (idempotency.Incarnation, uint64) {
	table := entry.keys.table()
	if table == nil || len(table.Partitions) == 0 {
		return "", 0
	}
	return table.Partitions[key.Partition()].Owner, table.Epoch
}

func (entry *Entry) peerNamed(name string) Peer {
	return Peer{name, entry.members.plan().byName[name].Peer}
}

// Settle tells the key's owner what came of a claim, with some tries in the background.
func (entry *Entry) Settle(settlement idempotency.Settlement) {
	owner, _ := entry.ownerOf(settlement.Key)
	if owner == entry.Incarnation && entry.keys.settle(settlement) {
		return
	}
	go entry.settleAway(settlement)
}

func (entry *Entry) settleAway(settlement idempotency.Settlement) {
	pause := claimPause
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), tableDeadline)
		owner, _ := entry.ownerOf(settlement.Key)
		kept, err := false, error(nil)
		if owner == entry.Incarnation {
			kept = entry.keys.settle(settlement)
		} else {
			kept, err = entry.Peers.Settle(ctx, entry.peerNamed(owner.Name()), settlement)
		}
		cancel()
		if err == nil && kept {
			return
		}
		time.Sleep(pause)
		pause *= 4
	}
	entry.count("keys.lost-settlements")
}

// sightInList counts a list that shows this instance as a sight of it, if the list says how old it is.
func (entry *Entry) sightInList(list instance.List) {
	if list.AsOf.IsZero() {
		return
	}
	for _, other := range list.Entries {
		if other.Name == entry.Name && other.Peer == entry.Peer {
			entry.keys.mu.Lock()
			if table := entry.keys.owner.Table(); table != nil && table.Has(entry.Incarnation) {
				entry.keys.owner.Sight(list.AsOf.Add(-idempotency.Skew))
			}
			entry.keys.mu.Unlock()
		}
	}
}

// followTable reads the key table until the context ends.
func (entry *Entry) followTable(ctx context.Context) {
	ticker := time.NewTicker(entry.Intervals.Table)
	defer ticker.Stop()
	for {
		entry.readTable(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-entry.keys.wanted:
			sleep(ctx, claimPause)
		}
	}
}

// readTable adopts the table and joins it when this incarnation is missing.
func (entry *Entry) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	asked := entry.Clock()
	table, revision, err := entry.loadTable(ctx)
	if err != nil {
		entry.count("keys.table-errors")
		entry.Log.Warn("keys: the table could not be read, the known one stays", zap.Error(err))
		return
	}
	entry.adoptTable(asked, table, revision)
	if entry.IsLeaving() || table.Has(entry.Incarnation) {
		return
	}
	entry.swapTable(ctx, "joined", table.Change(nil, []idempotency.Incarnation{entry.Incarnation}), revision)
}

func (entry *Entry) loadTable(ctx context.Context) (*idempotency.Table, uint64, error) {
	value, revision, err := entry.Store.Get(ctx, TableKey)
	if err != nil {
		return nil, 0, err
	}
	table, err := decodeTable(value)
	return table, revision, err
}

// adoptTable takes in a table read at a time; being a member in it is a sight.
func (entry *Entry) adoptTable(asked time.Time, table *idempotency.Table, revision uint64) {
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	known := entry.keys.owner.Table()
	if known != nil && table.Epoch < known.Epoch {
		return
	}
	if known == nil || table.Epoch > known.Epoch {
		entry.Log.Info("keys: a table is in use", zap.Uint64("epoch", table.Epoch), zap.Int("members", len(table.Members)))
	}
	entry.keys.owner.Adopt(table)
	entry.keys.revision = revision
	if table.Has(entry.Incarnation) {
		entry.keys.owner.Sight(asked)
	}
}

// swapTable writes the next table; after a lost race or reply the next reading tells what holds.
func (entry *Entry) swapTable(ctx context.Context, change string, next *idempotency.Table, revision uint64) {
	if next == nil {
		return
	}
	value, err := encodeTable(next)
	if err != nil {
		entry.Log.Error("keys: the table could not be encoded", zap.Error(err))
		return
	}
	asked := entry.Clock()
	newRevision, err := entry.Store.CompareAndSwap(ctx, TableKey, revision, value)
	if err != nil {
		entry.count("keys.lost-swaps")
		entry.keys.wantTable()
		return
	}
	entry.Log.Info("keys: the table was changed", zap.String("change", change), zap.Uint64("epoch", next.Epoch))
	entry.adoptTable(asked, next, newRevision)
}

// tickKeys takes over partitions and keeps the table true until the context ends.
func (entry *Entry) tickKeys(ctx context.Context) {
	every(ctx, keyTick, func(ctx context.Context) {
		now := entry.Clock()
		entry.keys.mu.Lock()
		table, revision := entry.keys.owner.Table(), entry.keys.revision
		if table == nil || len(table.Partitions) == 0 {
			entry.keys.mu.Unlock()
			return
		}
		plan := entry.members.plan()
		present := func(incarnation idempotency.Incarnation) bool {
			_, listed := plan.byName[incarnation.Name()]
			return listed && !table.Superseded(incarnation)
		}
		entry.keys.owner.Present(now, present)
		actions := entry.keys.owner.Tick(now)
		drop := entry.keys.missingMembers(now, table, present)
		entry.keys.mu.Unlock()
		for earlier, handover := range actions.Ask {
			go entry.takeOver(ctx, earlier, handover)
		}
		entry.keepTable(ctx, table, revision, actions.Confirm, drop)
	})
}

// missingMembers returns the members that the list has not shown for some time.
func (keys *keys) missingMembers(now time.Time, table *idempotency.Table, present func(idempotency.Incarnation) bool) []idempotency.Incarnation {
	if keys.missing == nil {
		keys.missing = map[idempotency.Incarnation]time.Time{}
	}
	var drop []idempotency.Incarnation
	for _, member := range table.Members {
		since, missing := keys.missing[member]
		switch {
		case present(member):
			delete(keys.missing, member)
		case !missing:
			keys.missing[member] = now
		case now.Sub(since) >= dropAfter:
			drop = append(drop, member)
		}
	}
	return drop
}

// keepTable writes what has changed: members gone and partitions settled.
func (entry *Entry) keepTable(ctx context.Context, table *idempotency.Table, revision uint64, confirm map[int]uint64, drop []idempotency.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	switch {
	case len(drop) > 0 && entry.members.listed(entry.Name):
		entry.swapTable(ctx, "dropped members", table.Change(drop, nil), revision)
	case len(confirm) > 0:
		entry.swapTable(ctx, "confirmed partitions", table.Confirm(entry.Incarnation, confirm), revision)
	}
}

// listed reports whether the list shows an instance: one that the list leaves out must not drop others.
func (members *members) listed(name string) bool {
	_, found := members.plan().byName[name]
	return found
}

func (entry *Entry) takeOver(ctx context.Context, earlier idempotency.Incarnation, handover idempotency.Handover) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	received, known, err := entry.Peers.Handover(ctx, entry.peerNamed(earlier.Name()), handover)
	if err != nil || !known || received.Giver != earlier {
		return
	}
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.owner.Receive(received)
}

// leaveTable drops this incarnation and waits until its keys are taken over, or the context ends.
func (entry *Entry) leaveTable(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, tableDeadline)
		asked := entry.Clock()
		table, revision, err := entry.loadTable(call)
		if err == nil {
			entry.adoptTable(asked, table, revision)
			if table.Has(entry.Incarnation) && len(table.Members) > 1 {
				entry.swapTable(call, "left", table.Change([]idempotency.Incarnation{entry.Incarnation}, nil), revision)
			} else if !awaits(table, entry.Incarnation) {
				cancel()
				return
			}
		}
		cancel()
		sleep(ctx, keyTick)
	}
}

// awaits reports whether some partition still awaits the keys of an incarnation.
func awaits(table *idempotency.Table, incarnation idempotency.Incarnation) bool {
	for _, row := range table.Partitions {
		for _, earlier := range row.Pending {
			if earlier == incarnation {
				return true
			}
		}
	}
	return false
}

// encodeTable returns the table as the store keeps it.
func encodeTable(table *idempotency.Table) ([]byte, error) {
	message := &wire.Table{Epoch: table.Epoch, Members: uint32(len(table.Members))}
	index := map[idempotency.Incarnation]uint32{}
	indexOf := func(incarnation idempotency.Incarnation) uint32 {
		i, known := index[incarnation]
		if !known {
			i = uint32(len(index))
			index[incarnation] = i
			message.Incarnations = append(message.Incarnations, string(incarnation))
		}
		return i
	}
	for _, member := range table.Members {
		indexOf(member)
	}
	for p, row := range table.Partitions {
		message.Owners = append(message.Owners, indexOf(row.Owner))
		message.Since = append(message.Since, row.Since)
		if len(row.Pending) == 0 {
			continue
		}
		pending := &wire.Pending{Partition: uint32(p)}
		for _, earlier := range row.Pending {
			pending.Owners = append(pending.Owners, indexOf(earlier))
		}
		message.Pending = append(message.Pending, pending)
	}
	return proto.Marshal(message)
}

// decodeTable reads a stored table; no value stands for the empty table.
func decodeTable(value []byte) (*idempotency.Table, error) {
	message := &wire.Table{}
	if err := proto.Unmarshal(value, message); err != nil {
		return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: err}
	}
	table := &idempotency.Table{Epoch: message.GetEpoch()}
	names := message.GetIncarnations()
	if int(message.GetMembers()) > len(names) || len(message.GetSince()) != len(message.GetOwners()) {
		return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: errMalformed}
	}
	for _, name := range names[:message.GetMembers()] {
		table.Members = append(table.Members, idempotency.Incarnation(name))
	}
	for p, owner := range message.GetOwners() {
		if int(owner) >= len(names) {
			return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: errMalformed}
		}
		table.Partitions = append(table.Partitions, idempotency.Partition{
			Owner: idempotency.Incarnation(names[owner]), Since: message.GetSince()[p],
		})
	}
	for _, pending := range message.GetPending() {
		if int(pending.GetPartition()) >= len(table.Partitions) {
			return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: errMalformed}
		}
		for _, earlier := range pending.GetOwners() {
			if int(earlier) >= len(names) {
				return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: errMalformed}
			}
			row := &table.Partitions[pending.GetPartition()]
			row.Pending = append(row.Pending, idempotency.Incarnation(names[earlier]))
		}
	}
	if err := table.Check(); err != nil {
		return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: err}
	}
	return table, nil
}
