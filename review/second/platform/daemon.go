package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// program is the daemon, as the build line of the deploy file places it.
const program = "target/sequoiaspan"

// node is one instance of the system, a process of its own.
type node struct {
	name, zone, advertised, store               string
	front, ready, directory, control, operators string
	file                                        string
	log                                         *os.File
	command                                     *exec.Cmd
	ended                                       chan struct{}
}

// Ports of the instances, below the range from which the system takes those of outgoing connections.
const (
	firstPort = 10_000
	portCount = 20_000
)

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for tries := 0; len(addresses) < count; tries++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		switch {
		case err == nil:
			listeners = append(listeners, listener)
			addresses = append(addresses, listener.Addr().String())
		case tries > portCount:
			return nil, err
		}
	}
	return addresses, nil
}

// startNodes starts instances with the settings that deploy/settings.toml gives for a small deployment. With a network, they are in two
// zones, and reach each other and the store through it.
func (world *world) startNodes(ctx context.Context, count int, network *network) error {
	store := world.store.address()
	var seeds []string
	for i := range count {
		addresses, err := freeAddresses(5)
		if err != nil {
			return err
		}
		zone := "zone-a"
		if network != nil && i >= count/2 {
			zone = "zone-b"
		}
		world.nodes = append(world.nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, store: store, front: addresses[0], ready: addresses[1], directory: addresses[2], control: addresses[3], operators: addresses[4]})
		reached := addresses[3]
		if network != nil {
			if reached, err = network.listen(world.nodes[i].name, addresses[3]); err != nil {
				return err
			}
			world.nodes[i].advertised = reached
			if world.nodes[i].store, err = network.listenFor(world.nodes[i].name, store); err != nil {
				return err
			}
		}
		seeds = append(seeds, fmt.Sprintf("%q", reached))
	}
	for _, node := range world.nodes {
		node.file = filepath.Join(world.folder, node.name+".toml")
		text := strings.Join([]string{
			`platform = "metadata-store"`, fmt.Sprintf("name = %q", node.name), fmt.Sprintf("failure-domain = %q", node.zone), `region = "region-a"`, `first-start = true`,
			fmt.Sprintf("caller-address = %q", node.front), fmt.Sprintf("ready-address = %q", node.ready), fmt.Sprintf("directory-address = %q", node.directory),
			fmt.Sprintf("peer-address = %q", node.control), fmt.Sprintf("seeds = [%s]", strings.Join(seeds[:min(3, len(seeds))], ",")),
			fmt.Sprintf("operator-address = %q", node.operators), fmt.Sprintf("store-address = %q", node.store), node.advertisedLine(),
			`grace = "6s"`, `floor = 0.7`, `processor-cores = 0.32`, `log-level = "info"`,
			"[callers]", `keep = "2s"`, `addresses = 16`, "[retries]", `share = 0.2`, `burst = 62`,
			"[quotas]", `window = "5s"`, `overshoot = 0.1`, `slack = 20`, "[intervals]", `peer-silence = "100ms"`, "",
		}, "\n")
		if err := os.WriteFile(node.file, []byte(text), 0o600); err != nil {
			return err
		}
		if err := node.start(world.folder); err != nil {
			return err
		}
	}
	for _, node := range world.nodes {
		if err := node.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (node *node) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	node.log = log
	node.command = exec.Command(program, "run")
	node.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIASPAN_CONFIG=" + node.file}
	node.command.Stdout, node.command.Stderr = log, log
	if err := node.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), node.command
	node.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// startAgain starts the process again, with the settings of a system that has started before.
func (node *node) startAgain(folder string) error {
	text, err := os.ReadFile(node.file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(node.file, bytes.Replace(text, []byte("first-start = true"), []byte("first-start = false"), 1), 0o600); err != nil {
		return err
	}
	return node.start(folder)
}

// stop kills the process.
func (node *node) stop() {
	if node.command == nil || node.command.Process == nil {
		return
	}
	_ = node.command.Process.Kill()
	<-node.ended
	_ = node.log.Close()
}

var errNotReady = errors.New("an instance did not become ready")

func (node *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if node.isReady(ctx) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errNotReady, node.name)
}

func (node *node) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// advertisedLine returns the setting of the address at which others reach the instance, if that is not the address on which it listens.
func (node *node) advertisedLine() string {
	if node.advertised == "" {
		return ""
	}
	return fmt.Sprintf("advertised-peer-address = %q", node.advertised)
}
