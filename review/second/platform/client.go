package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one request of a client and what the client saw.
type sent struct {
	At       time.Time
	Took     time.Duration
	ID       string
	Method   string
	Target   string
	Kind     string
	Status   int    // 0 if the connection ended without a complete answer
	Signed   bool   // the answer has a Response-Signature
	Echoed   string // Attempt-Id of the answer
	Failure  string
	RetryIn  string
	BodySize int
}

// sents collects what clients sent.
type sents struct {
	mu   sync.Mutex
	all  []sent
	next int
}

func (sents *sents) nextID() string {
	sents.mu.Lock()
	defer sents.mu.Unlock()
	sents.next++
	return fmt.Sprintf("%016x", 0x5eed0000+sents.next)
}

func (sents *sents) add(sent sent) {
	sents.mu.Lock()
	defer sents.mu.Unlock()
	sents.all = append(sents.all, sent)
}

func (sents *sents) list() []sent {
	sents.mu.Lock()
	defer sents.mu.Unlock()
	return append([]sent(nil), sents.all...)
}

// clientRequest is a request that a client sends once, on a new connection.
type clientRequest struct {
	node                     *node
	method, host, target     string
	kind, body, key, headers string // headers are further header lines
	deadline                 time.Duration
}

// send sends a request and waits for its answer until the deadline.
func (sents *sents) send(request clientRequest) sent {
	out := sent{At: time.Now(), ID: sents.nextID(), Method: request.method, Target: request.target, Kind: request.kind}
	out.exchange(request)
	out.Took = time.Since(out.At)
	sents.add(out)
	return out
}

func (sent *sent) exchange(request clientRequest) {
	conn, err := net.DialTimeout("tcp", request.node.front, time.Second)
	if err != nil {
		sent.Failure = err.Error()
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(request.deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\n", request.method, request.target, request.host, sent.ID, request.deadline.Milliseconds())
	if request.key != "" {
		text += "Authorization: Token " + request.key + "\r\n"
	}
	if request.body != "" || request.method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(request.body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, text+request.headers+"\r\n"+request.body); err != nil {
		sent.Failure = err.Error()
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: request.method})
	if err != nil {
		sent.Failure = err.Error()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		sent.Failure = err.Error()
		return
	}
	sent.Status, sent.BodySize = response.StatusCode, len(body)
	sent.Signed, sent.Echoed = response.Header.Get("Response-Signature") != "", response.Header.Get("Attempt-Id")
	sent.RetryIn = response.Header.Get("Retry-After")
}

// served reports whether the client got a success of an upstream.
func (sent *sent) served() bool { return sent.Status >= 200 && sent.Status < 300 && sent.Signed }
