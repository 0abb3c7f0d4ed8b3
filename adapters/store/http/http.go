// Package http is a client of the platform's key-value store over HTTP.
//
// GET /v1/keys/KEY returns the value with its revision in the Revision header, or 404. With after=REV and
// wait=SECONDS it responds when the revision differs, or with 304 after that time. PUT takes the expected revision in If-Match
// (0 for an absent key) and returns the new revision, or 412. DELETE removes a key.
package http

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	answers "github.com/sequoiaspan/sequoiaspan/adapters/answer/http"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Request limits.
const (
	maxValueBytes = 1 << 20
	callTimeout   = 2 * time.Second
	watchWait     = 20 * time.Second
	watchTimeout  = watchWait + 5*time.Second
)

// Store is a key-value store client. Address must be set.
type Store struct {
	Address netip.AddrPort
	Client  http.Client
	Delays  wait.Delays // nil for none
}

// Get returns a key's value; revision 0 means that the key is absent.
func (store *Store) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), store.Delays)
	defer cancel()
	value, revision, _, err := store.get(ctx, "get", key, nil)
	return value, revision, err
}

// GetNewer returns a key's value if its revision differs from the given one; it does not wait.
func (store *Store) GetNewer(ctx context.Context, key string, revision uint64) ([]byte, uint64, bool, error) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), store.Delays)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(revision, 10)}, "wait": {"0"}}
	return store.get(ctx, "get", key, query)
}

// Watch returns once the key's revision differs from the given one.
func (store *Store) Watch(ctx context.Context, key string, revision uint64) ([]byte, uint64, error) {
	for {
		value, newRevision, changed, err := store.watchOnce(ctx, key, revision)
		if err != nil || changed {
			return value, newRevision, err
		}
	}
}

func (store *Store) watchOnce(ctx context.Context, key string, revision uint64) ([]byte, uint64, bool, error) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(watchTimeout), store.Delays)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(revision, 10)},
		"wait":  {strconv.Itoa(int(watchWait / time.Second))},
	}
	return store.get(ctx, "watch", key, query)
}

func (store *Store) get(ctx context.Context, op, key string, query url.Values) (value []byte, revision uint64, changed bool, err error) {
	response, err := store.do(ctx, op, http.MethodGet, key, query, nil, nil)
	if err != nil {
		return nil, 0, false, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return nil, 0, false, nil
	case http.StatusNotFound:
		return nil, 0, true, nil
	case http.StatusOK:
		value, revision, err = readValue(op, response)
		return value, revision, true, err
	}
	return nil, 0, false, unexpectedStatusError(op, response)
}

func readValue(op string, response *http.Response) ([]byte, uint64, error) {
	revision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	if err != nil || revision == 0 {
		return nil, 0, &entry.Error{Op: op, Kind: entry.KindInvalid, Err: errors.New("response has no valid revision")}
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return nil, 0, &entry.Error{Op: op, Kind: entry.KindUnavailable, Err: err}
	}
	if len(value) > maxValueBytes {
		return nil, 0, &entry.Error{Op: op, Kind: entry.KindInvalid, Err: errors.New("value too large")}
	}
	return value, revision, nil
}

// CompareAndSwap writes a value if the key still has the revision; after an error of entry.KindAway the write may have been applied.
func (store *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, &entry.Error{Op: "compare-and-swap", Kind: entry.KindRefused, Err: errors.New("value too large")}
	}
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), store.Delays)
	defer cancel()
	header := http.Header{"If-Match": {strconv.FormatUint(revision, 10)}}
	response, err := store.do(ctx, "compare-and-swap", http.MethodPut, key, nil, header, value)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		newRevision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
		if err != nil {
			return 0, &entry.Error{Op: "compare-and-swap", Kind: entry.KindUnavailable, Err: errors.New("response has no valid revision")}
		}
		return newRevision, nil
	case http.StatusPreconditionFailed:
		return 0, &entry.Error{Op: "compare-and-swap", Kind: entry.KindConflict, Err: errors.New("key has a different revision")}
	}
	return 0, unexpectedStatusError("compare-and-swap", response)
}

// Delete removes a key; deleting an absent key is not an error.
func (store *Store) Delete(ctx context.Context, key string) error {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), store.Delays)
	defer cancel()
	response, err := store.do(ctx, "delete", http.MethodDelete, key, nil, nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotFound {
		return unexpectedStatusError("delete", response)
	}
	return nil
}

func (store *Store) do(ctx context.Context, op, method, key string, query url.Values, header http.Header, body []byte) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: store.Address.String(), Path: "/v1/keys/" + key, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &entry.Error{Op: op, Kind: entry.KindRefused, Err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	// Without GetBody the transport cannot retry a write on its own.
	request.GetBody = nil
	response, err := answers.Do(&store.Client, request)
	if err != nil {
		return nil, &entry.Error{Op: op, Kind: entry.KindUnavailable, Err: err}
	}
	return response, nil
}

func unexpectedStatusError(op string, response *http.Response) error {
	return &entry.Error{Op: op, Kind: entry.KindUnavailable, Err: fmt.Errorf("unexpected store status %s", response.Status)}
}
