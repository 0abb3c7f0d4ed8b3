// Package scenario runs scripts against real processes: see docs/SCENARIOS.md for their commands.
package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiaspan/sequoiaspan/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiaspan":    func() { os.Exit(command.Daemon()) },
		"sequoiaspanctl": func() { os.Exit(command.Control()) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = newWorld(env)
			return nil
		},
		Cmds: commands(),
	})
}
