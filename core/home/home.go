// Package home places slices of a service's backend servers on entry instances.
package home

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// SliceServers is the most backend servers that one slice holds on average.
const SliceServers = 32

// Slice names a part of a service's backend servers.
type Slice struct {
	Service string
	Index   int
}

// String returns the slice's name, such as balances/0.
func (slice Slice) String() string {
	return slice.Service + "/" + strconv.Itoa(slice.Index)
}

// Key returns the hash by which instances are ranked for the slice.
func (slice Slice) Key() uint64 { return xxhash.Sum64String(slice.String()) }

// Slices returns how many slices a service with this many backend servers has.
func Slices(servers int) int {
	return max(1, (servers+SliceServers-1)/SliceServers)
}

// IndexOf returns the slice of a backend server among a service's slices.
func IndexOf(server string, slices int) int {
	if slices <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(server) % uint64(slices))
}

// Candidate is an entry instance with its hash and share, ready for ranking.
type Candidate struct {
	Entry instance.Entry
	hash  uint64
	share float64 // of the work, relative to others
}

// unknownProcessor stands for the cores of an instance that does not say.
const unknownProcessor = 1.0

// shareOf returns an instance's share of the work: the square of its cores. What it can take grows with them, and so does
// how soon it answers.
func shareOf(entry *instance.Entry) float64 {
	cores := entry.Processor
	if cores <= 0 {
		cores = unknownProcessor
	}
	return cores * cores
}

// Candidates prepares the live entry instances for ranking.
func Candidates(entries []instance.Entry) []Candidate {
	candidates := make([]Candidate, 0, len(entries))
	for _, entry := range entries {
		if entry.State == instance.Live {
			candidates = append(candidates, Candidate{Entry: entry, hash: xxhash.Sum64String(entry.Name), share: shareOf(&entry)})
		}
	}
	return candidates
}

// Choose returns the indices of a slice's home and of its deputy in another failure domain, -1 for none.
//
// It ranks by highest random weight (Thaler and Ravishankar, 1998), so that a change of one
// instance moves only the slices of that instance, and gives each as many slices as its share says. Without a second domain
// the deputy is the next.
func Choose(slice Slice, candidates []Candidate) (first, deputy int) {
	key := slice.Key()
	first = best(key, candidates, func(int) bool { return true })
	if first < 0 {
		return -1, -1
	}
	domain := candidates[first].Entry.Domain
	deputy = best(key, candidates, func(i int) bool { return candidates[i].Entry.Domain != domain })
	if deputy < 0 {
		deputy = best(key, candidates, func(i int) bool { return i != first })
	}
	return first, deputy
}

// Readers returns up to count instances of a failure domain that read the platform's lists for the others there, ranked.
func Readers(candidates []Candidate, domain string, count int) []instance.Entry {
	key := Slice{Service: "lists"}.Key()
	var chosen []int
	for len(chosen) < count {
		next := best(key, candidates, func(i int) bool { return candidates[i].Entry.Domain == domain && !slices.Contains(chosen, i) })
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	readers := make([]instance.Entry, 0, len(chosen))
	for _, i := range chosen {
		readers = append(readers, candidates[i].Entry)
	}
	return readers
}

// Vantages returns the indices of up to count instances from which a slice's servers are seen beside one of a failure
// domain: the slice's highest ranked usable one of each other domain, among them its home and deputy, and then others.
func Vantages(slice Slice, candidates []Candidate, from instance.Entry, count int, usable func(*instance.Entry) bool) []int {
	key := slice.Key()
	var chosen []int
	free := func(i int) bool {
		return candidates[i].Entry.Name != from.Name && !slices.Contains(chosen, i) && usable(&candidates[i].Entry)
	}
	sameDomain := func(i int) bool {
		domain := candidates[i].Entry.Domain
		return domain == from.Domain || slices.ContainsFunc(chosen, func(c int) bool { return candidates[c].Entry.Domain == domain })
	}
	for len(chosen) < count {
		next := best(key, candidates, func(i int) bool { return !sameDomain(i) && free(i) })
		if next < 0 {
			next = best(key, candidates, free)
		}
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// best returns the index of the highest ranked candidate that is allowed, or -1.
func best(key uint64, candidates []Candidate, allowed func(int) bool) int {
	found, top := -1, Rank{}
	for i := range candidates {
		if r := candidates[i].Rank(key); (found < 0 || r.Compare(top) > 0) && allowed(i) {
			found, top = i, r
		}
	}
	return found
}

// Rank is a candidate's rank for a key.
type Rank struct {
	weight uint64
	share  float64
}

// Rank returns the candidate's rank for a key's hash.
func (candidate *Candidate) Rank(key uint64) Rank {
	return Rank{Weight(key, candidate.hash), candidate.share}
}

// Compare returns a positive number if the rank is above another, and a negative one if it is below.
func (rank Rank) Compare(other Rank) int {
	if rank.share == other.share {
		return cmp.Compare(rank.weight, other.weight) // most instances are alike, and logarithms take long
	}
	return cmp.Compare(rank.score(), other.score())
}

// score is the logarithm of a uniform number, divided by the share: it is the highest one with a chance in proportion to the
// share.
func (rank Rank) score() float64 {
	uniform := (float64(rank.weight) + 1) / (1 << 64)
	return math.Log(uniform) / rank.share
}

// Weight mixes a key's hash with a member's into the member's score for the key.
func Weight(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
