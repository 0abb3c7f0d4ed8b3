package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// send sends a request on a new connection. It returns the status of its answer, 0 without one, and who has signed it.
func send(w *world, n *node, method, id, path, body string, chunked bool) (status int, signer string) {
	defer func() { w.record.add("client %s has %d %s", id, status, signer) }()
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return status, ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	length := ""
	switch {
	case chunked:
		length, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case method == http.MethodPost:
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	w.record.add("client %s sends %s %s to %s", id, method, path, n.name)
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 3000\r\n%s\r\n%s", method, path, host, id, length, body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return status, ""
	}
	return response.StatusCode, response.Header.Get("Response-Signature")
}
