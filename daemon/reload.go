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

// lookEvery is between looks at the settings file, which may change without a signal.
const lookEvery = time.Second

// Reloading tells how settings are read anew; the zero value never reads them.
type Reloading struct {
	File        string
	Environment []string
	Signal      <-chan os.Signal // asks for a reading, nil for none
	Level       zap.AtomicLevel  // follows the setting
}

// followSettings reads the settings anew after a signal or a change of the file, until the context ends.
func (daemon *Daemon) followSettings(ctx context.Context) error {
	reloading := &daemon.Reloading
	if reloading.File == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	known, _ := os.Stat(reloading.File)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reloading.Signal:
			daemon.reload("signal")
		case <-ticker.C:
			info, err := os.Stat(reloading.File)
			if err != nil || known != nil && info.ModTime().Equal(known.ModTime()) && info.Size() == known.Size() {
				continue
			}
			known = info
			daemon.reload("file")
		}
	}
}

// reload takes in what can change while the instance runs: the log level and the memory limit.
func (daemon *Daemon) reload(cause string) {
	loaded, err := settings.Load(daemon.Reloading.File, daemon.Reloading.Environment)
	if err != nil {
		daemon.Log.Error("settings: they have faults, the present ones stay", zap.String("cause", cause), zap.Error(err))
		return
	}
	present := daemon.Settings
	if level, err := zapcore.ParseLevel(loaded.LogLevel); err == nil && loaded.LogLevel != present.LogLevel {
		daemon.Reloading.Level.SetLevel(level)
	}
	if loaded.GoMemoryLimit != present.GoMemoryLimit && loaded.GoMemoryLimit > 0 {
		debug.SetMemoryLimit(loaded.GoMemoryLimit)
	}
	present.LogLevel, present.GoMemoryLimit = loaded.LogLevel, loaded.GoMemoryLimit
	daemon.Settings.LogLevel, daemon.Settings.GoMemoryLimit = loaded.LogLevel, loaded.GoMemoryLimit
	daemon.Log.Info("settings: read anew", zap.String("cause", cause), zap.Bool("restart-needed", !reflect.DeepEqual(present, loaded)))
}
