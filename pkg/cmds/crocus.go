package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"crocusseam/pkg/document"
	"crocusseam/pkg/rollout"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/submission"
	"crocusseam/platform"
)

// command is one command of crocus. The table of commands is the one source of
// the help, of the completion and of docs/CLI.md.
type command struct {
	name    string
	args    string
	short   string
	long    string
	minArgs int // arguments
	maxArgs int
	run     func(s *session, args []string) error
}

// commands is the table of the commands of crocus.
func commands() []command {
	return []command{
		{"plan", "FILE", "Validate a document and show what it would change.", "Nothing is written. Every fault of the document is listed at once.", 1, 1, (*session).plan},
		{"apply", "FILE", "Bring a document into force.", "The document is staged, checked by every live instance, and then active everywhere. With --expect the version must still be the one named; of two operators at once one wins and the other is told who and what.", 1, 1, (*session).apply},
		{"promote", "FROM TO", "Bring the very bytes that FROM runs into force in TO.", "Refused if FROM never ran them. --digest chooses an earlier document of FROM's history.", 2, 2, (*session).promote},
		{"history", "", "List the versions that were in force.", "", 0, 0, (*session).history},
		{"rollback", "VERSION", "Bring an earlier version's document into force as a new, higher version.", "", 1, 1, (*session).rollback},
		{"status", "", "Show instances, versions, slots, queues and endpoints that are out of use.", "Reads the table and asks every instance that it names.", 0, 0, (*session).status},
		{"drain", "NAME", "Let an endpoint (by address) or an instance (by name) take no new work.", "", 1, 1, (*session).drain},
		{"undrain", "NAME", "Take a drain back.", "", 1, 1, (*session).undrain},
		{"submit", "FILE", "Submit the job in a file and print its answer.", "The file holds the JSON body of a submission.", 1, 1, (*session).submit},
		{"answer", "TEAM ID", "Wait for the answer to a submission and print it.", "", 2, 2, (*session).answer},
		{"cancel", "TEAM ID", "Cancel a submission.", "", 2, 2, (*session).cancel},
		{"checklist", "", "Print the paper checklist with what the system reports for each line.", "", 0, 0, (*session).checklist},
		{"keys", "DIRECTORY", "Make an authority, an instance key pair and tokens for a trial.", "", 1, 1, (*session).keys},
		{"completion", "", "Print a completion script for bash.", "", 0, 0, (*session).completion},
	}
}

// globalOptions are the options of every command.
type globalOptions struct {
	Environment  string           `long:"environment" short:"e" default:"trial" description:"name of the environment in the environments file"`
	Environments string           `long:"environments" default:"crocus.json" description:"environments file"`
	Platform     settings.Address `long:"platform" description:"address of the platform's services, instead of the environments file"`
	Token        string           `long:"token" env:"CROCUS_TOKEN" description:"operator's token, or the team's for submit, answer and cancel"`
	Authority    string           `long:"authority" description:"certificate file of the authority that signs the instances; makes crocus speak TLS to them"`
	By           string           `long:"by" description:"name to sign changes with; by default the user's"`
	Expect       int64            `long:"expect" default:"-1" description:"version that must be in force now; -1 means whichever is"`
	Digest       string           `long:"digest" description:"with promote: digest of the document"`
	NoWait       bool             `long:"no-wait" description:"do not wait until the version is in force"`
	Timeout      time.Duration    `long:"timeout" default:"30s" description:"longest wait"`
	Output       string           `long:"output" default:"text" choice:"text" choice:"json" description:"form of what is printed"`
}

// environmentsFile names the environments that an operator works with.
type environmentsFile struct {
	Environments map[string]struct {
		Platform netip.AddrPort
	}
}

// session is one run of crocus.
type session struct {
	options globalOptions
	ctx     context.Context
	out     io.Writer
}

// Crocus runs the operator's command.
func Crocus(args []string) int {
	s := &session{out: os.Stdout}
	parser := flags.NewNamedParser("crocus", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[OPTIONS] COMMAND [ARGUMENTS]\n\n" + commandList()
	if _, err := parser.AddGroup("Options", "", &s.options); err != nil {
		return fail(ExitUsage, err)
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return ExitOK
	case err != nil:
		return fail(ExitUsage, err)
	case len(rest) == 0:
		return fail(ExitUsage, errors.New("no command is given; see crocus --help"))
	}
	for _, c := range commands() {
		if c.name == rest[0] {
			return s.run(c, rest[1:])
		}
	}
	return fail(ExitUsage, fmt.Errorf("%q is no command; see crocus --help", rest[0]))
}

func commandList() string {
	var b strings.Builder
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-22s %s\n", c.name+" "+c.args, c.short)
	}
	return b.String()
}

func (s *session) run(c command, args []string) int {
	if len(args) < c.minArgs || len(args) > c.maxArgs {
		return fail(ExitUsage, fmt.Errorf("usage: crocus %s %s", c.name, c.args))
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
	defer cancel()
	s.ctx = ctx
	err := c.run(s, args)
	if err == nil {
		return ExitOK
	}
	s.printError(err)
	return exitStatus(err)
}

func exitStatus(err error) int {
	var version *rollout.ErrVersion
	var busy *rollout.ErrBusy
	var rejected *rollout.ErrRejected
	var neverRan *rollout.ErrNeverRan
	var refusal *submission.Refusal
	var faults *document.ErrDocument
	switch {
	case errors.As(err, &faults):
		return ExitUsage
	case errors.As(err, &version), errors.As(err, &busy), errors.As(err, &rejected), errors.As(err, &neverRan), errors.As(err, &refusal):
		return ExitRefused
	}
	return ExitFailed
}

// advice tells what to do about an error, if there is something to do.
func advice(err error) string {
	var version *rollout.ErrVersion
	var faults *document.ErrDocument
	switch {
	case errors.As(err, &version):
		return "Look at the changes, merge them into your document, and apply it with --expect " + fmt.Sprint(version.Actual.Version) + "."
	case errors.As(err, &faults):
		return "Mend the document; nothing was changed."
	case errors.Is(err, os.ErrNotExist):
		return "Name the platform with --platform, or write an environments file (see docs/OPERATORS.md)."
	}
	return ""
}

func (s *session) printError(err error) {
	if s.options.Output == "json" {
		_ = json.NewEncoder(os.Stderr).Encode(struct{ Error, Advice string }{err.Error(), advice(err)})
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, err)
	if a := advice(err); a != "" {
		_, _ = fmt.Fprintln(os.Stderr, a)
	}
}

// print writes a value as JSON, or through text.
func (s *session) print(value any, text func()) error {
	if s.options.Output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text()
	return nil
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

func (s *session) by() string {
	if s.options.By != "" {
		return s.options.By
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// environment returns the environment of that name. With --platform it is the
// one at that address.
func (s *session) environment(name string) (*rollout.Environment, *platform.Store, error) {
	address := s.options.Platform.AddrPort
	if !address.IsValid() {
		text, err := os.ReadFile(s.options.Environments)
		if err != nil {
			return nil, nil, err
		}
		var file environmentsFile
		if err := json.Unmarshal(text, &file); err != nil {
			return nil, nil, fmt.Errorf("read %s: %w", s.options.Environments, err)
		}
		e, ok := file.Environments[name]
		if !ok {
			return nil, nil, fmt.Errorf("%s has no environment %q", s.options.Environments, name)
		}
		address = e.Platform
	}
	client := platform.NewStore(platform.StoreConfig{Address: address, ReadTimeout: platformReadTimeout, WriteTimeout: platformWriteTimeout, Connections: platformConnections})
	return &rollout.Environment{Name: name, Table: client}, client, nil
}

// transport returns the settings for reaching instances and the scheme to use:
// TLS where an authority is named.
func (s *session) transport() (http.RoundTripper, string, error) {
	if s.options.Authority == "" {
		return nil, "http://", nil
	}
	text, err := os.ReadFile(s.options.Authority)
	if err != nil {
		return nil, "", err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, "", fmt.Errorf("%s holds no certificate", s.options.Authority)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: settings.PeerServerName}
	return &http.Transport{TLSClientConfig: config}, "https://", nil
}

func (s *session) plan(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	state, changes, err := e.Plan(s.ctx, text)
	if err != nil {
		return err
	}
	return s.print(struct {
		Version uint64
		Digest  string
		Changes []document.Change
	}{state.Active.Version, document.Digest(text), changes}, func() {
		s.printf("%s has version %d in force; document %.12s would change %d values:\n", e.Name, state.Active.Version, document.Digest(text), len(changes))
		for _, c := range changes {
			s.printf("  %s\n", c)
		}
	})
}

func (s *session) apply(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	if _, err := document.Parse(text); err != nil {
		return err
	}
	expected, err := s.expected(e)
	if err != nil {
		return err
	}
	revision, err := e.Apply(s.ctx, text, expected, s.by())
	if err != nil {
		return err
	}
	return s.await(e, revision.Version, revision.Digest)
}

func (s *session) expected(e *rollout.Environment) (uint64, error) {
	if s.options.Expect >= 0 {
		return uint64(s.options.Expect), nil
	}
	state, err := e.Load(s.ctx)
	return state.Active.Version, err
}

const awaitPoll = 200 * time.Millisecond

func (s *session) await(e *rollout.Environment, version uint64, digest string) error {
	result := struct {
		Environment string
		Version     uint64
		Digest      string
		InForce     bool
	}{e.Name, version, digest, false}
	if !s.options.NoWait {
		if err := e.Await(s.ctx, version, awaitPoll); err != nil {
			return err
		}
		result.InForce = true
	}
	return s.print(result, func() {
		if result.InForce {
			s.printf("%s: version %d, document %.12s, is in force on every live instance\n", e.Name, version, digest)
			return
		}
		s.printf("%s: version %d, document %.12s, is staged\n", e.Name, version, digest)
	})
}

func (s *session) promote(args []string) error {
	from, _, err := s.environment(args[0])
	if err != nil {
		return err
	}
	to, _, err := s.environment(args[1])
	if err != nil {
		return err
	}
	expected, err := s.expected(to)
	if err != nil {
		return err
	}
	revision, err := to.Promote(s.ctx, from, s.options.Digest, expected, s.by())
	if err != nil {
		return err
	}
	return s.await(to, revision.Version, revision.Digest)
}

func (s *session) history(_ []string) error {
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	state, err := e.Load(s.ctx)
	if err != nil {
		return err
	}
	return s.print(state.History, func() {
		for _, r := range state.History {
			s.printf("%4d  %.12s  %s  %s\n", r.Version, r.Digest, r.At.Format(time.RFC3339), r.By)
		}
	})
}

func (s *session) rollback(args []string) error {
	var version uint64
	if _, err := fmt.Sscan(args[0], &version); err != nil {
		return fmt.Errorf("VERSION is %q; allowed: a number of crocus history", args[0])
	}
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	revision, err := e.Rollback(s.ctx, version, s.by())
	if err != nil {
		return err
	}
	return s.await(e, revision.Version, revision.Digest)
}

func (s *session) drain(args []string) error { return s.mark(args[0], true) }

func (s *session) undrain(args []string) error { return s.mark(args[0], false) }

func (s *session) mark(name string, drained bool) error {
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	if err := e.Drain(s.ctx, name, s.by(), drained); err != nil {
		return err
	}
	return s.print(struct {
		Name    string
		Drained bool
	}{name, drained}, func() {
		if drained {
			s.printf("%s takes no new work within seconds\n", name)
			return
		}
		s.printf("%s takes work again within seconds\n", name)
	})
}

func (s *session) completion(_ []string) error {
	names := make([]string, 0, len(commands()))
	for _, c := range commands() {
		names = append(names, c.name)
	}
	s.printf("complete -W %q crocus\n", strings.Join(names, " "))
	return nil
}
