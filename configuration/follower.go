package configuration

import "context"

// Watcher is the subset of the platform's store that a Follower needs.
type Watcher interface {
	Getter
	Watch(ctx context.Context, key string, revision uint64) (value []byte, newRevision uint64, err error)
}

// Follower watches the store for new versions of the rules. Store must be set.
type Follower struct {
	Store Watcher
	known *Version
}

// Next waits for a version newer than the last one it returned, and returns its number and text.
func (follower *Follower) Next(ctx context.Context) (uint64, string, error) {
	for {
		version, err := follower.read(ctx)
		if err != nil {
			return 0, "", err
		}
		if version.Number == 0 || follower.known != nil && version.Number <= follower.known.Number {
			continue
		}
		follower.known = version
		return version.Number, version.Text, nil
	}
}

// read loads the version in force on the first call, and then waits for the head to change.
func (follower *Follower) read(ctx context.Context) (*Version, error) {
	if follower.known == nil {
		version, err := Load(ctx, follower.Store)
		if err != nil || version.Number != 0 {
			return version, err
		}
	}
	revision := uint64(0)
	if follower.known != nil {
		revision = follower.known.Revision
	}
	value, revision, err := follower.Store.Watch(ctx, HeadKey, revision)
	if err != nil {
		return nil, &Error{Op: "follow", Kind: KindUnavailable, Err: err}
	}
	return Resolve(ctx, follower.Store, value, revision, follower.known)
}
