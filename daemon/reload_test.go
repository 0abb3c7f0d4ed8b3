package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sequoiaspan/sequoiaspan/settings"
)

const reloadText = `name = "entry-1"
failure-domain = "domain-a"
caller-address = "10.0.0.7:8080"
peer-address = "10.0.0.7:8081"
operator-address = "10.0.0.7:8082"
store-address = "10.0.0.5:7000"
instance-list-address = "10.0.0.5:7001"
`

// TestReload checks that a reload applies the log level, reports when a restart is needed, and keeps the settings in force
// when the file is invalid.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	write := func(more string) { must.NoError(t, os.WriteFile(file, []byte(reloadText+more), 0o600)) }
	write("")
	loaded, err := settings.Load(file, nil)
	must.NoError(t, err)
	core, logs := observer.New(zapcore.InfoLevel)
	level := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	daemon := &Daemon{Settings: loaded, Log: zap.New(core), Reload: ReloadOptions{File: file, Level: level}}

	write("log-level = \"debug\"\n")
	daemon.reload("file")
	must.Eq(t, zapcore.DebugLevel, level.Level())
	must.Eq(t, false, logs.TakeAll()[0].ContextMap()["restart-needed"].(bool))

	write("log-level = \"debug\"\ngrace = \"5s\"\n")
	daemon.reload("signal")
	must.Eq(t, true, logs.TakeAll()[0].ContextMap()["restart-needed"].(bool))

	write("log-level = \"loud\"\n")
	daemon.reload("signal")
	must.Eq(t, zapcore.DebugLevel, level.Level())
	must.Eq(t, zapcore.ErrorLevel, logs.TakeAll()[0].Level)
}
