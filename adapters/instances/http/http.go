// Package http reads the platform's instance list over HTTP.
//
// GET /v1/instances returns the list as JSON with its version in ETag. With If-None-Match, an unchanged list
// is answered with 304 and the time of the list in the As-Of header.
package http

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	answers "github.com/sequoiaspan/sequoiaspan/adapters/answer/http"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/logs"
	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Request limits.
const (
	maxListBytes = 16 << 20
	callTimeout  = 3 * time.Second
)

// Document is the JSON form of the instance list.
type Document struct {
	AsOf    time.Time `json:"as-of"`
	Entries []Entry   `json:"entry-instances"`
	Servers []Server  `json:"backend-servers"`
}

// Entry is the JSON form of an entry instance.
type Entry struct {
	Name     string         `json:"name"`
	Domain   string         `json:"failure-domain"`
	Region   string         `json:"region,omitempty"`
	Caller   netip.AddrPort `json:"caller-address"`
	Peer     netip.AddrPort `json:"peer-address"`
	Operator netip.AddrPort `json:"operator-address,omitzero"`
	// Processor is the processor time available to the instance, in cores.
	Processor float64 `json:"processor-cores,omitempty"`
	State     string  `json:"state"`
}

// Server is the JSON form of a backend server.
type Server struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Domain  string         `json:"failure-domain"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots,omitempty"`
	State   string         `json:"state"`
}

// readDocument is a Document whose rows are decoded one by one.
type readDocument struct {
	AsOf    time.Time         `json:"as-of"`
	Entries []json.RawMessage `json:"entry-instances"`
	Servers []json.RawMessage `json:"backend-servers"`
}

// Client reads the instance list. Address must be set.
type Client struct {
	Address    netip.AddrPort
	HTTPClient http.Client
	Log        *zap.Logger // nil to log nothing
	Delays     wait.Delays // nil for none

	mu   sync.Mutex
	last instance.List
}

// List returns the current list. For an unchanged list it returns the previous one with its new time.
func (client *Client) List(ctx context.Context) (instance.List, error) {
	ctx, cancel := wait.WithSilence(ctx, time.Now().Add(callTimeout), client.Delays)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+client.Address.String()+"/v1/instances", nil)
	if err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindRefused, Err: err}
	}
	client.mu.Lock()
	last := client.last
	client.mu.Unlock()
	if last.Version != "" {
		request.Header.Set("If-None-Match", last.Version)
	}
	response, err := answers.Do(&client.HTTPClient, request)
	if err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindUnavailable, Err: err}
	}
	defer response.Body.Close()
	list, err := client.readList(response, last)
	if err != nil {
		return instance.List{}, err
	}
	client.mu.Lock()
	client.last = list
	client.mu.Unlock()
	return list, nil
}

func (client *Client) readList(response *http.Response, last instance.List) (instance.List, error) {
	switch response.StatusCode {
	case http.StatusNotModified:
		asOf, err := time.Parse(time.RFC3339Nano, response.Header.Get("As-Of"))
		if err == nil {
			last.AsOf = asOf
		}
		return last, nil
	case http.StatusOK:
	default:
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindUnavailable, Err: fmt.Errorf("unexpected instance list status %s", response.Status)}
	}
	document := readDocument{}
	if err := answers.DecodeJSON(io.LimitReader(response.Body, maxListBytes), &document); err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindInvalid, Err: err}
	}
	return instance.List{
		Version: response.Header.Get("ETag"), AsOf: document.AsOf,
		Entries: decodeRows(document.Entries, (*Entry).Instance, client.logOddRow),
		Servers: decodeRows(document.Servers, (*Server).server, client.logOddRow),
	}, nil
}

// decodeRows decodes the rows of a list. Malformed ones are reported and left out: others must not be kept from changing by them.
func decodeRows[R, T any](rows []json.RawMessage, convert func(*R) (T, error), malformed func(error)) []T {
	var out []T
	for _, row := range rows {
		var decoded R
		err := json.Unmarshal(row, &decoded)
		var converted T
		if err == nil {
			converted, err = convert(&decoded)
		}
		if err != nil {
			malformed(err)
			continue
		}
		out = append(out, converted)
	}
	return out
}

func (client *Client) logOddRow(err error) {
	if client.Log != nil {
		client.Log.Warn("instances: ignored a malformed row of the list", logs.ShortError(err))
	}
}

// server validates and converts a backend server. It returns an entry.Error of KindInvalid if the server is malformed.
func (server *Server) server() (instance.Server, error) {
	state, known := parseState(server.State)
	out := instance.Server{
		Name: server.Name, Service: server.Service, Domain: server.Domain, Address: server.Address, Slots: server.Slots, State: state,
	}
	if !known || !out.Valid() {
		return instance.Server{}, malformedError("backend server", server.Name)
	}
	return out, nil
}

// Instance validates and converts an entry instance. It returns an entry.Error of KindInvalid if e is malformed.
func (e *Entry) Instance() (instance.Entry, error) {
	state, known := parseState(e.State)
	if !known || e.Name == "" || !e.Caller.IsValid() || !e.Peer.IsValid() || e.Processor < 0 {
		return instance.Entry{}, malformedError("entry instance", e.Name)
	}
	return instance.Entry{
		Name: e.Name, Domain: e.Domain, Region: e.Region, Caller: e.Caller, Peer: e.Peer, Operator: e.Operator,
		Processor: e.Processor, State: state,
	}, nil
}

// NewEntry returns the JSON form of an entry instance.
func NewEntry(e instance.Entry) Entry {
	return Entry{
		Name: e.Name, Domain: e.Domain, Region: e.Region, Caller: e.Caller, Peer: e.Peer, Operator: e.Operator,
		Processor: e.Processor, State: e.State.String(),
	}
}

func parseState(text string) (instance.State, bool) {
	switch text {
	case "live":
		return instance.Live, true
	case "leaving":
		return instance.Leaving, true
	}
	return instance.Live, false
}

func malformedError(kind, name string) error {
	return &entry.Error{Op: "list", Kind: entry.KindInvalid, Err: errors.New("malformed " + kind + " " + name)}
}
