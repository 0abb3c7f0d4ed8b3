// Package home assigns the slices of a service's backend servers to entry instances.
package home

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// ServersPerSlice is the maximum average number of backend servers in a slice.
const ServersPerSlice = 32

// Slice identifies one part of a service's backend servers.
type Slice struct {
	Service string
	Index   int
}

// String returns the slice's name, such as balances/0.
func (slice Slice) String() string {
	return slice.Service + "/" + strconv.Itoa(slice.Index)
}

// Key returns the hash that ranks instances for the slice.
func (slice Slice) Key() uint64 { return xxhash.Sum64String(slice.String()) }

// SliceCount returns the number of slices for a service with the given number of backend servers.
func SliceCount(servers int) int {
	return max(1, (servers+ServersPerSlice-1)/ServersPerSlice)
}

// SliceIndex returns the index of the slice that a backend server belongs to.
func SliceIndex(server string, slices int) int {
	if slices <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(server) % uint64(slices))
}

// Candidate is an entry instance with its precomputed hash and weight.
type Candidate struct {
	Entry  instance.Entry
	hash   uint64
	weight float64 // relative share of the work
}

// defaultCores is the number of cores assumed for an instance that reports none.
const defaultCores = 1.0

// weightOf returns an instance's relative share of the work: the square of its cores, as more cores raise its throughput and
// also shorten its response time.
func weightOf(entry *instance.Entry) float64 {
	cores := entry.Processor
	if cores <= 0 {
		cores = defaultCores
	}
	return cores * cores
}

// Candidates returns the live entry instances as candidates for ranking.
func Candidates(entries []instance.Entry) []Candidate {
	candidates := make([]Candidate, 0, len(entries))
	for _, entry := range entries {
		if entry.State == instance.Live {
			candidates = append(candidates, Candidate{Entry: entry, hash: xxhash.Sum64String(entry.Name), weight: weightOf(&entry)})
		}
	}
	return candidates
}

// Choose returns the indices of a slice's home and of its standby in another failure domain, or -1 if there is none.
//
// It uses weighted rendezvous hashing (highest random weight, Thaler and Ravishankar, 1998): the change of one instance moves
// only the slices of that instance, and each instance gets slices in proportion to its weight. If all candidates are in one
// domain, the standby is the second in rank.
func Choose(slice Slice, candidates []Candidate) (home, standby int) {
	key := slice.Key()
	home = highestRanked(key, candidates, func(int) bool { return true })
	if home < 0 {
		return -1, -1
	}
	domain := candidates[home].Entry.Domain
	standby = highestRanked(key, candidates, func(i int) bool { return candidates[i].Entry.Domain != domain })
	if standby < 0 {
		standby = highestRanked(key, candidates, func(i int) bool { return i != home })
	}
	return home, standby
}

// Ranked returns the indices of up to count candidates in rank order.
func Ranked(slice Slice, candidates []Candidate, count int) []int {
	return topRanked(slice.Key(), candidates, count, func(int) bool { return true })
}

// Watchers returns up to count instances of a failure domain, in rank order, that watch the platform's lists on behalf of the
// domain's other instances.
func Watchers(candidates []Candidate, domain string, count int) []instance.Entry {
	chosen := topRanked(Slice{Service: "lists"}.Key(), candidates, count, func(i int) bool { return candidates[i].Entry.Domain == domain })
	readers := make([]instance.Entry, 0, len(chosen))
	for _, i := range chosen {
		readers = append(readers, candidates[i].Entry)
	}
	return readers
}

// topRanked returns the indices of up to count allowed candidates, highest rank first.
func topRanked(key uint64, candidates []Candidate, count int, allowed func(int) bool) []int {
	var chosen []int
	for len(chosen) < count {
		next := highestRanked(key, candidates, func(i int) bool { return allowed(i) && !slices.Contains(chosen, i) })
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// Observers returns the indices of up to count usable instances that observe a slice's servers in addition to the instance
// from. It takes the highest ranked instance of each other failure domain first, and then any others in rank order. The slice's
// home and standby are among the first if they are usable and outside from's domain.
func Observers(slice Slice, candidates []Candidate, from instance.Entry, count int, usable func(*instance.Entry) bool) []int {
	key := slice.Key()
	var chosen []int
	available := func(i int) bool {
		return candidates[i].Entry.Name != from.Name && !slices.Contains(chosen, i) && usable(&candidates[i].Entry)
	}
	sameDomain := func(i int) bool {
		domain := candidates[i].Entry.Domain
		return domain == from.Domain || slices.ContainsFunc(chosen, func(c int) bool { return candidates[c].Entry.Domain == domain })
	}
	for len(chosen) < count {
		next := highestRanked(key, candidates, func(i int) bool { return !sameDomain(i) && available(i) })
		if next < 0 {
			next = highestRanked(key, candidates, available)
		}
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// highestRanked returns the index of the highest ranked allowed candidate, or -1 if there is none.
func highestRanked(key uint64, candidates []Candidate, allowed func(int) bool) int {
	found, top := -1, Rank{}
	for i := range candidates {
		if r := candidates[i].Rank(key); (found < 0 || r.Compare(top) > 0) && allowed(i) {
			found, top = i, r
		}
	}
	return found
}

// Rank is a candidate's rank for a key. Ranks are ordered by Compare.
type Rank struct {
	score  uint64
	weight float64
}

// Rank returns the candidate's rank for the hash of a key.
func (candidate *Candidate) Rank(key uint64) Rank {
	return Rank{Score(key, candidate.hash), candidate.weight}
}

// Compare returns a positive number if rank is higher than other, a negative number if it is lower, and 0 if they are equal.
func (rank Rank) Compare(other Rank) int {
	if rank.weight == other.weight {
		return cmp.Compare(rank.score, other.score) // fast path: most instances have equal weights, and logarithms are slow
	}
	return cmp.Compare(rank.weightedScore(), other.weightedScore())
}

// weightedScore returns log(u)/weight, where u is the score scaled to (0, 1]. A candidate has the highest weighted score with a
// probability proportional to its weight.
func (rank Rank) weightedScore() float64 {
	uniform := (float64(rank.score) + 1) / (1 << 64)
	return math.Log(uniform) / rank.weight
}

// Score returns a member's score for a key, a mix of the hashes of both.
func Score(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
