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

	answers "github.com/sequoiaspan/sequoiaspan/adapters/answer/http"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/dialect"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Connection handling.
const (
	dialTimeout           = 400 * time.Millisecond // a lost packet is retransmitted after a second; trying another server is faster
	maxIdlePerServer      = 2
	keepAliveIdle         = 5 * time.Second
	keepAliveInterval     = 2 * time.Second
	keepAliveCount        = 3
	maxHeaderBytes        = 32 << 10 // of a response; with twice this limit, 200 concurrent endless headers take more than 32 MB
	expectContinueTimeout = time.Second
	maxProbeBytes         = 4 << 10
)

// Options are the settings of one attempt.
type Options struct {
	Address netip.AddrPort
	Fresh   bool // use a new connection and close it afterwards
}

// Progress is the state of an attempt's connection. It is safe for concurrent use.
type Progress struct {
	mu     sync.Mutex
	wrote  bool
	reused bool
	conn   net.Conn
}

// Wrote reports whether any byte of the request may have been sent to the server.
func (progress *Progress) Wrote() bool {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return progress.wrote
}

// Reused reports whether the attempt uses a connection that carried an earlier request.
func (progress *Progress) Reused() bool {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return progress.reused
}

// SetConnected records that the attempt has a connection; from then on bytes of the request may be sent.
func (progress *Progress) SetConnected(reused bool) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.wrote, progress.reused = true, reused
}

// setConnection records the attempt's connection.
func (progress *Progress) setConnection(info httptrace.GotConnInfo) {
	progress.SetConnected(info.Reused)
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.conn = info.Conn
}

// CloseConnection closes the attempt's connection, so that no request gets an answer of this one's on it.
func (progress *Progress) CloseConnection() {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	if progress.conn != nil {
		// The answer is discarded, so an error of its connection does not matter.
		_ = progress.conn.Close()
	}
}

// Backend sends requests to backend servers. The zero value is ready to use.
type Backend struct {
	Dialect dialect.Dialect // nil for dialect.Native
	Delays  wait.Delays     // nil for none

	once   sync.Once
	pooled *answers.Transport // keeps idle connections
	fresh  *answers.Transport // uses a new connection per request
}

func (backend *Backend) init() {
	if backend.Dialect == nil {
		backend.Dialect = dialect.Native{}
	}
	backend.pooled = newTransport(backend.Delays)
	backend.fresh = newTransport(backend.Delays)
	backend.fresh.DisableKeepAlives = true
}

func newTransport(delays wait.Delays) *answers.Transport {
	dialer := &dialer{delays: delays, Dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}}
	return &answers.Transport{Transport: http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		IdleConnTimeout: pool.IdleTimeout, MaxIdleConnsPerHost: maxIdlePerServer,
		MaxResponseHeaderBytes: maxHeaderBytes, ExpectContinueTimeout: expectContinueTimeout,
	}}
}

// Send sends the request and returns the response once its header is complete.
//
// It prevents the transport's own retries: a request is written to one connection only.
func (backend *Backend) Send(request *http.Request, options Options, progress *Progress) (*http.Response, error) {
	backend.once.Do(backend.init)
	ctx, cancel := context.WithCancelCause(request.Context())
	headerMonitor := &headerMonitor{cancel: cancel, delays: backend.Delays}
	defer headerMonitor.stop()
	trace := &httptrace.ClientTrace{GotConn: progress.setConnection}
	headerMonitor.trace(trace)
	out := request.WithContext(httptrace.WithClientTrace(ctx, trace))
	out.URL = &url.URL{Scheme: "http", Host: options.Address.String(), Opaque: request.URL.Opaque,
		Path: request.URL.Path, RawPath: request.URL.RawPath, RawQuery: request.URL.RawQuery, ForceQuery: request.URL.ForceQuery}
	out.RequestURI = ""
	preventReplay(out)
	transport := backend.pooled
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

// body is a response body that releases the attempt's context on Close.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the attempt's context.
func (body *body) Close() error {
	err := body.ReadCloser.Close()
	body.cancel(nil)
	return err
}

// preventReplay changes the request so that net/http's transport does not resend it on its own.
//
// The transport replays requests without a body or with GetBody whose method is idempotent or that have an
// idempotency key in canonical spelling (net/http, Request.isReplayable). Header names are
// case-insensitive, so the server treats the lower-case spelling alike.
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

// IsServerError reports whether a status code counts as a failure of the server that sent it.
func IsServerError(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// Probe checks a server's health on a new connection. It returns the server's notice even if it is unhealthy, and an empty
// one if there is no response.
func (backend *Backend) Probe(ctx context.Context, probe pool.Probe, path string) (healthy bool, notice entry.Notice) {
	backend.once.Do(backend.init)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.Address.String(), nil)
	if err != nil {
		return false, entry.Notice{}
	}
	// Unlike url.Parse, it takes all of the path as such, whatever characters it has.
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return false, entry.Notice{}
	}
	request.URL.Path, request.URL.RawPath, request.URL.RawQuery = target.Path, target.RawPath, target.RawQuery
	response, err := backend.fresh.RoundTrip(request)
	if err != nil {
		return false, entry.Notice{}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	notice = noticeOf(backend.parseResponse(response))
	return err == nil && backend.Dialect.IsHealthy(probe.Server, response) && !notice.Leaving, notice
}

// parseResponse parses the metadata of a response to a request that this instance made itself.
func (backend *Backend) parseResponse(response *http.Response) dialect.ResponseInfo {
	// Invalid headers are ignored here; they are logged when they come with responses to callers' requests.
	info, _ := backend.Dialect.ParseResponse(time.Now(), dialect.RequestInfo{}, response)
	return info
}

func noticeOf(info dialect.ResponseInfo) entry.Notice {
	return entry.Notice{Leaving: info.Leaving, PausedUntil: info.PausedUntil}
}

// Close closes the idle connections.
func (backend *Backend) Close() {
	backend.once.Do(backend.init)
	backend.pooled.CloseIdleConnections()
	backend.fresh.CloseIdleConnections()
}
