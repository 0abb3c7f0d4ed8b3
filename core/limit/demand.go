package limit

import (
	"math"
	"slices"
	"time"
)

// Spending by priority.
const (
	demandMemory = time.Second      // after which a token asked for counts for 1/e in the recent demand
	longMemory   = 10 * time.Second // the same for the lasting demand, which decides about the floor
	// holdMargin is the square of half the number of standard deviations of the urgent demand that held tokens cover, here 4 of them: with
	// urgent demand below the rate, the chance that they do not suffice is about exp(-2 x 4).
	holdMargin   = 4.0
	maxHoldDelay = 100 * time.Millisecond // before an instance asks again for tokens that are held: the urgent demand may have ended
	// floorShare is the part of the share of all asks that is granted, granted to each priority. It is above 0.25 of requests, as refused callers of
	// urgent requests ask more often, and instances refuse some of the less urgent ones themselves.
	floorShare   = 0.5
	minFreeShare = 0.1 // of the rate, at which callers return whose priority has less than this left
	urgentSpread = 5   // part of a window for which refused callers come back after those of more urgent priorities: few wait longer
	maxClasses   = 8   // priorities of a team that are told apart
)

// Want is a number of tokens asked for requests of one priority. 0 is the most urgent priority.
type Want struct {
	Tokens   int
	Priority int
}

// demand is a team's recent demand by priority. The zero value has none.
type demand struct {
	classes []class // the most urgent first
	asOf    time.Time
}

// class is the demand of one priority: sums that decay over demandMemory, or longMemory.
type class struct {
	priority int
	asked    float64 // tokens
	squares  float64 // of the tokens asked for at a time
	lasting  float64 // tokens asked for, over longMemory
	granted  float64 // tokens, over longMemory
	owed     float64 // of the floor, up to one token
	retryAt  time.Time
}

// class returns the index of a priority's class. Of too many, it replaces the one that asks least.
func (demand *demand) class(priority int) int {
	i, found := slices.BinarySearchFunc(demand.classes, priority, func(c class, priority int) int { return c.priority - priority })
	if found {
		return i
	}
	if len(demand.classes) >= maxClasses {
		least := 0
		for j := range demand.classes {
			if demand.classes[j].asked < demand.classes[least].asked {
				least = j
			}
		}
		demand.classes = slices.Delete(demand.classes, least, least+1)
		if least < i {
			i--
		}
	}
	demand.classes = slices.Insert(demand.classes, i, class{priority: priority})
	return i
}

// decay applies the time since the latest call.
func (demand *demand) decay(now time.Time) {
	if elapsed := now.Sub(demand.asOf); elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
		lasting := math.Exp(-elapsed.Seconds() / longMemory.Seconds())
		for i := range demand.classes {
			c := &demand.classes[i]
			c.asked, c.squares, c.lasting, c.granted = left*c.asked, left*c.squares, lasting*c.lasting, lasting*c.granted
		}
		demand.asOf = now
	}
}

// observe records what was granted to a class. An instance that gets fewer tokens than it wants asks again for the rest, so a refusal is a demand
// of one token.
func (demand *demand) observe(i, granted int) {
	c := &demand.classes[i]
	tokens := float64(max(1, granted))
	c.asked += tokens
	c.squares += tokens * tokens
	c.lasting += tokens
	c.granted += float64(granted)
	if granted > 0 {
		c.owed = max(0, c.owed-float64(granted))
		return
	}
	asked, all := 0.0, 0.0
	for j := range demand.classes {
		asked += demand.classes[j].lasting
		all += demand.classes[j].granted
	}
	c.owed = min(1, c.owed+floorShare*all/asked)
}

// rate returns the tokens that the classes before an index ask for in a second.
func (demand *demand) rate(before int) float64 {
	asked := 0.0
	for i := range before {
		asked += demand.classes[i].asked
	}
	return asked / demandMemory.Seconds()
}

// hold returns how many tokens of a bucket the classes before an index will need beyond those that are refilled meanwhile: the maximum over
// time of their expected demand, plus its deviation, minus what is refilled. It looks ahead for the time in which the bucket fills up, and leaves
// one token of a full bucket to anybody, as that would go to waste.
func (demand *demand) hold(limit Limit, before int) float64 {
	perSecond := demand.rate(before)
	if perSecond == 0 {
		return 0
	}
	asked, squares := 0.0, 0.0
	for i := range before {
		asked += demand.classes[i].asked
		squares += demand.classes[i].squares
	}
	variance := holdMargin * perSecond * squares / asked
	free, ahead := limit.Rate-perSecond, limit.capacity()/limit.Rate
	held := -free*ahead + 2*math.Sqrt(variance*ahead)
	if free > 0 && variance <= ahead*free*free {
		held = variance / free
	}
	return min(max(0, held), limit.capacity()-1)
}

// fitting returns how many of the most urgent classes together stay within the rate for long. They give nothing to the floor of the others.
func (demand *demand) fitting(limit Limit) int {
	asked := 0.0
	for i := range demand.classes {
		asked += demand.classes[i].lasting
		if asked >= limit.Rate*longMemory.Seconds() {
			return i
		}
	}
	return len(demand.classes)
}

// take takes tokens of a bucket for a class: those that more urgent ones will not need, or one that its floor is owed.
func (demand *demand) take(now time.Time, bucket *Bucket, limit Limit, want, i int) (taken int, nextAt time.Time, held bool) {
	keep := demand.hold(limit, i)
	fitting := demand.fitting(limit)
	if i >= fitting && i < len(demand.classes)-1 {
		// The token that the floor of less urgent classes takes.
		keep = max(keep, min(demand.hold(limit, fitting)+1, limit.capacity()-1))
	}
	taken, nextAt = bucket.take(now, limit, want, keep)
	if taken > 0 || keep == 0 {
		return taken, nextAt, false
	}
	if i > fitting && demand.classes[i].owed >= 1 {
		if taken, _ = bucket.take(now, limit, 1, demand.hold(limit, fitting)); taken > 0 {
			return taken, time.Time{}, false
		}
	}
	if latest := now.Add(maxHoldDelay); nextAt.After(latest) {
		nextAt = latest
	}
	return 0, nextAt, bucket.level(limit) >= 1
}

// stagger returns when a refused caller of a class should come back: at the rate that more urgent classes leave, one caller after the other,
// and behind the refused callers of more urgent classes that come back soon. It starts over when the last one would wait for longer than a window.
func (demand *demand) stagger(now, nextAt time.Time, limit Limit, window time.Duration, i int) time.Time {
	from := nextAt
	for _, urgent := range demand.classes[:i] {
		if urgent.retryAt.After(from) && urgent.retryAt.Sub(now) < window/urgentSpread {
			from = urgent.retryAt
		}
	}
	c := &demand.classes[i]
	free := max(limit.Rate-demand.rate(i), minFreeShare*limit.Rate)
	c.retryAt = c.retryAt.Add(time.Duration(float64(time.Second) / free))
	if c.retryAt.Before(from) || c.retryAt.Sub(now) > window {
		c.retryAt = from
	}
	return c.retryAt
}
