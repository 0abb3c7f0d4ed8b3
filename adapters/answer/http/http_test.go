package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/answer"
	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// get requests a path and reads the answer.
func get(t *testing.T, transport *Transport, method string, from netip.AddrPort) (response *http.Response, content string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+from.String()+"/", nil)
	must.NoError(t, err)
	response, err = transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestInvalidAnswersAreErrors sends answers that HTTP does not allow. Their connections must be closed.
func TestInvalidAnswersAreErrors(t *testing.T) {
	for name, text := range raw.InvalidAnswers("", "hello") {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := raw.Serve(t, func(conn *net.TCPConn) {
				defer close(closed)
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, text)
				// The client closes the connection.
				_, _ = io.Copy(io.Discard, conn)
			})
			transport := &Transport{}
			defer transport.CloseIdleConnections()
			_, content, err := get(t, transport, http.MethodGet, address)
			must.Error(t, err, must.Sprintf("content %q", content))
			<-closed
		})
	}
}

// TestUnusualAnswersAreReturned sends answers that are seldom seen and that HTTP allows.
func TestUnusualAnswersAreReturned(t *testing.T) {
	const head, chunks = "HTTP/1.1 200 OK\r\n", "\r\n2\r\nhe\r\n3;x=\"y\"\r\nllo\r\n0\r\n"
	for _, c := range []struct{ method, text, content string }{
		{"GET", head + "\r\nhello", "hello"},
		{"GET", "HTTP/1.0 200 OK\r\n\r\nhello", "hello"},
		{"GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"GET", "HTTP/1.1 200\r\nContent-Length:5\r\n\r\nhello", "hello"},
		{"GET", "HTTP/1.1 200 OK\ncontent-length: 5\nEmpty:\n\nhello", "hello"},
		{"GET", head + "CONTENT-LENGTH: 5\t \r\nContent-Length: 5\r\n!#$%&'*+-.^_`|~: \xe4\r\n\r\nhello", "hello"},
		{"GET", head + "tRANSFER-eNCODING:\tCHUNKED \r\n" + chunks + "\r\n", "hello"},
		{"GET", head + "Transfer-Encoding: chunked\r\nTrailer: Checksum\r\n" + chunks + "Checksum: \xe4\r\nOther:\r\n\r\n", "hello"},
		{"GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello", "hello"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		{"HEAD", head + "Content-Length: 5\r\n\r\n", ""},
		{"HEAD", head + "Transfer-Encoding: chunked\r\n\r\n", ""},
		{"HEAD", head + "\r\n", ""},
	} {
		transport := &Transport{}
		response, content, err := get(t, transport, c.method, raw.Answer(t, c.text))
		must.NoError(t, err, must.Sprintf("%q", c.text))
		must.EqOp(t, c.content, content, must.Sprintf("%q", c.text))
		for name := range response.Header {
			must.NotEq(t, "Transfer-Encoding", name)
		}
		transport.CloseIdleConnections()
	}
}

// TestCompressedAnswersAreReturned guards against the length of a body that the transport decompresses, which it does not return.
func TestCompressedAnswersAreReturned(t *testing.T) {
	const hello = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\x03\xcbH\xcd\xc9\xc9\x07\x00\x86\xa6\x106\x05\x00\x00\x00"
	transport := &Transport{}
	defer transport.CloseIdleConnections()
	_, content, err := get(t, transport, http.MethodGet, raw.Answer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", len(hello), hello)))
	must.NoError(t, err)
	must.EqOp(t, "hello", content)
}

// TestEachAnswerOfAKeptConnectionIsJudged sends sound answers on a connection, with each framing, and then an invalid one.
func TestEachAnswerOfAKeptConnectionIsJudged(t *testing.T) {
	texts := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n",
	}
	conns := make(chan struct{}, len(texts))
	address := raw.Serve(t, func(conn *net.TCPConn) {
		defer conn.Close()
		conns <- struct{}{}
		reader := bufio.NewReader(conn)
		for _, text := range texts {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	transport := &Transport{}
	defer transport.CloseIdleConnections()
	for i := range texts {
		// A body that is not empty keeps the transport from repeating the request on a connection of its own.
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/", strings.NewReader("x"))
		must.NoError(t, err)
		request.GetBody = nil
		response, err := transport.RoundTrip(request)
		if i == len(texts)-1 {
			var invalid *answer.Error
			must.True(t, errors.As(err, &invalid), must.Sprint(err))
			must.Eq(t, answer.KindField, invalid.Kind)
			break
		}
		must.NoError(t, err, must.Sprint(i))
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err, must.Sprint(i))
		must.NoError(t, response.Body.Close())
	}
	must.EqOp(t, 1, len(conns))
}

// TestBytesBeforeTheRequestAreNoAnswer has a server send an answer, and more bytes with it that look like the next one, to clients that ask again at once.
func TestBytesBeforeTheRequestAreNoAnswer(t *testing.T) {
	const answered = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	address := raw.Serve(t, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answered+"first"+answered+"extra")
		_, _ = io.Copy(io.Discard, reader)
	})
	transport := &Transport{}
	defer transport.CloseIdleConnections()
	for range 200 {
		if _, content, err := get(t, transport, http.MethodGet, address); err == nil {
			must.EqOp(t, "first", content)
		}
	}
}

// TestOtherSchemesAreErrors guards against answers over a connection whose bytes are not judged.
func TestOtherSchemesAreErrors(t *testing.T) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://127.0.0.1:1/", nil)
	must.NoError(t, err)
	_, err = (&Transport{}).RoundTrip(request)
	must.ErrorIs(t, err, errScheme)
}
