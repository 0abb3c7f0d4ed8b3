package entry

import (
	"context"
	"sync"

	"go.uber.org/zap"
)

// Leave takes this instance out of the directory, tells the other instances, and hands over its keys; it returns when that is done or the context ends.
func (entry *Entry) Leave(ctx context.Context) {
	if entry.leaving.Swap(true) {
		return
	}
	entry.Log.Info("entry: leaving, no new work after the kept directory answers end")
	entry.cancelLeave()
	entry.MarkLeaving(entry.Name)
	var group sync.WaitGroup
	group.Go(func() { entry.announceLeaving(ctx) })
	if entry.Store != nil {
		group.Go(func() { entry.awaitHandover(ctx) })
	}
	group.Wait()
}

// announceFanOut bounds the announcements under way at a time.
const announceFanOut = 32

func (entry *Entry) announceLeaving(ctx context.Context) {
	slots := make(chan struct{}, announceFanOut)
	var group sync.WaitGroup
	for _, candidate := range entry.members.plan().candidates {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, keyCallTimeout)
			defer cancel()
			if err := entry.Peers.NotifyLeaving(call, Peer{candidate.Entry.Name, candidate.Entry.Peer}); err != nil {
				entry.Log.Debug("entry: a peer was not told of leaving", zap.String("peer", candidate.Entry.Name), zap.Error(err))
			}
		})
	}
	group.Wait()
}
