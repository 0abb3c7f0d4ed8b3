package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	platform "github.com/sequoiaspan/sequoiaspan/platform/standin"
)

// Habits of callers.
const (
	callers     = 14
	mostThought = 40 * time.Millisecond // between two requests
	leaveOdds   = 0.03                  // chance that a caller leaves, of a request that takes long
	slowOdds    = 0.08
	longOdds    = 0.03 // chance that a request takes longer than many deadlines
	largeOdds   = 0.05
	extraOdds   = 0.25 // chance of one of the routes that come and go
	resolveMost = 500 * time.Millisecond
)

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// caller sends requests one after the other over connections that it keeps open.
type caller struct {
	world  *world
	number int
	client http.Client
	random *rand.Rand

	addresses []netip.AddrPort
	keepUntil time.Time
}

func (w *world) newCaller(number int, seed uint64) *caller {
	return &caller{
		world: w, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run calls until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		thought := mostThought
		if c.number < pressers {
			thought /= 4
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(thought))))
		if len(c.addresses) == 0 || time.Now().After(c.keepUntil) {
			c.resolve(ctx)
		}
		if len(c.addresses) == 0 {
			continue
		}
		c.call(ctx, n)
	}
}

// resolve asks some instance for the addresses to use; without an answer the known ones stay.
func (c *caller) resolve(ctx context.Context) {
	c.world.mu.Lock()
	in := c.world.instances[c.random.IntN(len(c.world.instances))]
	c.world.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, resolveMost)
	defer cancel()
	addresses, keep, err := platform.Resolve(ctx, plainClient, in.directory, fmt.Sprintf("zone-%d", c.number%domains))
	if err == nil && len(addresses) > 0 {
		c.addresses, c.keepUntil = addresses, time.Now().Add(keep)
	}
}

// instanceAt returns the name of the instance at an address.
func (w *world) instanceAt(address netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range w.instances {
		if in.caller == address {
			return in.name
		}
	}
	return "unknown"
}

// call sends one request and notes what came of it.
func (c *caller) call(ctx context.Context, n int) {
	routes := c.world.present()
	r := routes[c.random.IntN(2)]
	if c.random.Float64() < extraOdds {
		r = routes[c.random.IntN(len(routes))]
	}
	part, leaves := "", c.random.Float64() < leaveOdds
	switch x := c.random.Float64(); {
	case leaves:
		part = "long/"
	case x < slowOdds:
		part = "slow/"
	case x < slowOdds+longOdds:
		part = "long/"
	case x < slowOdds+longOdds+largeOdds && !r.unsafe:
		part = "large/"
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	left := time.Duration(800+c.random.IntN(2200)) * time.Millisecond
	now := time.Now()
	s := &sent{
		id: fmt.Sprintf("c%d-%d", c.number, n), method: http.MethodGet, path: fmt.Sprintf("%s%s%d-%d", r.prefix, part, c.number, n),
		route: r, key: c.chooseKey(), instance: c.world.instanceAt(address), at: now, deadline: now.Add(min(left, r.Timeout)), patience: now.Add(left),
	}
	body := ""
	if r.unsafe {
		s.method, body = http.MethodPost, "amount"
	}
	c.world.ledger.send(s)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), left+3*time.Second)
	defer cancel()
	if leaves {
		stop := time.AfterFunc(100*time.Millisecond, func() {
			c.world.ledger.mu.Lock()
			if s.ended.IsZero() {
				s.left = time.Now()
			}
			c.world.ledger.mu.Unlock()
			cancel()
		})
		defer stop.Stop()
	}
	request, err := platform.NewRequest(limited, s.method, address, host, s.path, s.id, left, body)
	if err != nil {
		c.world.t.Error(err)
		return
	}
	platform.SetKey(request, s.key.text)
	response, err := c.client.Do(request)
	if err != nil {
		c.world.ledger.end(s, 0, false, "")
		c.addresses, c.keepUntil = without(c.addresses, address), time.Time{}
		return
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	wrong := ""
	if response.StatusCode == http.StatusOK && err == nil {
		want := bodyOf(s.method, s.path)
		switch {
		case !platform.IsSigned(response, s.id):
			wrong = "a success without the mark of a server, or to another request"
		case string(content) != want:
			wrong = fmt.Sprintf("a success with %d bytes in place of %d, beginning with %q", len(content), len(want), strings.TrimSpace(string(content[:min(40, len(content))])))
		}
	}
	if platform.ReportsLeaving(response) {
		c.world.ledger.departs(s, platform.Signer(response))
	}
	c.world.ledger.end(s, response.StatusCode, err == nil, wrong)
	if response.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(100 * time.Millisecond)
	}
}

// without returns the addresses but one.
func without(addresses []netip.AddrPort, but netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, address := range addresses {
		if address != but {
			out = append(out, address)
		}
	}
	return out
}
