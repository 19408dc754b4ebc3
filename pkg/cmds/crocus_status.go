package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"crocusseam/pkg/checklist"
	"crocusseam/pkg/client"
	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/rollout"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

// environmentStatus is what crocus status prints.
type environmentStatus struct {
	Environment string
	Version     uint64
	Digest      string
	By          string
	Staged      *dispatch.Revision  `json:",omitempty"`
	Rejected    *dispatch.Rejection `json:",omitempty"`
	Instances   []instanceStatus
}

// instanceStatus holds an instance's row in the table and the status that the
// instance itself reports, or the reason why it couldn't be asked.
type instanceStatus struct {
	Row     dispatch.InstanceRow
	Reached bool
	Fault   string           `json:",omitempty"`
	Status  *dispatch.Status `json:",omitempty"`
}

// loadStatus reads the rollout and the instances' rows from the table, and asks
// each instance for its status.
func (s *session) loadStatus() (*environmentStatus, *rollout.Environment, error) {
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return nil, nil, err
	}
	state, err := e.Load(s.ctx)
	if err != nil {
		return nil, nil, err
	}
	rows, err := e.Instances(s.ctx)
	if err != nil {
		return nil, nil, err
	}
	out := &environmentStatus{
		Environment: e.Name, Version: state.Active.Version, Digest: state.Active.Digest, By: state.Active.By,
		Staged: state.Staged, Rejected: state.Rejected,
	}
	for _, row := range rows {
		i := instanceStatus{Row: row}
		if i.Status, err = s.instanceStatus(row.Callers); err != nil {
			i.Fault = err.Error()
		} else {
			i.Reached = true
		}
		out.Instances = append(out.Instances, i)
	}
	return out, e, nil
}

const (
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 16 << 20
)

func (s *session) instanceStatus(address netip.AddrPort) (*dispatch.Status, error) {
	transport, scheme, err := s.transport()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, scheme+address.String()+api.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+s.options.Token)
	response, err := (&http.Client{Timeout: statusTimeout, Transport: transport}).Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %.200s", response.Status, text)
	}
	var status dispatch.Status
	return &status, json.Unmarshal(text, &status)
}

func (s *session) status(_ []string) error {
	out, _, err := s.loadStatus()
	if err != nil {
		return err
	}
	return s.print(out, func() { s.printStatus(out) })
}

func (s *session) printStatus(out *environmentStatus) {
	s.printf("%s: version %d in force, document %.12s, applied by %s\n", out.Environment, out.Version, out.Digest, out.By)
	if out.Staged != nil {
		s.printf("staged: version %d by %s\n", out.Staged.Version, out.Staged.By)
	}
	if out.Rejected != nil {
		s.printf("rejected: version %d by %s: %s\n", out.Rejected.Revision.Version, out.Rejected.Instance, out.Rejected.Reason)
	}
	s.printf("%-12s %-10s %-8s %7s %6s %5s %7s %8s  %s\n", "INSTANCE", "DOMAIN", "STATE", "VERSION", "LEAD", "JOBS", "WAITING", "SLOTS", "NOTES")
	for _, i := range out.Instances {
		if !i.Reached {
			s.printf("%-12s %-10s %-8s %7d %s\n", i.Row.Instance, i.Row.Domain, "no reply", i.Row.ActiveVersion, i.Fault)
			continue
		}
		st := i.Status
		total := 0
		notes := ""
		for _, p := range st.Endpoints {
			if p.Held {
				total += p.Slots
			}
			if p.Held && (p.Ejected || p.Leaving || p.Drained) {
				notes += fmt.Sprintf("%s out of use; ", p.Address)
			}
		}
		if st.Stale {
			notes += "stale; "
		}
		if st.PlatformAway {
			notes += "platform away; "
		}
		s.printf("%-12s %-10s %-8s %7d %6s %5d %7d %8s  %s\n", st.Instance, st.Domain, st.State, st.ActiveVersion, st.Lead,
			st.OpenJobs, st.WaitingTasks, fmt.Sprintf("%d/%d", st.OccupiedSlots, total), notes)
	}
}

// instances returns the callers' addresses of the live instances.
func (s *session) instances() ([]netip.AddrPort, error) {
	e, _, err := s.environment(s.options.Environment)
	if err != nil {
		return nil, err
	}
	rows, err := e.Instances(s.ctx)
	if err != nil {
		return nil, err
	}
	var list []netip.AddrPort
	for _, r := range rows {
		if r.State == dispatch.Live {
			list = append(list, r.Callers)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("no live instance is known")
	}
	return list, nil
}

func (s *session) client() (*client.Client, []netip.AddrPort, error) {
	list, err := s.instances()
	if err != nil {
		return nil, nil, err
	}
	transport, _, err := s.transport()
	if err != nil {
		return nil, nil, err
	}
	return client.New(client.Config{
		Instances: list, Token: s.options.Token, Secure: transport != nil, Transport: transport,
	}), list, nil
}

func (s *session) submit(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	limits := submission.DefaultLimits()
	limits.MaxTasks = math.MaxInt // the instance that gets the submission applies its own limit
	sub, err := api.DecodeSubmission(text, limits)
	if err != nil {
		return err
	}
	c, _, err := s.client()
	if err != nil {
		return err
	}
	answer, err := c.Submit(s.ctx, sub, 0)
	return s.printAnswer(sub.Key, answer, err)
}

func (s *session) answer(args []string) error {
	return s.askInstances(args, (*client.Client).Answer)
}

func (s *session) cancel(args []string) error {
	return s.askInstances(args, (*client.Client).Cancel)
}

func (s *session) printAnswer(key submission.Key, a *submission.Answer, err error) error {
	if err != nil {
		return err
	}
	return s.print(api.EncodeAnswer(key, a), func() {
		s.printf("%s: %s %s %s\n", key, a.Status, a.Reason, a.Detail)
		for _, r := range a.Results {
			s.printf("  %s: %s\n", r.Name, r.Output)
		}
	})
}

func (s *session) checklist(_ []string) error {
	e, table, err := s.environment(s.options.Environment)
	if err != nil {
		return err
	}
	lines, err := checklist.Compare(s.ctx, e, table, s.reports)
	if err != nil {
		return err
	}
	return s.print(lines, func() {
		for _, l := range lines {
			mark := "agrees"
			if !l.Agrees {
				mark = "DIFFERS"
			}
			s.printf("%-8s %s\n         by hand:  %s\n         found:    %s\n         reported: %s\n", mark, l.Item.Question, l.Item.ByHand, l.Found, l.Reported)
		}
	})
}

// reports returns the status of every instance that answers.
func (s *session) reports() ([]dispatch.Status, error) {
	out, _, err := s.loadStatus()
	if err != nil {
		return nil, err
	}
	var statuses []dispatch.Status
	for _, i := range out.Instances {
		if i.Reached {
			statuses = append(statuses, *i.Status)
		}
	}
	return statuses, nil
}

// keys writes the key files of a trial to a directory.
func (s *session) keys(args []string) error {
	made, err := settings.MakeKeys(args[0])
	if err != nil {
		return err
	}
	return s.print(made, func() {
		s.printf("%s holds the authority, the instances' key pair and tokens.\n", filepath.Clean(args[0]))
		s.printf("Team token hash:     %s\nOperator token hash: %s\n", document.TokenHash(made.TeamToken), document.TokenHash(made.OperatorToken))
	})
}

// askInstances calls the live instances in turn about one submission, until one
// answers or refuses.
func (s *session) askInstances(args []string, call func(*client.Client, context.Context, netip.AddrPort, submission.Key) (*submission.Answer, error)) error {
	c, list, err := s.client()
	if err != nil {
		return err
	}
	key := submission.Key{Team: args[0], ID: args[1]}
	for _, instance := range list {
		a, askErr := call(c, s.ctx, instance, key)
		var refusal *submission.Refusal
		if askErr == nil || errors.As(askErr, &refusal) {
			return s.printAnswer(key, a, askErr)
		}
		err = askErr
	}
	return err
}
