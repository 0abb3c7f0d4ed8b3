package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	store "github.com/sequoiaspan/sequoiaspan/adapters/store/http"
	"github.com/sequoiaspan/sequoiaspan/configuration"
	"github.com/sequoiaspan/sequoiaspan/daemon"
	"github.com/sequoiaspan/sequoiaspan/settings"
	"github.com/sequoiaspan/sequoiaspan/testing/standin"
)

const benchRules = `service balances slots=64   # asked by: benchmark
route /balances service=balances  # asked by: benchmark
route /releases service=balances repeatable=no  # asked by: benchmark
`

// fleet is a set of entry instances in this process.
type fleet struct {
	settings []settings.Settings
}

// startBackends starts backend servers of service balances.
func startBackends(tb testing.TB, count int) ([]*standin.Backend, []instances.Server) {
	tb.Helper()
	var backends []*standin.Backend
	var servers []instances.Server
	for i := range count {
		b := standin.NewBackend(fmt.Sprintf("balances-%d", i))
		tb.Cleanup(b.Close)
		backends = append(backends, b)
		servers = append(servers, standin.ListedServer(b, "balances", fmt.Sprintf("domain-%d", i%3)))
	}
	return backends, servers
}

func newFleet(tb testing.TB, entries int, servers []instances.Server) *fleet {
	tb.Helper()
	f := &fleet{}
	platform := standin.NewPlatform()
	tb.Cleanup(platform.Close)
	var listed []instances.Entry
	for i := range entries {
		s := standin.EntrySettings(platform, i, 3)
		f.settings = append(f.settings, s)
		listed = append(listed, standin.ListedEntry(&s))
	}
	platform.SetList(listed, servers)
	_, err := configuration.Publish(tb.Context(), &store.Store{Address: platform.Address()}, "rules", benchRules, "bench", 0, time.Now())
	must.NoError(tb, err)
	f.run(tb)
	for _, s := range f.settings {
		ctx, cancel := context.WithTimeout(tb.Context(), time.Minute)
		must.NoError(tb, standin.AwaitReady(ctx, http.DefaultClient, s.Operator, entries, len(servers)))
		cancel()
	}
	return f
}

// run runs the instances until the test ends and then stops them without draining.
func (f *fleet) run(tb testing.TB) {
	force, end := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, s := range f.settings {
		group.Go(func() { _ = (&daemon.Daemon{Settings: s, Log: zap.NewNop()}).Run(force, force) })
	}
	tb.Cleanup(func() {
		end()
		group.Wait()
	})
}

// remote returns an entry instance that is not the home of the service.
func (f *fleet) remote(tb testing.TB) netip.AddrPort {
	tb.Helper()
	client := &http.Client{}
	for _, s := range f.settings {
		send(tb, client, http.MethodGet, s.Caller, "/balances")
	}
	for _, s := range f.settings {
		status, err := standin.Status(tb.Context(), client, s.Operator)
		must.NoError(tb, err)
		if len(status.Slices) == 0 {
			return s.Caller
		}
	}
	tb.Fatal("all instances are homes")
	return netip.AddrPort{}
}

func send(tb testing.TB, client *http.Client, method string, at netip.AddrPort, path string) {
	sendBody(tb, client, method, at, path, "")
}

// sendBody sends a request whose body, if there is one, comes in chunks.
func sendBody(tb testing.TB, client *http.Client, method string, at netip.AddrPort, path, body string) {
	var chunks io.Reader
	if body != "" {
		chunks = io.MultiReader(strings.NewReader(body))
	}
	request, err := http.NewRequestWithContext(tb.Context(), method, "http://"+at.String()+path, chunks)
	must.NoError(tb, err)
	response, err := client.Do(request)
	must.NoError(tb, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(tb, err)
	must.Close(tb, response.Body)
	must.Eq(tb, http.StatusOK, response.StatusCode)
}

// BenchmarkAddedTime alternates between direct requests to the backend server and requests through an entry instance that
// asks a home on another instance. It reports the added latency at the median and the 99th percentile.
func BenchmarkAddedTime(b *testing.B) {
	for name, body := range map[string]string{http.MethodGet: "", http.MethodPost: "", "POST in chunks": "amount"} {
		method, _, _ := strings.Cut(name, " ")
		b.Run(name, func(b *testing.B) {
			backends, servers := startBackends(b, 3)
			f := newFleet(b, 3, servers)
			through, direct := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
			remote, server := f.remote(b), backends[0].Address()
			client := &http.Client{}
			for b.Loop() {
				timed(b, direct, func() { sendBody(b, client, method, server, "/balances", body) })
				timed(b, through, func() { sendBody(b, client, method, remote, "/balances", body) })
			}
			for _, quantile := range []float64{50, 99} {
				added := through.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
				b.ReportMetric(float64(direct.ValueAtQuantile(quantile)), fmt.Sprintf("direct-p%g-us", quantile))
				b.ReportMetric(float64(added), fmt.Sprintf("added-p%g-us", quantile))
			}
		})
	}
}

func timed(b *testing.B, histogram *hdrhistogram.Histogram, f func()) {
	started := time.Now()
	f()
	must.NoError(b, histogram.RecordValue(time.Since(started).Microseconds()))
}
