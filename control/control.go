// Package control implements the operators' commands: validating, comparing and publishing rules, and showing the status
// of the fleet.
package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	answers "github.com/sequoiaspan/sequoiaspan/adapters/answer/http"
	"github.com/sequoiaspan/sequoiaspan/configuration"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/core/rules"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// Timeouts and limits of the commands.
const (
	statusTimeout       = 2 * time.Second
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 100 * time.Millisecond
	maxStatusRequests   = 64
)

// versionPrefix is the prefix of a rules file's first line, which gives the version that the file is based on.
const versionPrefix = "# sequoiaspan version "

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindFile        Kind = "file"    // the rules file cannot be read or written
	KindPartial     Kind = "partial" // some instances do not have the published version in force
	KindUnavailable Kind = "away"    // no instance replied
	KindWarnings    Kind = "warnings"
	KindDifferent   Kind = "different" // a file differs from the rules in force
)

// Error is a failure of a command.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Control runs the operators' commands. Check and Explain need neither Store nor Instances, unless options of Check say so.
type Control struct {
	Store     configuration.Store
	Instances entry.Instances
	Client    http.Client
	Out       io.Writer
}

// CheckOptions extend a check.
type CheckOptions struct {
	Strict  bool // warnings are an error of KindWarnings
	InForce bool // also print the rules that differ from those in force; needs the Store
}

// Check validates a rules file and prints the number of rules, or returns all errors of the file. It also prints a warning for each rule that
// can never match and each limit that contradicts another.
func (control *Control) Check(ctx context.Context, file string, options CheckOptions) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	set, err := rules.Parse(file, text)
	if err != nil {
		return err
	}
	warnings := set.Warnings(file)
	for _, warning := range warnings {
		fmt.Fprintf(control.Out, "%v (%s)\n", warning, warning.Kind)
	}
	if options.InForce {
		if err := control.printChanges(ctx, text); err != nil {
			return err
		}
	}
	fmt.Fprintf(control.Out, "%s: %d rules, no faults, %d warnings\n", file, set.Len(), len(warnings))
	if options.Strict && len(warnings) > 0 {
		return &Error{Op: "check", Kind: KindWarnings, Err: fmt.Errorf("%s has %d", file, len(warnings))}
	}
	return nil
}

// printChanges prints the rules of a file that differ from those in force.
func (control *Control) printChanges(ctx context.Context, text string) error {
	current, err := configuration.Load(ctx, control.Store)
	if err != nil {
		return err
	}
	_, body := cutVersion(text)
	changes := rules.Compare(current.Text, body)
	for _, change := range changes {
		fmt.Fprintln(control.Out, change)
	}
	fmt.Fprintf(control.Out, "%d rules differ from version %d\n", len(changes), current.Number)
	return nil
}

// Fetch writes the rules in force and their version to a file.
func (control *Control) Fetch(ctx context.Context, file string) error {
	current, err := configuration.Load(ctx, control.Store)
	if err != nil {
		return err
	}
	if err := writeFile(file, current); err != nil {
		return err
	}
	fmt.Fprintf(control.Out, "%s: version %d\n", file, current.Number)
	return nil
}

// Diff prints the differences between the rules in force and a file. If fail is set, a difference is an error of KindDifferent.
func (control *Control) Diff(ctx context.Context, file string, fail bool) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	current, err := configuration.Load(ctx, control.Store)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("version %d", current.Number)
	_, body := cutVersion(text)
	difference := diff.Diff(name, []byte(current.Text), file, []byte(body))
	if _, err := control.Out.Write(difference); err != nil {
		return err
	}
	if fail && len(difference) > 0 {
		return &Error{Op: "diff", Kind: KindDifferent, Err: fmt.Errorf("%s and version %d", file, current.Number)}
	}
	return nil
}

// Publish puts a file's rules into force if the version in force is still the base of the file.
//
// A base of 0 means the version in the file's first line. Publish then waits until all listed instances have the new version
// in force, or prints those that do not within inForceTimeout.
func (control *Control) Publish(ctx context.Context, file, operator string, base uint64) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	fromFile, body := cutVersion(text)
	if base == 0 {
		base = fromFile
	}
	published, err := configuration.Publish(ctx, control.Store, file, body, operator, base, time.Now())
	if err != nil {
		return control.printConflict(err, body)
	}
	fmt.Fprintf(control.Out, "version %d is accepted\n", published.Number)
	if err := writeFile(file, published); err != nil {
		return err
	}
	return control.awaitInForce(ctx, published.Number)
}

// printConflict prints who changed the rules in force and how they differ from the file, if the error is a conflict.
func (control *Control) printConflict(err error, body string) error {
	var failed *configuration.Error
	if !errors.As(err, &failed) || failed.Kind != configuration.KindConflict {
		return err
	}
	fmt.Fprintf(control.Out, "the rules in force (version %d, changed by %s) against this file:\n", failed.Current.Number, failed.Current.ChangedBy)
	_, _ = control.Out.Write(diff.Diff("in force", []byte(failed.Current.Text), "this file", []byte(body)))
	fmt.Fprintln(control.Out, "fetch the rules in force, make the change again and publish")
	return err
}

// awaitInForce waits until all listed instances have the version in force, for at most inForceTimeout.
func (control *Control) awaitInForce(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	started := time.Now()
	for {
		rows, err := control.fetchRows(ctx)
		if err != nil {
			return err
		}
		missing := outdatedRows(rows, version)
		if len(missing) == 0 {
			fmt.Fprintf(control.Out, "version %d is in force on %d of %d instances after %s\n", version, len(rows), len(rows), time.Since(started).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			for _, row := range missing {
				fmt.Fprintf(control.Out, "not in force on %s: %s\n", row.name, row.summary())
			}
			return &Error{Op: "publish", Kind: KindPartial, Err: fmt.Errorf("version %d is accepted but not seen in force on %d of %d instances", version, len(missing), len(rows))}
		case <-time.After(inForcePollInterval):
		}
	}
}

// row is the result of one instance's status request.
type row struct {
	name   string
	status entry.Status
	err    error
}

func (row *row) summary() string {
	if row.err != nil {
		return "no answer: " + row.err.Error()
	}
	return fmt.Sprintf("version %d", row.status.RulesVersion)
}

func outdatedRows(rows []row, version uint64) []row {
	return slices.DeleteFunc(slices.Clone(rows), func(r row) bool {
		return r.err == nil && r.status.RulesVersion >= version
	})
}

// Status prints the status of all listed instances and, with details, the backend servers of their slices.
func (control *Control) Status(ctx context.Context, details bool) error {
	rows, err := control.fetchRows(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(control.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDOMAIN\tSTATE\tRULES\tGRANTS\tKEYS\tRESTRICTIONS")
	unanswered := 0
	for _, r := range rows {
		if r.err != nil {
			unanswered++
			fmt.Fprintf(table, "%s\t\tno answer\t\t\t\t%v\n", r.name, r.err)
			continue
		}
		s := r.status
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.name, s.Domain, stateOf(s), s.RulesVersion, s.GrantsHeld, s.Keys.Keys, strings.Join(s.Restrictions, "; "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if details {
		control.printSlices(rows)
	}
	if unanswered == len(rows) {
		return &Error{Op: "status", Kind: KindUnavailable, Err: errors.New("no instance answers")}
	}
	return nil
}

func stateOf(status entry.Status) string {
	if status.Leaving {
		return "leaving"
	}
	return "live"
}

func (control *Control) printSlices(rows []row) {
	table := tabwriter.NewWriter(control.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nHOME\tSLICE\tBACKEND SERVER\tSTATE\tIN FLIGHT\tLIMIT\tEVIDENCE")
	for _, r := range rows {
		for _, slice := range r.status.Slices {
			for _, s := range slice.Servers {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f\n", r.name, slice.Slice, s.Server, s.State, s.InFlight, s.Limit, s.Evidence)
			}
		}
	}
	_ = table.Flush()
}

// fetchRows requests the status of all listed instances, with at most maxStatusRequests in parallel.
func (control *Control) fetchRows(ctx context.Context) ([]row, error) {
	list, err := control.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]row, len(list.Entries))
	slots := make(chan struct{}, maxStatusRequests)
	var group sync.WaitGroup
	for i, listed := range list.Entries {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			rows[i] = control.fetchRow(ctx, listed)
		})
	}
	group.Wait()
	return rows, nil
}

func (control *Control) fetchRow(ctx context.Context, listed instance.Entry) row {
	r := row{name: listed.Name}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.status, r.err = control.fetchStatus(ctx, listed.Operator)
	return r
}

func (control *Control) fetchStatus(ctx context.Context, address netip.AddrPort) (entry.Status, error) {
	status := entry.Status{}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := answers.Do(&control.Client, request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, answers.DecodeJSON(response.Body, &status)
}

// Explain prints the rules that apply to a request and who requested them.
func (control *Control) Explain(file, method, path string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	set, err := rules.Parse(file, text)
	if err != nil {
		return err
	}
	slash := max(0, strings.IndexByte(path, '/'))
	route := set.Route(method, path[:slash], path[slash:])
	if route == nil {
		fmt.Fprintf(control.Out, "%s %s: no route, callers get 404\n", method, path)
		return nil
	}
	fmt.Fprintf(control.Out, "%s %s\n", method, path)
	if route.Closed {
		fmt.Fprintf(control.Out, "  route %s%s/ (line %d): closed, callers get 503  # %s\n", route.Host, route.Prefix, route.Line, route.RequestedBy)
		return nil
	}
	switch {
	case route.Public:
		fmt.Fprintln(control.Out, "  public: passes without a key")
	case set.KeysRequired():
		fmt.Fprintln(control.Out, "  needs the key of a team, else callers get 401")
	}
	fmt.Fprintf(control.Out, "  route %s%s/ (line %d): service %s, deadline %s  # %s\n",
		route.Host, route.Prefix, route.Line, strings.Join(route.Services(), " or "), route.Timeout, route.RequestedBy)
	for _, name := range route.Services() {
		service := set.Service(name)
		fmt.Fprintf(control.Out, "  service %s (line %d): floor %.0f%%, slots %d, attempts %d, ejection %s, wait %s  # %s\n",
			service.Name, service.Line, 100*service.Floor, service.Slots, service.MaxAttempts, service.Ejection, service.MaxWait, service.RequestedBy)
	}
	if route.Idempotent(method) {
		fmt.Fprintln(control.Out, "  idempotent: may be retried and hedged")
	} else {
		fmt.Fprintln(control.Out, "  not idempotent: sent to one backend server, at most once")
	}
	return nil
}

func readFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{Op: "read", Kind: KindFile, Err: err}
	}
	return string(text), nil
}

// writeFile writes a version's number and text to a rules file.
func writeFile(file string, version *configuration.Version) error {
	text := versionPrefix + strconv.FormatUint(version.Number, 10) + "\n" + version.Text
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return &Error{Op: "write", Kind: KindFile, Err: err}
	}
	return nil
}

// cutVersion splits a file into the version it is based on, 0 if it gives none, and its rules.
func cutVersion(text string) (uint64, string) {
	first, rest, _ := strings.Cut(text, "\n")
	digits, found := strings.CutPrefix(strings.TrimSuffix(first, "\r"), versionPrefix)
	if !found {
		return 0, text
	}
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, text
	}
	return version, rest
}
