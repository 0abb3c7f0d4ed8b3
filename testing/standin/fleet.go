package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	caller "github.com/sequoiaspan/sequoiaspan/adapters/caller/http"
	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/settings"
)

// FreeAddress returns a loopback address that was free a moment ago.
func FreeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// EntrySettings returns the settings of the n-th entry instance before a platform.
func EntrySettings(platform *Platform, n, domains int) (settings.Settings, error) {
	s := settings.Defaults()
	s.Name = fmt.Sprintf("entry-%d", n)
	s.Domain = fmt.Sprintf("domain-%d", n%domains)
	s.Store, s.Instances = platform.Address(), platform.Address()
	for _, address := range []*netip.AddrPort{&s.Caller, &s.Peer, &s.Operator} {
		free, err := FreeAddress()
		if err != nil {
			return s, err
		}
		*address = free
	}
	return s, nil
}

// ListedEntry returns an entry instance as the list shows it.
func ListedEntry(s *settings.Settings) instances.Entry {
	return instances.Entry{
		Name: s.Name, Domain: s.Domain, Region: s.Region,
		Caller: s.Caller, Peer: s.Peer, Operator: s.Operator, State: "live",
	}
}

// ListedServer returns a backend server as the list shows it.
func ListedServer(backend *Backend, service, domain string) instances.Server {
	return instances.Server{Name: backend.Name, Service: service, Domain: domain, Address: backend.Address(), State: "live"}
}

// Lookup asks an entry instance's directory which addresses to use.
func Lookup(ctx context.Context, client *http.Client, at netip.AddrPort, service string) (entry.Directory, error) {
	directory := entry.Directory{}
	target := "http://" + at.String() + caller.DirectoryPath + "?service=" + url.QueryEscape(service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return directory, err
	}
	response, err := client.Do(request)
	if err != nil {
		return directory, err
	}
	defer response.Body.Close()
	return directory, json.NewDecoder(response.Body).Decode(&directory)
}

// AwaitReady waits until an entry instance has rules in force and sees all instances and servers.
func AwaitReady(ctx context.Context, client *http.Client, operator netip.AddrPort, entries, servers int) error {
	for {
		status, err := Status(ctx, client, operator)
		if err == nil && status.RulesVersion > 0 && status.Entries == entries && status.Servers == servers && status.Keys.Owned > 0 && status.Keys.Waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry instance at %s is not ready: %w (last: %v, %+v)", operator, ctx.Err(), err, status)
		case <-time.After(readyEvery):
		}
	}
}

const readyEvery = 20 * time.Millisecond

// Status reads an entry instance's status.
func Status(ctx context.Context, client *http.Client, operator netip.AddrPort) (entry.Status, error) {
	status := entry.Status{}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator.String()+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}
