// Package http sends requests to backend servers over HTTP/1.1.
package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Connection handling.
const (
	dialTimeout    = 400 * time.Millisecond // a lost packet is sent again after a second; another server is tried sooner
	idlePerServer  = 2
	keepAliveIdle  = 5 * time.Second
	keepAliveEvery = 2 * time.Second
	keepAliveCount = 3
	headerBytes    = 32 << 10 // of an answer; twice as many take more than 32 MB where 200 answers do not end
	expectTimeout  = time.Second
	probeBytes     = 4 << 10
)

// Options of one attempt.
type Options struct {
	Address netip.AddrPort
	Fresh   bool // use a new connection and close it afterwards
}

// Progress tells how far an attempt has come; it is safe for concurrent use.
type Progress struct {
	mu     sync.Mutex
	wrote  bool
	reused bool
}

// Wrote reports whether a byte of the request may have left for the server.
func (progress *Progress) Wrote() bool {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return progress.wrote
}

// Reused reports whether the connection had carried a request before.
func (progress *Progress) Reused() bool {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return progress.reused
}

// Connected records that a connection is at hand: from here on a byte may leave.
func (progress *Progress) Connected(reused bool) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.wrote, progress.reused = true, reused
}

// Backend sends requests to backend servers; the zero value works.
type Backend struct {
	Dialect dialect.Dialect // nil for sequoiaspan's own

	once  sync.Once
	kept  *http.Transport // connections stay open for a while
	fresh *http.Transport // one request a connection
}

func (backend *Backend) init() {
	if backend.Dialect == nil {
		backend.Dialect = dialect.Native{}
	}
	backend.kept = newTransport()
	backend.fresh = newTransport()
	backend.fresh.DisableKeepAlives = true
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		IdleConnTimeout: pool.IdleTimeout, MaxIdleConnsPerHost: idlePerServer,
		MaxResponseHeaderBytes: headerBytes, ExpectContinueTimeout: expectTimeout,
	}
}

// Send sends the request and returns the answer once its header is there.
//
// The transport's own retries are kept off: a request is written to one connection only.
func (backend *Backend) Send(request *http.Request, options Options, progress *Progress) (*http.Response, error) {
	backend.once.Do(backend.init)
	ctx, cancel := context.WithCancelCause(request.Context())
	head := &head{cancel: cancel}
	defer head.end()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { progress.Connected(info.Reused) }}
	head.trace(trace)
	out := request.WithContext(httptrace.WithClientTrace(ctx, trace))
	out.URL = &url.URL{Scheme: "http", Host: options.Address.String(), Opaque: request.URL.Opaque,
		Path: request.URL.Path, RawPath: request.URL.RawPath, RawQuery: request.URL.RawQuery, ForceQuery: request.URL.ForceQuery}
	out.RequestURI = ""
	preventReplay(out)
	transport := backend.kept
	if options.Fresh {
		transport = backend.fresh
	}
	response, err := transport.RoundTrip(out)
	if err != nil {
		cancel(err)
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// body frees the attempt's context with the end of its body.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body.
func (body *body) Close() error {
	err := body.ReadCloser.Close()
	body.cancel(nil)
	return err
}

// preventReplay makes the request one that net/http's transport does not send again by itself.
//
// The transport replays requests without a body or with GetBody whose method is idempotent or that have an
// idempotency key in canonical spelling (net/http, Request.isReplayable). Header names are
// case-insensitive, so the lower-case spelling means the same to the server.
func preventReplay(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		switch request.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			request.Body = io.NopCloser(eofReader{})
		}
	}
	for _, name := range []string{dialect.KeyHeader, "X-" + dialect.KeyHeader} {
		if values, found := request.Header[name]; found {
			delete(request.Header, name)
			request.Header[lowerCase[name]] = values
		}
	}
}

var lowerCase = map[string]string{dialect.KeyHeader: "idempotency-key", "X-" + dialect.KeyHeader: "x-idempotency-key"}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// IsServerError reports whether a status speaks against the server that gave it.
func IsServerError(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// Probe checks a server's health on a new connection.
func (backend *Backend) Probe(ctx context.Context, probe pool.Probe, path string) (healthy bool, notice entry.Notice) {
	backend.once.Do(backend.init)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.Address.String()+path, nil)
	if err != nil {
		return false, entry.Notice{}
	}
	response, err := backend.fresh.RoundTrip(request)
	if err != nil {
		return false, entry.Notice{}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, probeBytes))
	notice = noticeOf(backend.heard(response))
	return err == nil && backend.Dialect.IsHealthy(probe.Server, response) && !notice.Leaving, notice
}

// heard returns what a server says with an answer to a request of this instance's own.
func (backend *Backend) heard(response *http.Response) dialect.ResponseInfo {
	// A word that makes no sense is left out here; answers to callers' requests bring it to the log.
	said, _ := backend.Dialect.ParseResponse(time.Now(), dialect.RequestInfo{}, response)
	return said
}

func noticeOf(said dialect.ResponseInfo) entry.Notice {
	return entry.Notice{Leaving: said.Leaving, PausedUntil: said.PausedUntil}
}

// Close closes idle connections.
func (backend *Backend) Close() {
	backend.once.Do(backend.init)
	backend.kept.CloseIdleConnections()
	backend.fresh.CloseIdleConnections()
}
