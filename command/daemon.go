// Package command implements the command lines of both programs.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/daemon"
	"github.com/sequoiaspan/sequoiaspan/logs"
	"github.com/sequoiaspan/sequoiaspan/platform"
	"github.com/sequoiaspan/sequoiaspan/settings"
	"github.com/sequoiaspan/sequoiaspan/version"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2 // also for invalid settings
	exitFindings = 3 // a strict check has warnings, or a file differs from the rules in force
)

// Daemon runs sequoiaspan, the daemon of an entry instance, and returns its exit code.
func Daemon() int {
	// Register first: until then, SIGHUP terminates the process, as is its default action.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file := "/etc/sequoiaspan/settings.toml"
	if named := os.Getenv(settings.FileVariable); named != "" {
		file = named
	}
	level := ""
	flaggy.SetName("sequoiaspan")
	flaggy.SetDescription("proxies callers' requests to backend servers with gray failures")
	flaggy.SetVersion(version.Number)
	flaggy.DefaultParser.AdditionalHelpAppend = "\nExamples:\n  sequoiaspan run --settings settings.toml\n  sequoiaspan check-settings settings.toml\n\nEnvironment variables such as SEQUOIASPAN_CALLER_ADDRESS override the settings file."
	serve := flaggy.NewSubcommand("run")
	serve.Description = "serve as an entry instance until SIGTERM or an interrupt; a further interrupt stops without draining"
	serve.String(&file, "s", "settings", "settings file")
	serve.String(&level, "l", "log-level", "debug, info, warn or error; overrides the settings")
	check := flaggy.NewSubcommand("check-settings")
	check.Description = "validate a settings file and print all errors"
	check.AddPositionalValue(&file, "FILE", 1, true, "settings file")
	flaggy.AttachSubcommand(serve, 1)
	flaggy.AttachSubcommand(check, 1)
	flaggy.Parse()

	if !serve.Used && !check.Used {
		flaggy.ShowHelp("")
		return exitUsage
	}
	loaded, err := settings.Load(file, os.Environ())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check.Used {
		fmt.Println(file + ": no faults")
		return 0
	}
	if level != "" {
		loaded.LogLevel = level
	}
	return runDaemon(loaded, file, reload)
}

func runDaemon(loaded settings.Settings, file string, reload <-chan os.Signal) int {
	log, err := logs.Open(logs.Options{Level: loaded.LogLevel, Instance: loaded.Name})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer log.Close()
	// net/http logs unsolicited bytes on idle connections through the standard logger.
	restore, err := zap.RedirectStdLogAt(log.Logger, zap.WarnLevel)
	if err != nil {
		log.Error("daemon: redirecting the standard logger failed", zap.Error(err))
		return exitFailed
	}
	defer restore()
	registry := metrics.NewRegistry()
	log.Register(registry)
	log.Info("daemon: starting", zap.String("version", version.Number), zap.String("settings", file), zap.Int("pid", os.Getpid()))
	stopping, force := signals()
	d := &daemon.Daemon{Settings: loaded, Log: log.Logger, Metrics: registry, Reload: daemon.ReloadOptions{
		File: file, Environment: os.Environ(), Signal: reload, Level: log.Level,
	}}
	if loaded.Platform == settings.PlatformMetadataStore {
		d.Platform = platform.New(loaded, log.Logger, registry)
	}
	if err := d.Run(stopping, force); err != nil {
		log.Error("daemon: ended with an error", zap.Error(err))
		return exitFailed
	}
	return 0
}

// signals returns a context that ends with the first SIGTERM or interrupt, and one that ends with a later interrupt.
func signals() (stopping, force context.Context) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	return watchSignals(received)
}

// watchSignals implements signals for a channel of received signals. Supervisors may repeat SIGTERM, so only a later interrupt
// by an operator drops requests in flight.
func watchSignals(received <-chan os.Signal) (stopping, force context.Context) {
	stopping, stop := context.WithCancel(context.Background())
	force, end := context.WithCancel(context.Background())
	go func() {
		<-received
		stop()
		for s := range received {
			if s == os.Interrupt {
				end()
			}
		}
	}()
	return stopping, force
}
