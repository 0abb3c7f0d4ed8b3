// Package docs runs the examples of the documents.
package docs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/settings"
)

// blocks returns the fenced blocks of a kind in a document.
func blocks(t *testing.T, file, kind string) []string {
	t.Helper()
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	var out []string
	for _, found := range regexp.MustCompile("(?s)```"+kind+"\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
		out = append(out, found[1])
	}
	must.SliceNotEmpty(t, out)
	return out
}

func TestRulesOfTheOperatorsPage(t *testing.T) {
	for _, text := range blocks(t, "OPERATING.md", "rules") {
		_, err := rules.Parse("OPERATING.md", text)
		must.NoError(t, err)
	}
}

func TestSettingsOfTheOperatorsPage(t *testing.T) {
	for _, text := range blocks(t, "OPERATING.md", "toml") {
		file := filepath.Join(t.TempDir(), "settings.toml")
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := settings.Load(file, nil)
		must.NoError(t, err)
	}
}

// TestQuickstart runs the README's first command, for a short time.
func TestQuickstart(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	must.NoError(t, err)
	must.StrContains(t, string(readme), "go run ./examples/quickstart\n")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, "go", "run", "./examples/quickstart", "--seconds", "5")
	command.Dir = ".."
	out, err := command.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	must.StrContains(t, string(out), "whole answers")
	must.False(t, strings.Contains(string(out), "panic"))
}
