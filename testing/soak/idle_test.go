package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// While no requests are sent, an instance may use half a core, so that a loop which never ends is found.
const (
	idleTime      = 2 * time.Second
	mostIdleShare = 0.5
	clockTick     = 10 * time.Millisecond // of /proc
)

// usage is the processor time that a process has used.
type usage struct {
	process int // 0 if there is none
	used    time.Duration
}

// usage returns what the instance's process has used.
func (in *instance) usage() usage {
	in.mu.Lock()
	process := in.command.Process.Pid
	in.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return usage{}
	}
	// The name in parentheses may contain spaces. The 12th and 13th field after it are the ticks of the program and of the kernel for it.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var program, kernel int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &program, &kernel); err != nil {
		return usage{}
	}
	return usage{process, time.Duration(program+kernel) * clockTick}
}

// judgeIdle returns the instances that use too much processor time while no requests are sent.
func (w *world) judgeIdle() string {
	before := map[string]usage{}
	for _, in := range w.instances {
		before[in.name] = in.usage()
	}
	time.Sleep(idleTime)
	broken := ""
	for _, in := range w.instances {
		earlier, now := before[in.name], in.usage()
		if now.process == 0 || now.process != earlier.process {
			broken += fmt.Sprintf("\nidle: %s is not the process that it was %s before", in.name, idleTime)
			continue
		}
		if used := now.used - earlier.used; used > time.Duration(mostIdleShare*float64(idleTime)) {
			broken += fmt.Sprintf("\nidle: %s uses %s of processor time in %s without requests", in.name, used, idleTime)
		}
	}
	return broken
}
