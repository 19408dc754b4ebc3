// Package hazard plays a small world of instances and endpoints with every
// combination of troubles and moments, and says which of them break what must
// always hold. Combinations of few troubles come first, so the first one found is
// among the shortest.
package hazard

import (
	"fmt"
	"strings"
	"time"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Hazard is a trouble that strikes at a moment.
type Hazard struct {
	Name      string
	Injection func(*Scenario)
}

// Strike is a hazard at a moment, counted from when the job is handed in.
type Injection struct {
	Hazard Hazard
	At     time.Duration
}

func (s Injection) String() string { return fmt.Sprintf("%s at %s", s.Hazard.Name, s.At) }

// Scene is a world with one job that a caller has handed to Home, and hands to
// Other if its connection breaks.
type Scenario struct {
	World *model.World
	Home  *model.Node
	Other *model.Node
	Job   *model.Outcome
}

// Finding is a combination of strikes that broke something.
type Finding struct {
	Injections []Injection
	Breaches   []string
}

func (f *Finding) String() string {
	names := make([]string, len(f.Injections))
	for i := range f.Injections {
		names[i] = f.Injections[i].String()
	}
	return fmt.Sprintf("%s: %s", strings.Join(names, ", "), strings.Join(f.Breaches, "; "))
}

// Config says what Explore plays.
type Config struct {
	// Stored lets the job be stored, so that another home goes on with it.
	Stored bool
	// Prepare is called with each world before it runs.
	Prepare func(*model.World)
	// Stride takes each so-manieth pair of strikes; 0 plays single strikes only.
	Stride int
	// Enough ends the search after so many findings; 0 goes on to the end.
	MaxFindings int
}

// Result is what Explore has played and found.
type Result struct {
	Simulations int
	Findings    []Finding
}

// Times of the scene.
const (
	warmUp        = 4 * time.Second
	runTime       = 12 * time.Second
	taskLength    = 300 * time.Millisecond
	callerTimeout = 4 * time.Second
	resendAfter   = 1300 * time.Millisecond // a caller whose connection broke hands its job in again
)

// moments are those at which something is under way: before the job comes, while
// its tasks are placed and started, while they run, around their ends, and when
// instances have been missed for long.
var injectionTimes = []time.Duration{
	-400 * time.Millisecond, -time.Millisecond, 0, time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 120 * time.Millisecond,
	280 * time.Millisecond, 310 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond,
}

// Hazards returns all troubles.
func Hazards() []Hazard {
	list := []Hazard{
		{"the caller's connection breaks", func(s *Scenario) { s.disconnectCaller() }},
		{"home killed", func(s *Scenario) { s.killAndRestart(s.Home) }},
		{"other killed", func(s *Scenario) { s.killAndRestart(s.Other) }},
		{"home stops in plan", func(s *Scenario) { s.Home.BeginPlannedStop() }},
		{"other stops in plan", func(s *Scenario) { s.Other.BeginPlannedStop() }},
		{"store away for 2 s", func(s *Scenario) {
			s.World.Store.Unavailable = true
			s.World.After(2*time.Second, func() { s.World.Store.Unavailable = false })
		}},
		{"store loses answers for 2 s", func(s *Scenario) {
			s.World.Store.LoseAnswers = 1
			s.World.After(2*time.Second, func() { s.World.Store.LoseAnswers = 0 })
		}},
		{"instances cut apart for 3 s", func(s *Scenario) { s.cutFor(s.Home.ID.Instance, s.Other.ID.Instance, 3*time.Second) }},
		{"home cut from the store for 3 s", func(s *Scenario) { s.cutFor(s.Home.ID.Instance, "store", 3*time.Second) }},
		{"other cut from the endpoints for 1.5 s", func(s *Scenario) {
			for _, x := range s.World.Endpoints {
				s.cutFor(s.Other.ID.Instance, x.Info.ID.Name, 1500*time.Millisecond)
			}
		}},
	}
	for _, span := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 3200 * time.Millisecond} {
		list = append(list,
			Hazard{fmt.Sprintf("home frozen for %s", span), func(s *Scenario) { s.Home.Pause(span) }},
			Hazard{fmt.Sprintf("other frozen for %s", span), func(s *Scenario) { s.Other.Pause(span) }},
			Hazard{fmt.Sprintf("messages to other held up for %s", span), func(s *Scenario) { s.World.DelayMessages(s.Home, s.Other, span) }},
			Hazard{fmt.Sprintf("messages to home held up for %s", span), func(s *Scenario) { s.World.DelayMessages(s.Other, s.Home, span) }},
		)
	}
	for i := range endpointCount {
		list = append(list,
			Hazard{fmt.Sprintf("endpoint %d comes back after 0.1 s", i), func(s *Scenario) {
				x := s.World.Endpoints[i]
				x.Crash()
				s.World.After(100*time.Millisecond, x.Restart)
			}},
			Hazard{fmt.Sprintf("endpoint %d carries orders out 2 s late for 1 s", i), func(s *Scenario) {
				x := s.World.Endpoints[i]
				x.LateOrders, x.LateBy = 1, 2*time.Second
				s.World.After(time.Second, func() { x.LateOrders = 0 })
			}},
			Hazard{fmt.Sprintf("endpoint %d loses answers for 1 s", i), func(s *Scenario) {
				x := s.World.Endpoints[i]
				x.LoseAnswers = 1
				s.World.After(time.Second, func() { x.LoseAnswers = 0 })
			}},
		)
	}
	return list
}

// sceneEndpoints are the endpoints of a scene.
const endpointCount = 2

// Explore plays every single strike, then pairs of strikes.
func Explore(config Config) Result {
	var all []Injection
	for _, h := range Hazards() {
		for _, at := range injectionTimes {
			all = append(all, Injection{h, at})
		}
	}
	var result Result
	play := func(strikes ...Injection) bool {
		result.Simulations++
		if breaches := Simulate(config, strikes); len(breaches) > 0 {
			result.Findings = append(result.Findings, Finding{strikes, breaches})
		}
		return config.MaxFindings == 0 || len(result.Findings) < config.MaxFindings
	}
	for i := range all {
		if !play(all[i]) {
			return result
		}
	}
	if config.Stride == 0 {
		return result
	}
	pair := 0
	for i := range all {
		for j := range all {
			if all[j].At < all[i].At || (all[j].At == all[i].At && j <= i) {
				continue
			}
			pair++
			if pair%config.Stride == 0 && !play(all[i], all[j]) {
				return result
			}
		}
	}
	return result
}

// Play plays one combination of strikes and returns what was broken.
func Simulate(config Config, strikes []Injection) []string {
	w := model.New(scenarioConfig())
	if config.Prepare != nil {
		config.Prepare(w)
	}
	s := &Scenario{World: w, Home: w.Nodes[0], Other: w.Nodes[1]}
	for _, k := range strikes {
		w.After(warmUp+k.At, func() { k.Hazard.Injection(s) })
	}
	w.Run(warmUp)
	s.submit(config.Stored)
	w.Run(runTime)
	return w.CheckFinal()
}

func scenarioConfig() model.Config {
	d := model.Domain{Name: "domain-a", Instances: 2}
	for range endpointCount {
		d.Endpoints = append(d.Endpoints, model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1000}, Speed: 1})
	}
	return model.Config{
		Seed: 1, Service: "booking", Timing: placement.DefaultTiming(), MaxAttempts: 3, Retention: time.Minute,
		InDomain: 200 * time.Microsecond, BetweenDomains: 500 * time.Microsecond, ToStore: 4 * time.Millisecond, Domains: []model.Domain{d},
	}
}

// submit hands in a job whose tasks fill one endpoint and half of the other, so
// that both instances run some of it.
func (s *Scenario) submit(stored bool) {
	j := &workload.Job{ID: "0000000000000001", Ephemeral: !stored, Steps: []workload.Step{{
		Count: 3, Estimate: taskLength, Need: workload.Resources{MilliCPU: 32000, MemoryMB: 10},
	}}}
	s.Job = s.World.Submit(s.Home, j, s.route(), callerTimeout)
}

func (s *Scenario) route() workload.Route {
	return workload.Route{Name: "r", Service: "booking", Stretch: 1.6, Slack: callerTimeout, MaxAttempts: 3}
}

// breakCaller breaks the caller's connection. It hands the job to the other
// instance after a while.
func (s *Scenario) disconnectCaller() {
	if s.Job == nil || !s.Job.Answered.IsZero() {
		return
	}
	s.Home.DisconnectCaller(s.Job)
	s.World.After(resendAfter, func() { s.World.Resubmit(s.Other, s.Job, s.route(), callerTimeout) })
}

// kill ends an instance's process, which starts again after a while.
func (s *Scenario) killAndRestart(n *model.Node) {
	if !n.Up {
		return
	}
	if n == s.Home {
		s.disconnectCaller()
	}
	n.Kill()
	s.World.After(700*time.Millisecond, n.Start)
}

func (s *Scenario) cutFor(a, b string, span time.Duration) {
	s.World.Cut(a, b, true)
	s.World.After(span, func() { s.World.Cut(a, b, false) })
}
