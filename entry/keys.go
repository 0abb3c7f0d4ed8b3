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

// Timeouts and retry limits for idempotency keys.
const (
	keyTickInterval  = 250 * time.Millisecond
	maxSettleRetries = 5
	maxClaimAttempts = 4
	claimRetryDelay  = 20 * time.Millisecond
	keyCallTimeout   = 2 * time.Second // for one call to the store or a peer
)

// keys guards the coordinator of idempotency keys in this instance.
type keys struct {
	mu            sync.Mutex
	coordinator   idempotency.Coordinator
	tableRequests chan struct{}
}

func (keys *keys) claim(now time.Time, claim idempotency.Claim) idempotency.Verdict {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.coordinator.Claim(now, claim)
}

func (keys *keys) settle(now time.Time, settlement idempotency.Settlement) bool {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.coordinator.Settle(now, settlement)
}

func (keys *keys) handOver(handover idempotency.Handover) (idempotency.HandoverReply, bool) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.coordinator.HandOver(handover)
}

func (keys *keys) table() *idempotency.Table {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.coordinator.Table()
}

func (keys *keys) epoch() uint64 {
	if table := keys.table(); table != nil {
		return table.Epoch
	}
	return 0
}

// requestTable requests a read of the key table without blocking.
func (keys *keys) requestTable() {
	select {
	case keys.tableRequests <- struct{}{}:
	default:
	}
}

// Claim asks the key's owner whether a request may run. Claim retries after idempotency.NotOwner, so that NotReady and NotOwner
// in the returned verdict are final for this attempt.
func (entry *Entry) Claim(ctx context.Context, claim idempotency.Claim) idempotency.Verdict {
	verdict := idempotency.Verdict{Answer: idempotency.NotReady, RetryAt: entry.Clock().Add(time.Second)}
	for range maxClaimAttempts {
		askedAt := entry.Clock()
		owner, epoch := entry.ownerOf(claim.Key)
		claim.Epoch = epoch
		switch owner {
		case "":
			entry.keys.requestTable()
			return verdict
		case entry.Incarnation:
			verdict = entry.keys.claim(askedAt, claim)
		default:
			verdict = entry.claimFromPeer(ctx, owner, claim, askedAt)
		}
		if verdict.Answer != idempotency.NotOwner {
			return verdict
		}
		entry.keys.requestTable()
		wait.For(ctx, claimRetryDelay)
	}
	return verdict
}

// claimFromPeer sends a claim to another instance. The write deadline counts from the time of the request on this instance's clock,
// so that clocks of different instances are never compared.
func (entry *Entry) claimFromPeer(ctx context.Context, owner idempotency.Incarnation, claim idempotency.Claim, askedAt time.Time) idempotency.Verdict {
	verdict, err := entry.Peers.Claim(ctx, entry.peerByName(owner.Name()), claim)
	if err != nil {
		entry.count("keys.silent-owners")
		return idempotency.Verdict{Answer: idempotency.NotReady, RetryAt: entry.Clock().Add(time.Second)}
	}
	if verdict.Answer == idempotency.Allowed {
		verdict.WriteDeadline = askedAt.Add(idempotency.WriteStartTimeout)
	}
	return verdict
}

// ownerOf returns the owner of a key and the epoch in which it became the owner of the key's partition.
func (entry *Entry) ownerOf(key idempotency.Key) (idempotency.Incarnation, uint64) {
	table := entry.keys.table()
	if table == nil || len(table.Partitions) == 0 {
		return "", 0
	}
	row := table.Partitions[key.Partition()]
	return row.Owner, row.Since
}

func (entry *Entry) peerByName(name string) Peer {
	return Peer{name, entry.members.plan().byName[name].Peer}
}

// Settle sends the result of a claim to the key's owner. It waits for the first attempt, so that a caller who repeats the request
// after its answer finds the key settled. Retries run in the background.
func (entry *Entry) Settle(settlement idempotency.Settlement) {
	if !entry.settleOnce(settlement) {
		go entry.retrySettle(settlement)
	}
}

// settleOnce reports whether the key's owner has accepted the settlement.
func (entry *Entry) settleOnce(settlement idempotency.Settlement) bool {
	owner, _ := entry.ownerOf(settlement.Key)
	if owner == entry.Incarnation {
		return entry.keys.settle(entry.Clock(), settlement)
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyCallTimeout)
	defer cancel()
	kept, err := entry.Peers.Settle(ctx, entry.peerByName(owner.Name()), settlement)
	return err == nil && kept
}

func (entry *Entry) retrySettle(settlement idempotency.Settlement) {
	pause := claimRetryDelay
	for range maxSettleRetries {
		wait.For(context.Background(), pause)
		if entry.settleOnce(settlement) {
			return
		}
		pause *= 4
	}
	entry.count("keys.lost-settlements")
}

// observeList passes an instance list to the coordinator.
func (entry *Entry) observeList(list instance.List) {
	snapshot := idempotency.ListSnapshot{At: list.AsOf, AsOf: list.AsOf}
	if list.AsOf.IsZero() {
		snapshot.At = entry.Clock()
	}
	for _, other := range list.Entries {
		snapshot.Names = append(snapshot.Names, other.Name)
		snapshot.IncludesSelf = snapshot.IncludesSelf || other.Name == entry.Name && other.Peer == entry.Peer
	}
	slices.Sort(snapshot.Names)
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.coordinator.ObserveList(snapshot)
}

// followTable reads the key table periodically, and on request, until the context ends.
func (entry *Entry) followTable(ctx context.Context) {
	ticker := time.NewTicker(entry.Intervals.Table)
	defer ticker.Stop()
	for {
		entry.readTable(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-entry.keys.tableRequests:
			wait.For(ctx, claimRetryDelay)
		}
	}
}

func (entry *Entry) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	askedAt := entry.Clock()
	table, revision, err := entry.fetchTable(ctx)
	if err != nil {
		entry.count("keys.table-errors")
		entry.Log.Warn("keys: failed to read the key table; keeping the known one", zap.Error(err))
		return
	}
	entry.observeTable(askedAt, table, revision)
}

// fetchTable returns the stored table and its revision. If the stored table has not changed, it returns the known one.
func (entry *Entry) fetchTable(ctx context.Context) (*idempotency.Table, uint64, error) {
	entry.keys.mu.Lock()
	known, revision := entry.keys.coordinator.Table(), entry.keys.coordinator.Revision()
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

func (entry *Entry) observeTable(askedAt time.Time, table *idempotency.Table, revision uint64) {
	entry.keys.mu.Lock()
	known := entry.keys.coordinator.Table()
	entry.keys.coordinator.ObserveTable(askedAt, table, revision)
	entry.keys.mu.Unlock()
	if known == nil || table.Epoch > known.Epoch {
		entry.Log.Info("keys: using a new key table", zap.Uint64("epoch", table.Epoch), zap.Int("members", len(table.Members)))
	}
}

// tickKeys takes over partitions and updates the key table until the context ends.
func (entry *Entry) tickKeys(ctx context.Context) {
	runPeriodically(ctx, keyTickInterval, func(ctx context.Context) {
		actions := entry.tickCoordinator()
		for previous, handover := range actions.Handovers {
			go entry.takeOver(ctx, previous, handover)
		}
		if actions.NewTable == nil {
			return
		}
		// Reading the table first makes it likely that the compare-and-swap succeeds.
		entry.readTable(ctx)
		if actions = entry.tickCoordinator(); actions.NewTable != nil {
			entry.swapTable(ctx, actions)
		}
	})
}

func (entry *Entry) tickCoordinator() idempotency.Actions {
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.coordinator.Leaving = entry.IsLeaving()
	return entry.keys.coordinator.Tick(entry.Clock())
}

// swapTable writes a new table by compare-and-swap. After a conflict or a lost reply, the next read shows which table is stored.
func (entry *Entry) swapTable(ctx context.Context, actions idempotency.Actions) {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	value, err := encodeTable(actions.NewTable)
	if err != nil {
		entry.Log.Error("keys: failed to encode the key table", zap.Error(err))
		return
	}
	askedAt := entry.Clock()
	revision, err := entry.Store.CompareAndSwap(ctx, TableKey, actions.Revision, value)
	entry.keys.mu.Lock()
	entry.keys.coordinator.RecordSwap(entry.Clock(), err == nil)
	entry.keys.mu.Unlock()
	if err != nil {
		entry.count("keys.lost-swaps")
		entry.keys.requestTable()
		return
	}
	entry.Log.Info("keys: changed the key table", zap.String("change", actions.Reason), zap.Uint64("epoch", actions.NewTable.Epoch))
	entry.observeTable(askedAt, actions.NewTable, revision)
}

func (entry *Entry) takeOver(ctx context.Context, previous idempotency.Incarnation, handover idempotency.Handover) {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	received, known, err := entry.Peers.Handover(ctx, entry.peerByName(previous.Name()), handover)
	if err != nil || !known || received.Source != previous {
		return
	}
	entry.keys.mu.Lock()
	defer entry.keys.mu.Unlock()
	entry.keys.coordinator.TakeOver(received)
}

// awaitHandover waits until no other instance needs keys from this one, or the context ends.
func (entry *Entry) awaitHandover(ctx context.Context) {
	for ctx.Err() == nil {
		entry.keys.requestTable()
		wait.For(ctx, keyTickInterval)
		entry.keys.mu.Lock()
		complete := entry.keys.coordinator.HandoverComplete()
		entry.keys.mu.Unlock()
		if complete {
			return
		}
	}
}

// encodeTable encodes the table for the store.
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
		for _, previous := range row.Pending {
			pending.Owners = append(pending.Owners, indexOf(previous))
		}
		message.Pending = append(message.Pending, pending)
	}
	return proto.Marshal(message)
}

// decodeTable decodes a stored table. An empty value is the empty table.
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
		for _, previous := range pending.GetOwners() {
			if int(previous) >= len(names) {
				return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: errMalformed}
			}
			row := &table.Partitions[pending.GetPartition()]
			row.Pending = append(row.Pending, idempotency.Incarnation(names[previous]))
		}
	}
	if err := table.Check(); err != nil {
		return nil, &Error{Op: "decode table", Kind: KindInvalid, Err: err}
	}
	return table, nil
}
