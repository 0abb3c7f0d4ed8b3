// Command quickstart serves real requests through three entry instances on loopback, turns one backend server
// gray and shows, second by second, what callers and the pool see. It ends by itself.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	store "github.com/sequoiaspan/sequoiaspan/adapters/store/http"
	"github.com/sequoiaspan/sequoiaspan/control"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/daemon"
	"github.com/sequoiaspan/sequoiaspan/settings"
	"github.com/sequoiaspan/sequoiaspan/testing/standin"
)

const (
	entryCount   = 3
	serverCount  = 6
	callerCount  = 12
	callerPause  = 20 * time.Millisecond
	workTime     = 10 * time.Millisecond
	grayFrom     = 3 // seconds
	grayUntil    = 7
	readyTimeout = 20 * time.Second
)

// callerKey is the API key of the callers' team.
const callerKey = "quickstart-key"

var rulesText = `service balances floor=75% slots=4 attempts=3 ejection=cautious  # asked by: treasury, FG-112
route /balances service=balances deadline=5s                     # asked by: guides desk, FG-114
team guides limit=500/s burst=1000                               # asked by: sales, FG-150
key ` + rules.DigestKey(callerKey).String() + ` team=guides  # asked by: sales, FG-150
`

func main() {
	length := flag.Int("seconds", 12, "how long to serve")
	flag.Parse()
	if err := run(*length); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seconds int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := standin.NewPlatform()
	defer platform.Close()
	servers, listed := startServers()
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	all := entrySettings(platform)
	var entries []instances.Entry
	for i := range all {
		entries = append(entries, standin.ListedEntry(&all[i]))
	}
	platform.SetList(entries, listed)
	var daemons sync.WaitGroup
	stopping, stop := context.WithCancel(ctx)
	defer stop()
	for _, s := range all {
		daemons.Go(func() { _ = (&daemon.Daemon{Settings: s, Log: zap.NewNop()}).Run(stopping, ctx) })
	}
	if err := publish(ctx, platform); err != nil {
		return err
	}
	if err := awaitReady(ctx, all); err != nil {
		return err
	}
	fmt.Printf("%d entry instances, %d backend servers of service balances, %d callers\n", entryCount, serverCount, callerCount)
	fmt.Printf("%s stalls all real work, and still answers probes, from second %d to %d\n\n", servers[0].Name, grayFrom, grayUntil)
	serve(ctx, seconds, all, servers)
	fmt.Println("\nstopping: every entry instance leaves the directory, keeps serving while kept answers last, and ends")
	stop()
	daemons.Wait()
	return nil
}

func startServers() ([]*standin.Backend, []instances.Server) {
	var servers []*standin.Backend
	var listed []instances.Server
	for i := range serverCount {
		s := standin.NewBackend(fmt.Sprintf("balances-%d", i))
		s.WorkTime = workTime
		servers = append(servers, s)
		listed = append(listed, standin.ListedServer(s, "balances", fmt.Sprintf("domain-%d", i%3)))
	}
	return servers, listed
}

func entrySettings(platform *standin.Platform) []settings.Settings {
	var all []settings.Settings
	for i := range entryCount {
		all = append(all, standin.EntrySettings(platform, i, 3))
	}
	return all
}

func publish(ctx context.Context, platform *standin.Platform) error {
	folder, err := os.MkdirTemp("", "sequoiaspan-quickstart")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	file := filepath.Join(folder, "rules")
	if err := os.WriteFile(file, []byte(rulesText), 0o600); err != nil {
		return err
	}
	c := &control.Control{
		Store: &store.Store{Address: platform.Address()}, Instances: &instances.Client{Address: platform.Address()}, Out: os.Stdout,
	}
	return c.Publish(ctx, file, "quickstart", 0)
}

func awaitReady(ctx context.Context, all []settings.Settings) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range all {
		if err := standin.AwaitReady(ctx, http.DefaultClient, s.Operator, entryCount, serverCount); err != nil {
			return err
		}
	}
	return nil
}

// second is what callers saw in one second.
type second struct {
	mu       sync.Mutex
	whole    int
	failed   int
	duration *hdrhistogram.Histogram
}

const mostMicros = int64(time.Minute / time.Microsecond)

func (second *second) add(length time.Duration, whole bool) {
	second.mu.Lock()
	defer second.mu.Unlock()
	if !whole {
		second.failed++
		return
	}
	second.whole++
	_ = second.duration.RecordValue(length.Microseconds())
}

func serve(ctx context.Context, seconds int, all []settings.Settings, servers []*standin.Backend) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(seconds)*time.Second)
	defer cancel()
	counts := make([]*second, seconds)
	for i := range counts {
		counts[i] = &second{duration: hdrhistogram.New(1, mostMicros, 2)}
	}
	started := time.Now()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { call(ctx, all[i%len(all)].Caller, started, counts) })
	}
	fmt.Println("second  whole answers  failed  p50       p99       work on balances-0  pool")
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	before := 0
	for i := range seconds {
		if i == grayFrom {
			servers[0].SetMode(standin.Stalling)
		}
		if i == grayUntil {
			servers[0].SetMode(standin.Healthy)
		}
		<-ticker.C
		served := servers[0].Served()
		report(i, counts[i], served-before, poolState(all))
		before = served
	}
	callers.Wait()
}

func report(i int, second *second, work int, pool string) {
	second.mu.Lock()
	defer second.mu.Unlock()
	at := func(q float64) time.Duration {
		return time.Duration(second.duration.ValueAtQuantile(q)) * time.Microsecond
	}
	fmt.Printf("%6d  %13d  %6d  %-8s  %-8s  %17d  %s\n", i, second.whole, second.failed,
		at(50).Round(100*time.Microsecond), at(99).Round(100*time.Microsecond), work, pool)
}

// poolState says which backend servers their home does not count as in service.
func poolState(all []settings.Settings) string {
	for _, s := range all {
		status, err := standin.Status(context.Background(), http.DefaultClient, s.Operator)
		if err != nil {
			continue
		}
		for _, slice := range status.Slices {
			for _, server := range slice.Servers {
				if server.State != "in-service" {
					return fmt.Sprintf("%s is %s (home %s)", server.Server, server.State, status.Instance)
				}
			}
		}
	}
	return "all in service"
}

// call asks the directory and sends requests until the context ends.
func call(ctx context.Context, at netip.AddrPort, started time.Time, counts []*second) {
	client := &http.Client{}
	for ctx.Err() == nil {
		directory, err := standin.Lookup(ctx, client, at, "balances")
		if err != nil || len(directory.Addresses) == 0 {
			return
		}
		use := directory.Addresses[0].Address
		for time.Now().Before(directory.KeepUntil) && ctx.Err() == nil {
			request(ctx, client, use, started, counts)
			time.Sleep(callerPause)
		}
	}
}

func request(ctx context.Context, client *http.Client, use netip.AddrPort, started time.Time, counts []*second) {
	begin := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+use.String()+"/balances/guide-7", nil)
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := client.Do(r)
	whole := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		whole = err == nil && response.StatusCode == http.StatusOK
	}
	if ctx.Err() != nil {
		return
	}
	if i := int(time.Since(started) / time.Second); i < len(counts) {
		counts[i].add(time.Since(begin), whole)
	}
}
