// Package http sends requests over HTTP/1.1 and returns only answers whose head and end are certain.
package http

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/answer"
)

// Transport is an http.Transport whose answers are judged, for URLs of the scheme http:
//   - A head that HTTP does not allow, of an interim or a final answer, is an error.
//   - A body without a length is complete only if the server has ended the connection, not if that was lost.
//   - A trailer that HTTP does not allow is an error instead of io.EOF.
//
// After such an error the connection is closed. The zero value is ready to use; it has no proxy.
type Transport struct {
	http.Transport

	once sync.Once
}

func (transport *Transport) init() {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed}, nil
	}
}

// Idle connections of Do.
const (
	maxIdlePerServer = 4
	idleTimeout      = 90 * time.Second
)

var defaultTransport = &Transport{Transport: http.Transport{
	Proxy: http.ProxyFromEnvironment, MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout,
}}

// Do sends a request by a client. The answer is judged if the client has no transport of its own.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	judging := *client
	if judging.Transport == nil {
		judging.Transport = defaultTransport
	}
	return judging.Do(request)
}

var (
	errScheme     = errors.New("scheme is not http")
	errUnexpected = errors.New("response was sent before its request")
)

// RoundTrip sends a request and returns its response. The error of an invalid head wraps an *answer.Error.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	if request.URL.Scheme != "http" {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, errScheme
	}
	exchange := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: exchange.begin}
	response, err := transport.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := exchange.check(response); err != nil {
		// The error of the head is the one to return.
		_ = exchange.conn.Close()
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response, conn: exchange.conn}
	return response, nil
}

// exchange is a request and its answer on a connection.
type exchange struct {
	conn    *conn
	scanner *answer.Scanner
}

// begin records the connection that the request is about to be written to.
func (exchange *exchange) begin(info httptrace.GotConnInfo) {
	exchange.conn = info.Conn.(*conn)
	exchange.scanner = exchange.conn.expect()
}

// check compares a response with the head that was read from its connection.
func (exchange *exchange) check(response *http.Response) error {
	framing, found := exchange.conn.framing(exchange.scanner)
	if !found {
		return &answer.Error{Op: "head", Kind: answer.KindFraming, Err: errUnexpected}
	}
	length := response.ContentLength
	if response.Uncompressed {
		length = framing.Length
	}
	if err := framing.Check(response.StatusCode, len(response.TransferEncoding) > 0, length); err != nil {
		return err
	}
	return answer.CheckTrailer(response.Trailer)
}

// body is the body of a response. It ends with io.EOF only if the trailer is valid.
type body struct {
	io.ReadCloser
	response *http.Response
	conn     *conn
}

// Read reads from the body.
func (body *body) Read(p []byte) (int, error) {
	n, err := body.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := answer.CheckTrailer(body.response.Trailer); trailerErr != nil {
			// The error of the trailer is the one to return.
			_ = body.conn.Close()
			return n, trailerErr
		}
	}
	return n, err
}
