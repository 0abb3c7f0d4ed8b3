// Package scenario runs scripts against real processes: see docs/SCENARIOS.md for their commands.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/command"
)

// A fleet of two builds: every second instance runs the programs of another build.
var (
	otherBuild = flag.String("other-build", "", "folder of another build's programs, run by every second instance")
	otherFirst = flag.Bool("other-first", false, "the other build runs on instances 0, 2, ... and not on 1, 3, ...")
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiaspan":    func() { os.Exit(command.Daemon()) },
		"sequoiaspanctl": func() { os.Exit(command.Control()) },
	})
}

func TestScenarios(t *testing.T) {
	run(t, testscript.Params{Dir: "testdata"})
}

// TestOperatingPage runs the commands of the operators' page in their order.
func TestOperatingPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	must.NoError(t, err)
	block := func(kind string) string {
		_, rest, _ := strings.Cut(string(page), "```"+kind+"\n")
		text, _, _ := strings.Cut(rest, "```")
		must.NotEq(t, "", text)
		return text
	}
	script := "platform\nbackends balances 2\nbackends payouts 2\nentries 2\n"
	script += strings.ReplaceAll(block("console"), "$ ", "exec ")
	file := filepath.Join(t.TempDir(), "operating.txt")
	must.NoError(t, os.WriteFile(file, []byte(script+"-- rules --\n"+block("rules")), 0o600))
	run(t, testscript.Params{Files: []string{file}})
}

func run(t *testing.T, params testscript.Params) {
	params.RequireExplicitExec = true
	params.Cmds = commands()
	params.Setup = func(env *testscript.Env) error {
		env.Values[worldKey{}] = newWorld(env)
		env.Setenv("OTHER_CONTROL", "sequoiaspanctl")
		if *otherBuild != "" {
			env.Setenv("OTHER_CONTROL", filepath.Join(*otherBuild, "sequoiaspanctl"))
		}
		return nil
	}
	testscript.Run(t, params)
}
