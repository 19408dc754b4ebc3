// Package checklist holds the paper checklist: what operators look at by hand,
// and what the system reports for the same thing.
package checklist

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/rollout"
	"crocusseam/pkg/storage"
)

// Item is one line of the checklist.
type Item struct {
	Question string
	// ByHand tells what to look at, Reported where the system says the same.
	ByHand   string
	Reported string
	compare  func(*observedState) (found, reported string)
}

// Line is an item with what was found by hand and what is reported.
type Line struct {
	Item     Item
	Found    string
	Reported string
	Agrees   bool
}

// evidence is what a comparison looks at.
type observedState struct {
	rollout  rollout.State
	rows     []dispatch.InstanceRow
	live     map[string]bool // by the change of their rows
	drains   []string
	statuses []dispatch.Status
}

// Items is the checklist. docs/CHECKLIST.md is generated from it.
func Items() []Item {
	return []Item{
		{
			"Which version of the document is in force?",
			"in the table, row control/rollout, field Active.Version",
			"crocus status, the VERSION of every instance", compareVersions,
		},
		{
			"Which instances are alive?",
			"in the table, rows control/instance/*: those whose Sequence rises within 3 s",
			"crocus status, every instance's list of members that are alive, and itself", compareInstances,
		},
		{
			"Which endpoints do operators drain?",
			"in the table, rows control/drain/*",
			"crocus status, endpoints marked Drained", compareDrains,
		},
		{
			"Does each endpoint have one holder?",
			"in the document, count the endpoints of the domains that have live instances",
			"crocus status, endpoints marked Held, over all instances", compareHolders,
		},
		{
			"Is a version on its way into force?",
			"in the table, row control/rollout, field Staged.Version",
			"crocus status, StagedVersion of every instance", compareStaged,
		},
	}
}

// watchTime is how long rows are watched for a change, as a person would.
const observationTime = 3 * time.Second

// Compare gathers the evidence, asks for the instances' reports after it, and
// compares every line.
func Compare(ctx context.Context, e *rollout.Environment, table storage.Table, reports func() ([]dispatch.Status, error)) ([]Line, error) {
	ev, err := observeState(ctx, e, table)
	if err != nil {
		return nil, err
	}
	ev.statuses, err = reports()
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, item := range Items() {
		found, reported := item.compare(ev)
		lines = append(lines, Line{Item: item, Found: found, Reported: reported, Agrees: found == reported})
	}
	return lines, nil
}

func observeState(ctx context.Context, e *rollout.Environment, table storage.Table) (*observedState, error) {
	ev := &observedState{live: make(map[string]bool)}
	before, err := e.Instances(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(observationTime):
	}
	if ev.rows, err = e.Instances(ctx); err != nil {
		return nil, err
	}
	sequences := make(map[string]uint64)
	for _, r := range before {
		sequences[r.Instance] = r.Sequence
	}
	for _, r := range ev.rows {
		ev.live[r.Instance] = r.Sequence != sequences[r.Instance]
	}
	if ev.rollout, err = e.Load(ctx); err != nil {
		return nil, err
	}
	rows, err := table.Scan(ctx, dispatch.DrainPrefix, dispatch.ScanLimit)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		ev.drains = append(ev.drains, strings.TrimPrefix(r.Key, dispatch.DrainPrefix))
	}
	return ev, nil
}

// each joins one value for every status; equal values stand once.
func joinDistinct(statuses []dispatch.Status, value func(*dispatch.Status) string) string {
	seen := make(map[string]bool)
	var list []string
	for i := range statuses {
		if v := value(&statuses[i]); !seen[v] {
			seen[v] = true
			list = append(list, v)
		}
	}
	sort.Strings(list)
	return strings.Join(list, " and ")
}

func compareVersions(ev *observedState) (found, reported string) {
	found = fmt.Sprint(ev.rollout.Active.Version)
	return found, joinDistinct(ev.statuses, func(s *dispatch.Status) string { return fmt.Sprint(s.ActiveVersion) })
}

func compareStaged(ev *observedState) (found, reported string) {
	found = "0"
	if ev.rollout.Staged != nil {
		found = fmt.Sprint(ev.rollout.Staged.Version)
	}
	return found, joinDistinct(ev.statuses, func(s *dispatch.Status) string { return fmt.Sprint(s.StagedVersion) })
}

func compareInstances(ev *observedState) (found, reported string) {
	var names []string
	for name, live := range ev.live {
		if live {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	found = strings.Join(names, ", ")
	return found, joinDistinct(ev.statuses, func(s *dispatch.Status) string {
		list := []string{s.Instance}
		for _, m := range s.Members {
			if m.Alive {
				list = append(list, m.Instance)
			}
		}
		sort.Strings(list)
		return strings.Join(list, ", ")
	})
}

func compareDrains(ev *observedState) (found, reported string) {
	var endpoints []string
	for _, d := range ev.drains {
		if strings.Contains(d, ":") {
			endpoints = append(endpoints, d)
		}
	}
	sort.Strings(endpoints)
	seen := make(map[string]bool)
	for i := range ev.statuses {
		for _, p := range ev.statuses[i].Endpoints {
			if p.Drained {
				seen[p.Address.String()] = true
			}
		}
	}
	var marked []string
	for a := range seen {
		marked = append(marked, a)
	}
	sort.Strings(marked)
	return strings.Join(endpoints, ", "), strings.Join(marked, ", ")
}

func compareHolders(ev *observedState) (found, reported string) {
	all := make(map[string]bool)
	holders := make(map[string]int)
	for i := range ev.statuses {
		for _, p := range ev.statuses[i].Endpoints {
			all[p.Address.String()] = true
			if p.Held {
				holders[p.Address.String()]++
			}
		}
	}
	doubled := 0
	for _, n := range holders {
		if n > 1 {
			doubled++
		}
	}
	return fmt.Sprintf("%d held, 0 doubly", len(all)), fmt.Sprintf("%d held, %d doubly", len(holders), doubled)
}

// Page returns docs/CHECKLIST.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Checklist\n\nGenerated from the table that `crocus checklist` uses. Look at each line by hand\nwhen the automation is in doubt; the reported state must be the same.\n")
	for i, item := range Items() {
		fmt.Fprintf(&b, "\n%d. **%s**\n   By hand: %s.\n   Reported: %s.\n", i+1, item.Question, item.ByHand, item.Reported)
	}
	return b.String()
}

// MarshalJSON leaves the comparison out.
func (i Item) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct{ Question, ByHand, Reported string }{i.Question, i.ByHand, i.Reported})
}
