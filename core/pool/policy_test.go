package pool_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// pooled is the policy of this package.
type pooled struct {
	bench *bench
	pool  pool.Pool
	then  map[uint64]func(pool.Decision)
}

func newPooled(ejection rules.Ejection) func(*bench) policy {
	return func(b *bench) policy {
		p := &pooled{bench: b, then: map[uint64]func(pool.Decision){}}
		p.pool.SetPolicy(pool.Policy{Floor: 0.75, Slots: b.slots, Ejection: ejection})
		p.pool.SetServers(b.now, benchMembers(b))
		return p
	}
}

func benchMembers(b *bench) []pool.Member {
	var out []pool.Member
	for i, s := range b.servers {
		out = append(out, pool.Member{
			Name: s.name, Domain: fmt.Sprintf("d%d", s.domain), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		})
	}
	return out
}

func (p *pooled) ask(now time.Time, ask pool.Ask, then func(pool.Decision)) {
	d := p.pool.Ask(now, ask)
	if d.Verdict == pool.Queued {
		p.then[ask.Attempt] = then
	}
	then(d)
	p.deliver()
}

func (p *pooled) deliver() {
	for {
		d, found := p.pool.Next()
		if !found {
			return
		}
		then := p.then[d.Attempt]
		delete(p.then, d.Attempt)
		then(d)
	}
}

func (p *pooled) report(now time.Time, report pool.Report) {
	p.pool.Report(now, report)
	p.deliver()
}

func (p *pooled) tick(now time.Time, probe func(string) bool) {
	for _, pr := range p.pool.Tick(now) {
		p.pool.RecordProbe(now, pr.Server, probe(pr.Server))
	}
	p.deliver()
}

func (p *pooled) ejected(server string) bool {
	ejected := p.pool.EjectedServers()
	return slices.ContainsFunc(ejected, func(e pool.Ejected) bool { return e.Server == server })
}

func (p *pooled) hedges() bool { return true }

// perInstance is the baseline in which every entry instance decides alone: five consecutive errors eject a server for thirty
// seconds. With maxErrors 0 it is the baseline without ejection.
type perInstance struct {
	bench     *bench
	errors    map[[2]string]int
	until     map[[2]string]time.Time
	maxErrors int
}

func newPerInstance(maxErrors int) func(*bench) policy {
	return func(b *bench) policy {
		return &perInstance{bench: b, errors: map[[2]string]int{}, until: map[[2]string]time.Time{}, maxErrors: maxErrors}
	}
}

func (p *perInstance) ask(now time.Time, ask pool.Ask, then func(pool.Decision)) {
	var candidates []*benchServer
	for _, s := range p.bench.servers {
		if !now.Before(p.until[[2]string{ask.Entry, s.name}]) && !slices.Contains(ask.Exclude, s.name) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		then(pool.Decision{Attempt: ask.Attempt, Verdict: pool.NoServer})
		return
	}
	s := candidates[p.bench.random.IntN(len(candidates))]
	then(pool.Decision{Attempt: ask.Attempt, Verdict: pool.Granted, Server: s.name})
}

func (p *perInstance) report(now time.Time, report pool.Report) {
	key := [2]string{report.Entry, report.Server}
	switch report.Outcome {
	case pool.Answered:
		p.errors[key] = 0
	case pool.Reset, pool.TimedOut, pool.ConnectFailed:
		p.errors[key]++
		if p.maxErrors > 0 && p.errors[key] >= p.maxErrors {
			p.errors[key] = 0
			p.until[key] = now.Add(30 * time.Second)
		}
	}
}

func (p *perInstance) tick(time.Time, func(string) bool) {}

func (p *perInstance) ejected(server string) bool {
	n := 0
	for key, until := range p.until {
		if key[1] == server && p.bench.now.Before(until) {
			n++
		}
	}
	return 2*n >= benchEntries
}

func (p *perInstance) hedges() bool { return false }
