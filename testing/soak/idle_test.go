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

// processorTime returns the instance's process and the processor time that it has used. The process is 0 if there is none.
func (in *instance) processorTime() (process int, used time.Duration) {
	in.mu.Lock()
	process = in.command.Process.Pid
	in.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return 0, 0
	}
	// The name in parentheses may contain spaces. The 12th and 13th field after it are the ticks of the program and of the kernel for it.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var program, kernel int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &program, &kernel); err != nil {
		return 0, 0
	}
	return process, time.Duration(program+kernel) * clockTick
}

// judgeIdle returns the instances that use too much processor time while no requests are sent.
func (w *world) judgeIdle() string {
	type usage struct {
		process int
		used    time.Duration
	}
	before := map[string]usage{}
	for _, in := range w.instances {
		process, used := in.processorTime()
		before[in.name] = usage{process, used}
	}
	time.Sleep(idleTime)
	broken := ""
	for _, in := range w.instances {
		process, used := in.processorTime()
		if process == 0 || process != before[in.name].process {
			broken += fmt.Sprintf("\nidle: %s is not the process that it was %s before", in.name, idleTime)
			continue
		}
		if used -= before[in.name].used; used > time.Duration(mostIdleShare*float64(idleTime)) {
			broken += fmt.Sprintf("\nidle: %s uses %s of processor time in %s without requests", in.name, used, idleTime)
		}
	}
	return broken
}
