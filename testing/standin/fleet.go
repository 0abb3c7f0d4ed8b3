package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	caller "github.com/sequoiaspan/sequoiaspan/adapters/caller/http"
	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/settings"
)

// firstPort is below the range from which the system picks ports of outgoing connections.
const firstPort = 10_000

var ports atomic.Uint32

// FreeAddress returns a loopback address that no other call of any process of this machine returns.
//
// Each process has an IP number of its own within 127.0.0.0/8, so that tests which run at once do not meet.
func FreeAddress() netip.AddrPort {
	pid := uint32(os.Getpid())
	host := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(host, uint16(firstPort+ports.Add(1)))
}

// EntrySettings returns the settings of the n-th entry instance before a platform.
func EntrySettings(platform *Platform, n, domains int) settings.Settings {
	s := settings.Defaults()
	s.Name = fmt.Sprintf("entry-%d", n)
	s.Domain = fmt.Sprintf("domain-%d", n%domains)
	s.Store, s.Instances = platform.Address(), platform.Address()
	s.Caller, s.Peer, s.Operator = FreeAddress(), FreeAddress(), FreeAddress()
	return s
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
