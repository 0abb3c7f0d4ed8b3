package soak

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	platform "github.com/sequoiaspan/sequoiaspan/platform/standin"
)

// Teams of the callers.
const (
	calmTeam     = "agencies"
	pressingTeam = "rivals" // sends several times its limit
	pressingKey  = "rivals-key"
	unknownKey   = "no-such-key"
	pressers     = 4    // callers of pressingTeam, which send without a pause
	pressRate    = 12.0 // requests a second, and at once, that the limit of pressingTeam allows
	wrongKeyOdds = 0.04 // chance that a caller of calmTeam uses a key that was withdrawn or never there
)

// The users' bound on a team's requests in a window.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// teamKey is a key of calmTeam with the time of the configuration that brought it, and of that which withdrew it, zero while it is in force.
type teamKey struct {
	text             string
	since, withdrawn time.Time
}

// rotateKey adds a key of calmTeam and withdraws all but the one before; the lock is held.
func (w *world) rotateKey() {
	now := time.Now()
	for i := range w.keys[:max(0, len(w.keys)-1)] {
		if w.keys[i].withdrawn.IsZero() {
			w.keys[i].withdrawn = now
		}
	}
	w.keys = append(w.keys, &teamKey{text: fmt.Sprintf("agencies-key-%d", w.version), since: now})
}

// teams returns the teams of the configuration; the lock is held.
func (w *world) teams() []platform.Team {
	keys := []string{}
	for _, k := range w.keys {
		if k.withdrawn.IsZero() {
			keys = append(keys, k.text)
		}
	}
	return []platform.Team{{Name: calmTeam, Keys: keys}, {Name: pressingTeam, Keys: []string{pressingKey}, Rate: pressRate, Burst: pressRate}}
}

// chooseKey returns the key for a caller's next request: mostly the one before the latest, which is in force everywhere.
func (c *caller) chooseKey() *teamKey {
	if c.number < pressers {
		return &teamKey{text: pressingKey}
	}
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	keys := c.world.keys
	switch x := c.random.Float64(); {
	case x < wrongKeyOdds/2:
		return &teamKey{text: unknownKey, withdrawn: time.Unix(1, 0)}
	case x < wrongKeyOdds && len(keys) > 2:
		return keys[c.random.IntN(len(keys)-2)]
	}
	return keys[max(0, len(keys)-2)]
}

// team returns the team that a key belongs to while it is in force.
func (key *teamKey) team() string {
	if key.text == pressingKey {
		return pressingTeam
	}
	return calmTeam
}

// judgeIdentity checks what a server learns of a request's caller, and that the caller's key was in force; the lock is held.
func (l *ledger) judgeIdentity(s *sent, server string, r *http.Request) {
	if header := r.Header.Get("Authorization"); header != "" {
		l.fail("unasked", "request %s reaches %s with its key", s.id, server)
	}
	if got := platform.TeamOf(r); got != s.key.team() {
		l.fail("unasked", "request %s of %s runs at %s as one of %q", s.id, s.key.team(), server, got)
	}
	if s.key.text == unknownKey {
		l.fail("route", "request %s runs at %s with a key that no configuration had", s.id, server)
		return
	}
	if w := s.key.withdrawn; !w.IsZero() && s.at.After(w.Add(configMost+clockSlack)) && l.inTouch(s.instance, w, s.at) {
		l.fail("key", "request %s by %s runs at %s with a key that was withdrawn %s before", s.id, s.instance, server, s.at.Sub(w))
	}
}

// judgeDenied checks that a request with a key in force is not answered 401; the lock is held.
func (l *ledger) judgeDenied(s *sent) {
	since := s.key.since
	if s.status != http.StatusUnauthorized || s.key.text == unknownKey || !s.key.withdrawn.IsZero() {
		return
	}
	if s.at.After(since.Add(configMost+clockSlack)) && l.inTouch(s.instance, since, s.ended) {
		l.fail("denied", "request %s to %s is answered 401, its key is in force since %s", s.id, s.instance, s.at.Sub(since))
	}
}

// judgeQuota checks how many requests of pressingTeam were sent and run in each window; the lock is held.
func (l *ledger) judgeQuota() {
	var ran []*sent
	for _, s := range l.requests {
		if s.key.text == pressingKey && len(s.runs) > 0 {
			ran = append(ran, s)
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].runs[0].at.Before(ran[j].runs[0].at) })
	bound := (pressRate*quotaWindow.Seconds()+pressRate)*(1+quotaOvershoot) + quotaSlack
	for i := range ran {
		count := 0
		for _, s := range ran[i:] {
			if s.runs[0].at.Sub(ran[i].runs[0].at) > quotaWindow {
				break
			}
			if !s.at.Before(ran[i].runs[0].at) || s == ran[i] {
				count++
			}
		}
		if float64(count) > bound {
			l.fail("quota", "%d requests of %s ran in %s, %.0f are allowed", count, pressingTeam, quotaWindow, bound)
			return
		}
	}
	l.pressed = len(ran)
}
