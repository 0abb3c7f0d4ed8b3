package daemon

import (
	"syscall"

	"github.com/sequoiaspan/sequoiaspan/settings"
)

// Shares of the machine's memory.
const (
	// headMemoryShare is for the heads of requests. The garbage collector lets the heap grow to twice what is in use, so they take up half of the
	// memory at most.
	headMemoryShare = 0.25
	// goMemoryShare is the soft limit of the Go runtime. The rest is for the program's own pages, about 12 MB, and the operating system.
	goMemoryShare = 0.75
)

// headMemory returns the memory for the heads of requests, in bytes.
func headMemory(s *settings.Settings) int64 {
	if s.Limits.HeadMemoryBytes > 0 {
		return s.Limits.HeadMemoryBytes
	}
	memory := s.Memory()
	if memory == 0 {
		memory = systemMemory()
	}
	if s.GoMemoryLimit > 0 {
		memory = min(memory, s.GoMemoryLimit)
	}
	return int64(headMemoryShare * float64(memory))
}

// goMemoryLimit returns the soft limit of the Go runtime in bytes, 0 for none. The operating system's report sets none, as processes may share it.
func goMemoryLimit(s *settings.Settings) int64 {
	if s.GoMemoryLimit > 0 {
		return s.GoMemoryLimit
	}
	return int64(goMemoryShare * float64(s.Memory()))
}

// assumedMemory stands in for the machine's memory if the operating system does not report it, in bytes.
const assumedMemory = 512 << 20

// systemMemory returns the memory that the operating system reports, in bytes.
func systemMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return assumedMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}
