// Package checklist holds the operators' checklist. Each item compares the state
// that is found in the platform's table with the state that instances report.
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
	// ByHand says where an operator finds the answer by hand.
	ByHand string
	// Reported says where the system reports the answer.
	Reported string
	compare  func(*observedState) (found, reported string)
}

// Line is an item with the answer found in the table and the reported answer.
type Line struct {
	Item     Item
	Found    string
	Reported string
	Agrees   bool
}

// observedState is the input of the comparisons: what was read from the table, and
// the statuses that instances reported afterwards.
type observedState struct {
	rollout  rollout.State
	rows     []dispatch.InstanceRow
	live     map[string]bool // by instance: whether its row changed while observed
	drains   []string
	statuses []dispatch.Status
}

// Items returns the checklist. docs/CHECKLIST.md is generated from it.
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

// observationTime is how long the instance rows are given to change. The text of
// the item on live instances names the same time.
const observationTime = 3 * time.Second

// Compare reads the state from the table, then calls reports for the statuses of
// the instances, and compares both for each item.
func Compare(ctx context.Context, e *rollout.Environment, table storage.Table, reports func() ([]dispatch.Status, error)) ([]Line, error) {
	state, err := observeState(ctx, e, table)
	if err != nil {
		return nil, err
	}
	state.statuses, err = reports()
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, item := range Items() {
		found, reported := item.compare(state)
		lines = append(lines, Line{Item: item, Found: found, Reported: reported, Agrees: found == reported})
	}
	return lines, nil
}

// observeState reads the table, except for the statuses. It reads the instance rows
// twice, to see which instances are alive.
func observeState(ctx context.Context, e *rollout.Environment, table storage.Table) (*observedState, error) {
	state := &observedState{live: make(map[string]bool)}
	before, err := e.Instances(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(observationTime):
	}
	if state.rows, err = e.Instances(ctx); err != nil {
		return nil, err
	}
	sequences := make(map[string]uint64)
	for _, r := range before {
		sequences[r.Instance] = r.Sequence
	}
	for _, r := range state.rows {
		state.live[r.Instance] = r.Sequence != sequences[r.Instance]
	}
	if state.rollout, err = e.Load(ctx); err != nil {
		return nil, err
	}
	rows, err := table.Scan(ctx, dispatch.DrainPrefix, dispatch.ScanLimit)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		state.drains = append(state.drains, strings.TrimPrefix(r.Key, dispatch.DrainPrefix))
	}
	return state, nil
}

// joinDistinct joins the distinct values of the statuses, sorted.
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

func compareVersions(state *observedState) (found, reported string) {
	found = fmt.Sprint(state.rollout.Active.Version)
	return found, joinDistinct(state.statuses, func(s *dispatch.Status) string { return fmt.Sprint(s.ActiveVersion) })
}

func compareStaged(state *observedState) (found, reported string) {
	found = "0"
	if state.rollout.Staged != nil {
		found = fmt.Sprint(state.rollout.Staged.Version)
	}
	return found, joinDistinct(state.statuses, func(s *dispatch.Status) string { return fmt.Sprint(s.StagedVersion) })
}

func compareInstances(state *observedState) (found, reported string) {
	var names []string
	for name, live := range state.live {
		if live {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	found = strings.Join(names, ", ")
	return found, joinDistinct(state.statuses, func(s *dispatch.Status) string {
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

func compareDrains(state *observedState) (found, reported string) {
	var endpoints []string
	for _, d := range state.drains {
		if strings.Contains(d, ":") {
			endpoints = append(endpoints, d)
		}
	}
	sort.Strings(endpoints)
	seen := make(map[string]bool)
	for i := range state.statuses {
		for _, p := range state.statuses[i].Endpoints {
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

// compareHolders compares the number of endpoints that instances list with the
// number that they report as held, and counts the endpoints with several holders.
func compareHolders(state *observedState) (found, reported string) {
	all := make(map[string]bool)
	holders := make(map[string]int)
	for i := range state.statuses {
		for _, p := range state.statuses[i].Endpoints {
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

// MarshalJSON encodes the texts of the item.
func (i Item) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct{ Question, ByHand, Reported string }{i.Question, i.ByHand, i.Reported})
}
