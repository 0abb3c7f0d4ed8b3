package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/wait"
	"github.com/sequoiaspan/sequoiaspan/wire"
)

// TableKey is the key table's key in the platform's store.
const TableKey = "sequoiaspan/idempotency/table"

// Timing of the key table.
const (
	keyTick       = 250 * time.Millisecond
	settleTries   = 5
	claimTries    = 4
	claimPause    = 20 * time.Millisecond
	tableDeadline = 2 * time.Second // for one call to the store
)

// keys is this instance's part in keeping idempotency keys.
type keys struct {
	mu     sync.Mutex
	keeper idempotency.Coordinator
	wanted chan struct{}
}

func (keys *keys) claim(now time.Time, claim idempotency.Claim) idempotency.Verdict {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.keeper.Claim(now, claim)
}

func (keys *keys) settle(now time.Time, settlement idempotency.Settlement) bool {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.keeper.Settle(now, settlement)
}

func (keys *keys) give(handover idempotency.Handover) (idempotency.HandoverReply, bool) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.keeper.HandOver(handover)
}

func (keys *keys) table() *idempotency.Table {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.keeper.Table()
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
		wait.For(ctx, claimPause)
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
	if verdict.Answer == idempotency.Allowed {
		verdict.WriteDeadline = asked.Add(idempotency.WriteStartTimeout)
	}
	return verdict
}

// ownerOf returns the owner of a key and the epoch since which it owns the key's partition.
func (entry *Entry) ownerOf(key idempotency.Key) (idempotency.Incarnation, uint64) {
	table := entry.keys.table()
	if table == nil || len(table.Partitions) == 0 {
		return "", 0
	}
	row := table.Partitions[key.Partition()]
	return row.Owner, row.Since
}

func (entry *Entry) peerNamed(name string) Peer {
	return Peer{name, entry.members.plan().byName[name].Peer}
}

// Settle tells the key's owner what came of a claim. The first try is waited for, so that a caller who has its answer
// and repeats the request finds it settled; further tries are made in the background.
func (entry *Entry) Settle(settlement idempotency.Settlement) {
	if !entry.settleOnce(settlement) {
		go entry.settleLater(settlement)
	}
}

// settleOnce reports whether the key's owner has taken the settlement.
func (entry *Entry) settleOnce(settlement idempotency.Settlement) bool {
	owner, _ := entry.ownerOf(settlement.Key)
	if owner == entry.Incarnation {
		return entry.keys.settle(entry.Clock(), settlement)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tableDeadline)
	defer cancel()
	kept, err := entry.Peers.Settle(ctx, entry.peerNamed(owner.Name()), settlement)
	return err == nil && kept
}

func (entry *Entry) settleLater(settlement idempotency.Settlement) {
	pause := claimPause
	for range settleTries {
		wait.For(context.Background(), pause)
		if entry.settleOnce(settlement) {
			return
		}
		pause *= 4
	}
	entry.count("keys.lost-settlements")
}

// listRead passes a reading of the list on to the keeper.
func (entry *Entry) listRead(list instance.List) {
	listing := idempotency.ListSnapshot{At: list.AsOf, AsOf: list.AsOf}
	if list.AsOf.IsZero() {
		listing.At = entry.Clock()
	}
	for _, other := range list.Entries {
		listing.Names = append(listing.Names, other.Name)
		listing.IncludesSelf = listing.IncludesSelf || other.Name == entry.Name && other.Peer == entry.Peer
	}
	slices.Sort(listing.Names)
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.keeper.ObserveList(listing)
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
			wait.For(ctx, claimPause)
		}
	}
}

func (entry *Entry) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	asked := entry.Clock()
	table, revision, err := entry.newestTable(ctx)
	if err != nil {
		entry.count("keys.table-errors")
		entry.Log.Warn("keys: the table could not be read, the known one stays", zap.Error(err))
		return
	}
	entry.tableRead(asked, table, revision)
}

// newestTable reads the table if it has changed; otherwise it returns the known one.
func (entry *Entry) newestTable(ctx context.Context) (*idempotency.Table, uint64, error) {
	entry.keys.mu.Lock()
	known, revision := entry.keys.keeper.Table(), entry.keys.keeper.Revision()
	entry.keys.mu.Unlock()
	value, newRevision, changed, err := entry.Store.GetNewer(ctx, TableKey, revision)
	if err != nil {
		return nil, 0, err
	}
	if !changed && known != nil {
		return known, revision, nil
	}
	table, err := decodeTable(value)
	return table, newRevision, err
}

func (entry *Entry) tableRead(asked time.Time, table *idempotency.Table, revision uint64) {
	entry.keys.mu.Lock()
	known := entry.keys.keeper.Table()
	entry.keys.keeper.ObserveTable(asked, table, revision)
	entry.keys.mu.Unlock()
	if known == nil || table.Epoch > known.Epoch {
		entry.Log.Info("keys: a table is in use", zap.Uint64("epoch", table.Epoch), zap.Int("members", len(table.Members)))
	}
}

// tickKeys takes over partitions and keeps the table true until the context ends.
func (entry *Entry) tickKeys(ctx context.Context) {
	every(ctx, keyTick, func(ctx context.Context) {
		actions := entry.tickKeeper()
		for earlier, handover := range actions.Handovers {
			go entry.takeOver(ctx, earlier, handover)
		}
		if actions.NewTable == nil {
			return
		}
		// A table read just now makes it likely that the swap wins.
		entry.readTable(ctx)
		if actions = entry.tickKeeper(); actions.NewTable != nil {
			entry.swapTable(ctx, actions)
		}
	})
}

func (entry *Entry) tickKeeper() idempotency.Actions {
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.keeper.Leaving = entry.IsLeaving()
	return entry.keys.keeper.Tick(entry.Clock())
}

// swapTable writes the next table; after a lost race or reply the next reading tells what holds.
func (entry *Entry) swapTable(ctx context.Context, actions idempotency.Actions) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	value, err := encodeTable(actions.NewTable)
	if err != nil {
		entry.Log.Error("keys: the table could not be encoded", zap.Error(err))
		return
	}
	asked := entry.Clock()
	revision, err := entry.Store.CompareAndSwap(ctx, TableKey, actions.Revision, value)
	entry.keys.mu.Lock()
	entry.keys.keeper.RecordSwap(entry.Clock(), err == nil)
	entry.keys.mu.Unlock()
	if err != nil {
		entry.count("keys.lost-swaps")
		entry.keys.wantTable()
		return
	}
	entry.Log.Info("keys: the table was changed", zap.String("change", actions.Reason), zap.Uint64("epoch", actions.NewTable.Epoch))
	entry.tableRead(asked, actions.NewTable, revision)
}

func (entry *Entry) takeOver(ctx context.Context, earlier idempotency.Incarnation, handover idempotency.Handover) {
	ctx, cancel := context.WithTimeout(ctx, tableDeadline)
	defer cancel()
	received, known, err := entry.Peers.Handover(ctx, entry.peerNamed(earlier.Name()), handover)
	if err != nil || !known || received.Source != earlier {
		return
	}
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.keeper.TakeOver(received)
}

// awaitReleased waits until nothing awaits this instance's keys, or the context ends.
func (entry *Entry) awaitReleased(ctx context.Context) {
	for ctx.Err() == nil {
		entry.keys.wantTable()
		wait.For(ctx, keyTick)
		entry.keys.mu.Lock()
		released := entry.keys.keeper.HandoverComplete()
		entry.keys.mu.Unlock()
		if released {
			return
		}
	}
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
