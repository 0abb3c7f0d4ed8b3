package entry

import (
	"context"
	"sync"

	"go.uber.org/zap"
)

// Leave removes this instance from the directory, notifies the other instances and hands over its keys. It returns when this is done
// or the context ends.
func (entry *Entry) Leave(ctx context.Context) {
	if entry.leaving.Swap(true) {
		return
	}
	entry.Log.Info("entry: leaving; new work ends when cached directory responses expire")
	entry.cancelLeave()
	entry.MarkLeaving(entry.Name)
	var group sync.WaitGroup
	group.Go(func() { entry.announceLeaving(ctx) })
	if entry.Store != nil {
		group.Go(func() { entry.awaitHandover(ctx) })
	}
	group.Wait()
}

// maxConcurrentAnnouncements limits the leave notifications that are sent at a time.
const maxConcurrentAnnouncements = 32

func (entry *Entry) announceLeaving(ctx context.Context) {
	semaphore := make(chan struct{}, maxConcurrentAnnouncements)
	var group sync.WaitGroup
	for _, candidate := range entry.members.plan().candidates {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			call, cancel := context.WithTimeout(ctx, keyCallTimeout)
			defer cancel()
			if err := entry.Peers.NotifyLeaving(call, Peer{candidate.Entry.Name, candidate.Entry.Peer}); err != nil {
				entry.Log.Debug("entry: could not notify a peer that this instance is leaving", zap.String("peer", candidate.Entry.Name), zap.Error(err))
			}
		})
	}
	group.Wait()
}
