package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	crowd       = 150 // callers that come to a starved instance
	mostUnheard = 3   // requests that a server has run, without an answer within the time that the caller waits
)

// starve holds an instance's process to one processor, where a busy loop runs too, while a crowd calls it.
func (w *world) starve(in *instance, length time.Duration) {
	calm := w.ledger.disturb("starved " + in.name)
	defer calm()
	in.mu.Lock()
	process, processor := in.command.Process.Pid, in.command.Process.Pid%runtime.NumCPU()
	in.mu.Unlock()
	var one, all unix.CPUSet
	one.Set(processor)
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		w.t.Error(err)
		return
	}
	bind(process, &one)
	defer bind(process, &all)
	loop := exec.Command("/bin/sh", "-c", "while :; do :; done")
	if err := loop.Start(); err != nil {
		w.t.Error(err)
		return
	}
	bind(loop.Process.Pid, &one)
	ctx, cancel := context.WithTimeout(w.t.Context(), length)
	defer cancel()
	var calls sync.WaitGroup
	for range crowd {
		calls.Go(func() { w.newCrowdCaller().crowd(ctx, in) })
	}
	calls.Wait()
	_ = loop.Process.Kill()
	_ = loop.Wait()
}

// newCrowdCaller returns a caller of a starved instance.
func (w *world) newCrowdCaller() *caller {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crowds++
	return w.newCaller(callers+w.crowds, uint64(w.crowds))
}

// crowd calls one instance until the context ends.
func (c *caller) crowd(ctx context.Context, in *instance) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.addresses = []netip.AddrPort{in.caller}
		c.call(ctx, n)
	}
}

// bind lets all threads of a process run on some processors only. A thread or process that has ended needs none.
func bind(process int, processors *unix.CPUSet) {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", process))
	if err != nil {
		return
	}
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			_ = unix.SchedSetaffinity(id, processors)
		}
	}
}

// judgeStarved checks that requests which a starved instance has passed on get an answer, if only its own, while their callers wait. The lock
// is held.
func (l *ledger) judgeStarved() {
	ran, unheard := 0, 0
	example := ""
	for _, s := range l.requests {
		if len(s.runs) == 0 || !s.left.IsZero() || !l.disturbed(s.at, s.patience, "starved "+s.instance) ||
			l.disturbed(s.at.Add(-stableWindow), s.patience, "process "+s.instance, "stop "+s.instance, "all") {
			continue
		}
		ran++
		if s.ended.IsZero() || s.ended.After(s.patience.Add(clockSlack)) {
			unheard++
			example = s.id
		}
	}
	if unheard > mostUnheard {
		l.fail("starved", "%d of %d requests that starved instances have passed on have no answer when their callers leave, such as %s", unheard, ran, example)
	}
}
