// Package http reads the platform's instance list over HTTP.
//
// GET /v1/instances answers the list as JSON with its version in ETag; with If-None-Match it answers 304 and
// the time of the list in the As-Of header while nothing has changed.
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

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Limits of a reading.
const (
	maxListBytes = 16 << 20
	callTimeout  = 3 * time.Second
)

// Document is the list on the wire.
type Document struct {
	AsOf    time.Time `json:"as-of"`
	Entries []Entry   `json:"entry-instances"`
	Servers []Server  `json:"backend-servers"`
}

// Entry is an entry instance on the wire.
type Entry struct {
	Name     string         `json:"name"`
	Domain   string         `json:"failure-domain"`
	Region   string         `json:"region,omitempty"`
	Caller   netip.AddrPort `json:"caller-address"`
	Peer     netip.AddrPort `json:"peer-address"`
	Operator netip.AddrPort `json:"operator-address,omitzero"`
	// Processor is the processor time that the instance gets, in cores.
	Processor float64 `json:"processor-cores,omitempty"`
	State     string  `json:"state"`
}

// Server is a backend server on the wire.
type Server struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Domain  string         `json:"failure-domain"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots,omitempty"`
	State   string         `json:"state"`
}

// Instances is a client of the instance list; Address must be set.
type Instances struct {
	Address netip.AddrPort
	Client  http.Client

	mu   sync.Mutex
	last instance.List
}

// List reads the list; while it has not changed the one read before is returned with its new time.
func (instances *Instances) List(ctx context.Context) (instance.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instances.Address.String()+"/v1/instances", nil)
	if err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindRefused, Err: err}
	}
	instances.mu.Lock()
	last := instances.last
	instances.mu.Unlock()
	if last.Version != "" {
		request.Header.Set("If-None-Match", last.Version)
	}
	response, err := instances.Client.Do(request)
	if err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindUnavailable, Err: err}
	}
	defer response.Body.Close()
	list, err := readList(response, last)
	if err != nil {
		return instance.List{}, err
	}
	instances.mu.Lock()
	instances.last = list
	instances.mu.Unlock()
	return list, nil
}

func readList(response *http.Response, last instance.List) (instance.List, error) {
	switch response.StatusCode {
	case http.StatusNotModified:
		asOf, err := time.Parse(time.RFC3339Nano, response.Header.Get("As-Of"))
		if err == nil {
			last.AsOf = asOf
		}
		return last, nil
	case http.StatusOK:
	default:
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindUnavailable, Err: fmt.Errorf("the list answered %s", response.Status)}
	}
	document := Document{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&document); err != nil {
		return instance.List{}, &entry.Error{Op: "list", Kind: entry.KindInvalid, Err: err}
	}
	list, err := document.list()
	list.Version = response.Header.Get("ETag")
	return list, err
}

// list checks a document; one malformed row spoils it all, as rows may be missing just the same.
func (document *Document) list() (instance.List, error) {
	list := instance.List{AsOf: document.AsOf}
	for _, e := range document.Entries {
		listed, err := e.Instance()
		if err != nil {
			return instance.List{}, err
		}
		list.Entries = append(list.Entries, listed)
	}
	for _, s := range document.Servers {
		state, known := stateOf(s.State)
		if !known || s.Name == "" || s.Service == "" || !s.Address.IsValid() || s.Slots < 0 {
			return instance.List{}, invalid("backend server", s.Name)
		}
		list.Servers = append(list.Servers, instance.Server{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Address: s.Address, Slots: s.Slots, State: state,
		})
	}
	return list, nil
}

// Instance checks and returns an entry instance.
func (e *Entry) Instance() (instance.Entry, error) {
	state, known := stateOf(e.State)
	if !known || e.Name == "" || !e.Caller.IsValid() || !e.Peer.IsValid() || e.Processor < 0 {
		return instance.Entry{}, invalid("entry instance", e.Name)
	}
	return instance.Entry{
		Name: e.Name, Domain: e.Domain, Region: e.Region, Caller: e.Caller, Peer: e.Peer, Operator: e.Operator,
		Processor: e.Processor, State: state,
	}, nil
}

// DocumentOf returns an entry instance for the wire.
func DocumentOf(e instance.Entry) Entry {
	return Entry{
		Name: e.Name, Domain: e.Domain, Region: e.Region, Caller: e.Caller, Peer: e.Peer, Operator: e.Operator,
		Processor: e.Processor, State: e.State.String(),
	}
}

func stateOf(text string) (instance.State, bool) {
	switch text {
	case "live":
		return instance.Live, true
	case "leaving":
		return instance.Leaving, true
	}
	return instance.Live, false
}

func invalid(kind, name string) error {
	return &entry.Error{Op: "list", Kind: entry.KindInvalid, Err: errors.New("malformed " + kind + " " + name)}
}
