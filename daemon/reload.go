package daemon

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sequoiaspan/sequoiaspan/settings"
)

// settingsPollInterval is the polling interval of the settings file, which may change without a signal.
const settingsPollInterval = time.Second

// ReloadOptions configures the reloading of settings. The zero value disables it.
type ReloadOptions struct {
	File        string
	Environment []string
	Signal      <-chan os.Signal // each signal triggers a reload; may be nil
	Level       zap.AtomicLevel  // updated from the log-level setting
}

// watchSettings reloads the settings after a signal or a change of the file, until the context ends.
func (daemon *Daemon) watchSettings(ctx context.Context) error {
	options := &daemon.Reload
	if options.File == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.Stat(options.File)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-options.Signal:
			daemon.reload("signal")
		case <-ticker.C:
			info, err := os.Stat(options.File)
			if err != nil || last != nil && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size() {
				continue
			}
			last = info
			daemon.reload("file")
		}
	}
}

// reload applies the settings that can change at run time: the log level and the memory limit. If the file is invalid, the
// settings in force stay.
func (daemon *Daemon) reload(cause string) {
	loaded, err := settings.Load(daemon.Reload.File, daemon.Reload.Environment)
	if err != nil {
		daemon.Log.Error("settings: reload failed, the settings in force stay", zap.String("cause", cause), zap.Error(err))
		return
	}
	current := daemon.Settings
	if level, err := zapcore.ParseLevel(loaded.LogLevel); err == nil && loaded.LogLevel != current.LogLevel {
		daemon.Reload.Level.SetLevel(level)
	}
	if loaded.GoMemoryLimit != current.GoMemoryLimit && loaded.GoMemoryLimit > 0 {
		debug.SetMemoryLimit(loaded.GoMemoryLimit)
	}
	current.LogLevel, current.GoMemoryLimit = loaded.LogLevel, loaded.GoMemoryLimit
	daemon.Settings.LogLevel, daemon.Settings.GoMemoryLimit = loaded.LogLevel, loaded.GoMemoryLimit
	daemon.Log.Info("settings: reloaded", zap.String("cause", cause), zap.Bool("restart-needed", !reflect.DeepEqual(current, loaded)))
}
