package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exitUnusable is the exit code of a case that could not run.
const exitUnusable = 2

// host is the host name of all routes.
const host = "hulo84.example"

// unusable ends the case because it cannot run.
func unusable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	panic(errUnusable)
}

var errUnusable = errors.New("the case cannot run")

var ports atomic.Uint32

// freeAddress returns a loopback address that no other call of any running case returns: each process has an IP number of its own.
func freeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, 10_000+ports.Add(1))
}

// listen opens a listener on a free loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		unusable("%v", err)
	}
	return l
}

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(name string) *record {
	file, err := os.Create(name)
	if err != nil {
		unusable("%v", err)
	}
	return &record{file: file, started: time.Now()}
}

// add writes a line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// world is the platform, the upstreams and the entry instances of a case.
type world struct {
	record  *record
	store   *store
	folder  string
	nodes   []*node
	started bool // the whole system has started for the first time
	quiet   bool // runs are not recorded one by one
}

func newWorld(recordFile string) *world {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		unusable("%v", err)
	}
	return &world{record: newRecord(recordFile), store: newStore(), folder: folder}
}

// close ends all processes that the case started, by their ids.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// node is an entry instance that runs as a process of its own.
type node struct {
	world                                     *world
	name, zone                                string
	front, ready, directory, control, operate string
	settings, log                             string
	files                                     int // limit of descriptors, 0 for the inherited one
	command                                   *exec.Cmd
	ended                                     chan struct{}
	state                                     string // how the process ended
}

// addNode adds an entry instance.
func (w *world) addNode(name, zone string) *node {
	n := &node{world: w, name: name, zone: zone}
	for _, address := range []*string{&n.front, &n.ready, &n.directory, &n.control, &n.operate} {
		*address = freeAddress()
	}
	n.settings, n.log = filepath.Join(w.folder, name+".toml"), filepath.Join(w.folder, name+".log")
	w.nodes = append(w.nodes, n)
	return n
}

// writeSettings fills in deploy/settings.toml for a node. Seeds are the control addresses of at most three nodes.
func (n *node) writeSettings() {
	w := n.world
	var seeds []string
	for _, seed := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.control))
	}
	text := fmt.Sprintf(`platform = "metadata-store"
name = %q
failure-domain = %q
region = "gt-central"
first-start = %t
caller-address = %q
ready-address = %q
directory-address = %q
peer-address = %q
seeds = [%s]
operator-address = %q
store-address = %q
grace = "6s"
floor = 0.7
processor-cores = 0.32
log-level = "info"

[callers]
keep = "2s"
addresses = 16

[retries]
share = 0.2
burst = 62

[intervals]
peer-silence = "100ms"
`, n.name, n.zone, !w.started, n.front, n.ready, n.directory, n.control, strings.Join(seeds, ", "), n.operate, w.store.address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		unusable("%v", err)
	}
}

// start writes the node's settings and starts its process with the command of the deploy file.
func (n *node) start() {
	n.writeSettings()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unusable("%v", err)
	}
	defer out.Close()
	command := exec.Command("target/sequoiaspan", "run")
	if n.files > 0 {
		command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/sequoiaspan run", n.files))
	}
	command.Env = []string{"SEQUOIASPAN_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		unusable("%v", err)
	}
	n.command, n.ended = command, make(chan struct{})
	go func() {
		_ = command.Wait()
		n.state = command.ProcessState.String()
		close(n.ended)
	}()
}

// hasEnded reports whether the node's process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	if n.command != nil && !n.hasEnded() {
		_ = n.command.Process.Signal(s)
	}
}

// kill kills the node's process and waits for its end.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// lastLog returns the last lines of the node's log.
func (n *node) lastLog(lines int) []string {
	text, _ := os.ReadFile(n.log)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return all[max(0, len(all)-lines):]
}

// startAll starts all nodes and waits until they are ready.
func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
	for _, n := range w.nodes {
		n.awaitReady()
		w.record.add("%s is ready", n.name)
	}
	w.started = true
	time.Sleep(4 * time.Second) // until the instances know each other and all upstreams
}

func (n *node) awaitReady() {
	for range 200 {
		response, err := http.Get("http://" + n.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	unusable("%s is not ready: %v", n.name, n.lastLog(3))
}

// route is a row of the configuration's routes.
type route struct {
	name, prefix, kind, service string
	timeout, target             int // ms
	priority, attempts          int
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes []route, services []string) {
	routeRows, serviceRows := [][]any{}, [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, host, r.prefix, r.kind, r.timeout, r.target, r.priority, r.attempts, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 390, "h1", false})
	}
	document := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{"columns": []string{
			"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "max_attempts", "service",
		}, "rows": routeRows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	value, err := json.Marshal(document)
	if err != nil {
		unusable("%v", err)
	}
	w.store.put("op/config", string(value))
	w.record.add("the store has acknowledged configuration r%d", version)
}
