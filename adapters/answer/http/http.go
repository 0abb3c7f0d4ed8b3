// Package http sends requests over HTTP/1.1 and returns only answers whose end is certain.
package http

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Transport is an http.Transport that takes a body without a length for complete only if the server has ended the connection, not if that was lost.
// The zero value is ready to use; it has no proxy.
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

// RoundTrip sends a request and returns its response.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.once.Do(transport.init)
	return transport.Transport.RoundTrip(request)
}

// Idle connections of Do.
const (
	maxIdlePerServer = 4
	idleTimeout      = 90 * time.Second
)

var defaultTransport = &Transport{Transport: http.Transport{
	Proxy: http.ProxyFromEnvironment, MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout,
}}

// Do sends a request by a client, over a Transport if the client has none of its own.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	certain := *client
	if certain.Transport == nil {
		certain.Transport = defaultTransport
	}
	return certain.Do(request)
}
