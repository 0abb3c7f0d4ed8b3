package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/integrii/flaggy"

	instances "github.com/sequoiaspan/sequoiaspan/adapters/instances/http"
	store "github.com/sequoiaspan/sequoiaspan/adapters/store/http"
	"github.com/sequoiaspan/sequoiaspan/control"
	"github.com/sequoiaspan/sequoiaspan/version"
)

const examples = `
Examples:
  sequoiaspanctl check rules
  sequoiaspanctl check rules --strict --in-force --store 10.0.0.5:7000
  sequoiaspanctl fetch rules --store 10.0.0.5:7000
  sequoiaspanctl publish rules --store 10.0.0.5:7000 --instance-list 10.0.0.5:7001
  sequoiaspanctl status --details --instance-list 10.0.0.5:7001
  sequoiaspanctl explain rules POST /releases
  sequoiaspanctl key new

SEQUOIASPAN_STORE_ADDRESS and SEQUOIASPAN_INSTANCE_LIST_ADDRESS give the defaults of the flags.`

// arguments holds the values of the command line.
type arguments struct {
	file, method, path    string
	storeText, listText   string
	operator              string
	base                  uint64
	details               bool
	check                 control.CheckOptions
	failOnDifference      bool
	storeAddr, listAddr   netip.AddrPort
	needsStore, needsList bool
}

// Control runs sequoiaspanctl, the operators' command-line tool, and returns its exit code.
func Control() int {
	args := &arguments{
		storeText: os.Getenv("SEQUOIASPAN_STORE_ADDRESS"), listText: os.Getenv("SEQUOIASPAN_INSTANCE_LIST_ADDRESS"),
		operator: operatorName(),
	}
	flaggy.SetName("sequoiaspanctl")
	flaggy.SetDescription("validates and publishes rules, and shows the status of the fleet")
	flaggy.SetVersion(version.Number)
	flaggy.DefaultParser.AdditionalHelpAppend = examples
	check := fileCommand("check", "validate a rules file, print all errors and warn of rules without effect", args)
	fetch := fileCommand("fetch", "write the rules in force to a file", args)
	diff := fileCommand("diff", "show the differences between the rules in force and a file", args)
	publish := fileCommand("publish", "put a file into force and wait until all instances have it", args)
	status := flaggy.NewSubcommand("status")
	status.Description = "show the status of all instances"
	explain := fileCommand("explain", "show which rules apply to a request", args)
	explain.AddPositionalValue(&args.method, "METHOD", 2, true, "method of the request")
	explain.AddPositionalValue(&args.path, "PATH", 3, true, "path of the request")
	key := flaggy.NewSubcommand("key")
	key.Description = "manage API keys of teams"
	newKey := flaggy.NewSubcommand("new")
	newKey.Description = "print a new API key and its digest for the rules"
	key.AttachSubcommand(newKey, 1)
	for _, c := range []*flaggy.Subcommand{check, fetch, diff, publish} {
		c.String(&args.storeText, "s", "store", "address of the configuration store")
	}
	for _, c := range []*flaggy.Subcommand{publish, status} {
		c.String(&args.listText, "i", "instance-list", "address of the instance list")
	}
	check.Bool(&args.check.Strict, "", "strict", "exit with 3 if there are warnings")
	check.Bool(&args.check.InForce, "", "in-force", "also show the rules that differ from those in force")
	diff.Bool(&args.failOnDifference, "", "exit-code", "exit with 3 if there are differences")
	publish.String(&args.operator, "o", "by", "operator's name, stored with the version")
	publish.UInt64(&args.base, "b", "base", "version that the file is based on; by default the one in its first line")
	status.Bool(&args.details, "d", "details", "also show backend servers")
	for _, c := range []*flaggy.Subcommand{check, fetch, diff, publish, status, explain, key} {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()

	args.needsStore = args.check.InForce || fetch.Used || diff.Used || publish.Used
	args.needsList = publish.Used || status.Used
	if err := args.parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := &control.Control{
		Store: &store.Store{Address: args.storeAddr}, Instances: &instances.Client{Address: args.listAddr}, Out: os.Stdout,
	}
	switch {
	case check.Used:
		return exitCode(c.Check(ctx, args.file, args.check))
	case fetch.Used:
		return exitCode(c.Fetch(ctx, args.file))
	case diff.Used:
		return exitCode(c.Diff(ctx, args.file, args.failOnDifference))
	case publish.Used:
		return exitCode(c.Publish(ctx, args.file, args.operator, args.base))
	case status.Used:
		return exitCode(c.Status(ctx, args.details))
	case explain.Used:
		return exitCode(c.Explain(args.file, args.method, args.path))
	case newKey.Used:
		return exitCode(c.NewKey())
	}
	flaggy.ShowHelp("")
	return exitUsage
}

// fileCommand returns a subcommand with a rules file as its first argument.
func fileCommand(name, description string, args *arguments) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AddPositionalValue(&args.file, "FILE", 1, true, "rules file")
	return c
}

func (args *arguments) parse() error {
	var err error
	if args.needsStore {
		if args.storeAddr, err = netip.ParseAddrPort(args.storeText); err != nil {
			return fmt.Errorf("--store: give the store's IP address and port: %w", err)
		}
	}
	if args.needsList {
		if args.listAddr, err = netip.ParseAddrPort(args.listText); err != nil {
			return fmt.Errorf("--instance-list: give the list's IP address and port: %w", err)
		}
	}
	return nil
}

func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var found *control.Error
		if errors.As(err, &found) && (found.Kind == control.KindWarnings || found.Kind == control.KindDifferent) {
			return exitFindings
		}
		return exitFailed
	}
	return 0
}

func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
