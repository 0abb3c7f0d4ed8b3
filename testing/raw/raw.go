// Package raw has test doubles of servers that send bytes as they are.
package raw

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Serve has a function answer each connection of a server, which also closes the connection. It returns the server's address.
func Serve(t testing.TB, answer func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Answer starts a server that reads a request of each connection, sends the text and ends the connection.
func Answer(t testing.TB, text string) netip.AddrPort {
	t.Helper()
	return Serve(t, func(conn *net.TCPConn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// The client may close the connection meanwhile.
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
}

// InvalidAnswers returns the answers of InvalidHeads and InvalidTrailers.
func InvalidAnswers(lines, body string) map[string]string {
	answers := InvalidHeads(lines, body)
	maps.Copy(answers, InvalidTrailers(lines, body))
	return answers
}

// InvalidHeads returns answers with the status 200, further lines of the head and a body, by the rule of HTTP that each head breaks. A client that takes
// them has a body with the sizes of its chunks, or is not told of a spoiled line.
func InvalidHeads(lines, body string) map[string]string {
	head, sized, chunks := "HTTP/1.1 200 OK\r\n"+lines, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), chunked(body, "")
	return map[string]string{
		"blank before the colon":        head + "Transfer-Encoding : chunked\r\n" + chunks,
		"blank in a name":               head + "Transfer Encoding: chunked\r\n" + chunks,
		"blank before a name":           head + "Transfer-Encoding: chunked\r\n" + " Content-Length: 5\r\n" + chunks,
		"folded transfer coding":        head + "Connection: close\r\n Transfer-Encoding: chunked\r\n" + chunks,
		"transfer coding of HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n" + chunks,
		"transfer coding and length":    head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" + chunks,
		"blank in a name of no framing": head + "Further name: x\r\n" + sized,
		"blank behind a name":           head + "Further : x\r\n" + sized,
		"control byte in a name":        head + "Fur\x01ther: x\r\n" + sized,
		"control byte in a value":       head + "Further: x\x01\r\n" + sized,
		"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\n" + lines + sized,
		"status 000":                    "HTTP/1.1 000 OK\r\n" + lines + sized,
		"version 2.0":                   "HTTP/2.0 200 OK\r\n" + lines + sized,
		"line without a colon":          head + "Further\r\n" + sized,
		"blank in a name of an interim": "HTTP/1.1 103 Early Hints\r\nFurther name: x\r\n\r\n" + head + sized,
		"transfer coding of an interim": "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + head + sized,
		"two lengths":                   head + "Content-Length: 1\r\n" + sized,
		"blank in an announced trailer": head + "Trailer: Further name\r\nTransfer-Encoding: chunked\r\n" + chunks,
	}
}

// InvalidTrailers returns answers with a valid head, as InvalidHeads does, by the rule of HTTP that each trailer breaks.
func InvalidTrailers(lines, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"blank in the name of a trailer": head + chunked(body, "Further name: x\r\n"),
		"length as a trailer":            head + chunked(body, "Content-Length: 5\r\n"),
	}
}

// chunked returns the end of a head, a body of one chunk and its trailer.
func chunked(body, trailer string) string {
	return fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}
