package scenario

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspan/sequoiaspan/entry"
	"github.com/sequoiaspan/sequoiaspan/testing/standin"
)

type scriptCommand = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the words of the scripts' language besides those of testscript.
func commands() map[string]scriptCommand {
	return map[string]scriptCommand{
		"platform": func(ts *testscript.TestScript, _ bool, _ []string) {
			w := worldOf(ts)
			w.platform = standin.NewPlatform()
			ts.Setenv("SEQUOIASPAN_STORE_ADDRESS", w.platform.Address().String())
			ts.Setenv("SEQUOIASPAN_INSTANCE_LIST_ADDRESS", w.platform.Address().String())
		},
		"backends":  cmdBackends,
		"entries":   cmdEntries,
		"ready":     func(ts *testscript.TestScript, _ bool, args []string) { ts.Check(worldOf(ts).ready(args)) },
		"signal":    cmdSignal,
		"restart":   cmdRestart,
		"exited":    cmdExited,
		"unlist":    cmdUnlist,
		"leave":     cmdLeave,
		"mode":      cmdMode,
		"poison":    cmdPoison,
		"content":   cmdContent,
		"fault":     cmdFault,
		"request":   cmdRequest,
		"start":     cmdStart,
		"wait-for":  cmdWaitFor,
		"load":      cmdLoad,
		"stop-load": cmdStopLoad,
		"ran":       cmdRan,
		"served":    cmdServed,
		"state":     cmdState,
		"lookup":    cmdLookup,
		"relay":     cmdRelay,
		"cut":       cmdCut,
		"pause":     cmdPause,
		"lost":      cmdLost,
		"most":      cmdMost,
		"home-of":   cmdHomeOf,
		"hush":      cmdHush,
		"in-force":  cmdInForce,
		"count":     cmdCount,
		"protocol":  cmdProtocol,
	}
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// cmdBackends starts backend servers: backends SERVICE COUNT [WORK-TIME].
func cmdBackends(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for i := range atoi(args[1]) {
		s := standin.NewBackend(fmt.Sprintf("%s-%d", args[0], i))
		if len(args) > 2 {
			work, err := time.ParseDuration(args[2])
			ts.Check(err)
			s.WorkTime = work
		}
		w.servers = append(w.servers, s)
		w.listed = append(w.listed, standin.ListedServer(s, args[0], fmt.Sprintf("domain-%d", i%3)))
	}
	w.publishList()
}

// cmdEntries starts entry instances over three failure domains: entries COUNT.
func cmdEntries(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).startEntries(atoi(args[0]), 3))
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGTERM, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT,
}

// cmdSignal sends a signal to an entry instance's process: signal kill|stop|freeze|thaw INSTANCE.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	p, err := worldOf(ts).entry(args[1])
	ts.Check(err)
	ts.Check(p.command.Process.Signal(signals[args[0]]))
	if args[0] == "kill" {
		<-p.done
	}
}

// cmdRestart starts an ended entry instance's process again: restart INSTANCE.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	p, err := w.entry(args[0])
	ts.Check(err)
	<-p.done
	p.listed = true
	w.publishList()
	ts.Check(w.start(p))
}

// cmdExited waits for a process to end and checks its exit code: exited INSTANCE CODE. Negated, it checks that it has not ended.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	p, err := worldOf(ts).entry(args[0])
	ts.Check(err)
	if neg {
		select {
		case <-p.done:
			ts.Fatalf("%s has ended", args[0])
		default:
			return
		}
	}
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		ts.Fatalf("%s has not ended", args[0])
	}
	if code := p.command.ProcessState.ExitCode(); code != atoi(args[1]) {
		ts.Fatalf("%s ended with code %d", args[0], code)
	}
}

// cmdUnlist takes an entry instance off the list: unlist INSTANCE.
func cmdUnlist(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	p, err := w.entry(args[0])
	ts.Check(err)
	p.listed = false
	w.publishList()
}

// cmdLeave marks a backend server as leaving on the list: leave SERVER.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for i := range w.listed {
		if w.listed[i].Name == args[0] {
			w.listed[i].State = "leaving"
		}
	}
	w.publishList()
}

var modes = map[string]standin.Mode{
	"healthy": standin.Healthy, "stalling": standin.Stalling, "slow": standin.Slow, "crashing": standin.Crashing,
	"shedding": standin.Shedding, "retiring": standin.Retiring, "breaking": standin.Breaking, "dropping": standin.Dropping,
	"trickling": standin.Trickling,
}

// cmdMode changes how backend servers behave: mode MODE SERVER...
func cmdMode(ts *testscript.TestScript, _ bool, args []string) {
	mode, known := modes[args[0]]
	if !known {
		ts.Fatalf("no mode %s", args[0])
	}
	for _, name := range args[1:] {
		s, err := worldOf(ts).server(name)
		ts.Check(err)
		s.SetMode(mode)
	}
}

// cmdPoison makes requests for a path crash every backend server: poison PATH.
func cmdPoison(ts *testscript.TestScript, _ bool, args []string) {
	for _, s := range worldOf(ts).servers {
		s.SetPoison(args[0])
	}
}

// cmdContent sets what downloads give: content BYTES.
func cmdContent(ts *testscript.TestScript, _ bool, args []string) {
	content := bytes.Repeat([]byte("0123456789abcdef"), atoi(args[0])/16)
	for _, s := range worldOf(ts).servers {
		s.SetContent(content)
	}
}

// cmdFault sets the platform's faults, none clears them: fault none|store-down|store-slow|lose-replies|list-down|list-frozen|malformed-list...
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := standin.Faults{}
	for _, name := range args {
		switch name {
		case "none":
		case "store-down":
			faults.StoreDown = true
		case "store-slow":
			faults.StoreSlow = time.Second
		case "lose-replies":
			faults.LoseReplies = 1
		case "list-down":
			faults.ListDown = true
		case "list-frozen":
			faults.ListFrozen = true
		case "malformed-list":
			faults.MalformedList = true
		default:
			ts.Fatalf("no fault %s", name)
		}
	}
	worldOf(ts).platform.SetFaults(faults)
}

// cmdRan checks how often a request ran over all backend servers: ran ID COUNT.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, s := range worldOf(ts).servers {
		total += s.Ran(args[0])
	}
	if total != atoi(args[1]) {
		ts.Fatalf("request %s ran %d times", args[0], total)
	}
}

// cmdServed prints how many requests a backend server has run: served SERVER.
func cmdServed(ts *testscript.TestScript, _ bool, args []string) {
	s, err := worldOf(ts).server(args[0])
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "served %d\n", s.Served())
}

// cmdLost checks how many backend servers were crashed in all: lost COUNT.
func cmdLost(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, s := range worldOf(ts).servers {
		total += s.Lost()
	}
	if total != atoi(args[0]) {
		ts.Fatalf("%d requests crashed a backend server", total)
	}
}

// cmdProtocol checks that no instance has logged a message from another that it could not read: protocol.
func cmdProtocol(ts *testscript.TestScript, _ bool, _ []string) {
	for _, p := range worldOf(ts).entries {
		log := ts.ReadFile(p.settings.Name + ".log")
		for line := range strings.Lines(log) {
			if strings.Contains(line, ": protocol") {
				ts.Fatalf("%s: %s", p.settings.Name, line)
			}
		}
	}
}

// cmdMost checks that no backend server ever ran more requests at a time: most COUNT.
func cmdMost(ts *testscript.TestScript, _ bool, args []string) {
	for _, s := range worldOf(ts).servers {
		if s.MostActive() > atoi(args[0]) {
			ts.Fatalf("%s ran %d requests at a time", s.Name, s.MostActive())
		}
	}
}

// cmdState waits until some home judges a backend server so: state SERVER STATE. Negated, it checks that none does now.
func cmdState(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	condition := func() (bool, string) {
		seen := w.statesOf(args[0])
		return slices.Contains(seen, args[1]), strings.Join(seen, ", ")
	}
	if neg {
		if holds, seen := condition(); holds {
			ts.Fatalf("%s is %s", args[0], seen)
		}
		return
	}
	ts.Check(await(args[0]+" is "+args[1], condition))
}

// statesOf returns how the homes judge a backend server.
func (w *world) statesOf(server string) []string {
	var out []string
	for _, p := range w.entries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := standin.Status(ctx, w.client("operator"), p.settings.Operator)
		cancel()
		if err != nil {
			continue
		}
		for _, slice := range status.Slices {
			for _, s := range slice.Servers {
				if s.Server == server {
					out = append(out, s.State)
				}
			}
		}
	}
	return out
}

// cmdLookup prints the addresses that an instance's directory names: lookup INSTANCE SERVICE.
func cmdLookup(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	p, err := w.entry(args[0])
	ts.Check(err)
	directory, err := standin.Lookup(context.Background(), w.client("caller"), p.settings.Caller, args[1])
	ts.Check(err)
	for _, address := range directory.Addresses {
		fmt.Fprintf(ts.Stdout(), "%s %s\n", address.Name, address.Domain)
	}
}

// cmdHomeOf finds the home of a slice: home-of SLICE. It sets HOME_ENTRY, and OTHER_ENTRY and THIRD_ENTRY to others.
func cmdHomeOf(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	home := ""
	ts.Check(await("a home of "+args[0], func() (bool, string) {
		for _, p := range w.entries {
			status, err := standin.Status(context.Background(), w.client("operator"), p.settings.Operator)
			if err == nil && slices.ContainsFunc(status.Slices, func(s entry.SliceStatus) bool { return s.Slice == args[0] }) {
				home = p.settings.Name
				return true, ""
			}
		}
		return false, "none"
	}))
	ts.Setenv("HOME_ENTRY", home)
	names := []string{"OTHER_ENTRY", "THIRD_ENTRY"}
	for _, p := range w.entries {
		if p.settings.Name != home && len(names) > 0 {
			ts.Setenv(names[0], p.settings.Name)
			names = names[1:]
		}
	}
}

// cmdInForce waits until entry instances have a version of the rules in force: in-force VERSION INSTANCE...
func cmdInForce(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for _, name := range args[1:] {
		p, err := w.entry(name)
		ts.Check(err)
		ts.Check(await(name+" has version "+args[0], func() (bool, string) {
			status, err := standin.Status(context.Background(), w.client("operator"), p.settings.Operator)
			return err == nil && status.RulesVersion == uint64(atoi(args[0])), fmt.Sprintf("version %d, %v", status.RulesVersion, err)
		}))
	}
}

// cmdCount checks how many results a load that has stopped had of a kind: count NAME RESULT LEAST MOST.
func cmdCount(ts *testscript.TestScript, _ bool, args []string) {
	l := worldOf(ts).loads[args[0]]
	l.mu.Lock()
	defer l.mu.Unlock()
	got := 0
	for result, n := range l.results {
		if strings.HasPrefix(result, args[1]) {
			got += n
		}
	}
	if got < atoi(args[2]) || got > atoi(args[3]) {
		ts.Fatalf("%d results of kind %s: %v", got, args[1], l.results)
	}
}

// cmdPause lets time pass, for what must not happen meanwhile: pause DURATION.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	length, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(length)
}
