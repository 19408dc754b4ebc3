// Package trial runs a whole environment in one process, puts a seeded load on
// it, makes it fail, and judges it by the endpoints' own ledger.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/client"
	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/reference"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/platform"
	"crocusseam/service/entry"
)

// Config constructs a trial.
type Config struct {
	Load   LoadConfig
	Policy routing.PolicyName
	// Faults makes the trial crash an instance, stop one in plan and make an
	// endpoint leave.
	Faults bool
	// Progress gets lines while the trial runs.
	Progress io.Writer
	Logger   *zap.Logger
}

// DefaultLoad is the load of make trial.
func DefaultLoad() LoadConfig {
	return LoadConfig{
		Seed: 1, Length: 25 * time.Second, Share: 0.7, MaxTasks: 100, Deadline: 20 * time.Second,
		Teams: []string{"capstone", "ciclo-sul"}, Repeatable: 0.3, EstimateErrorFactor: 1.5,
	}
}

// instanceConfig is one instance of the trial.
type instanceConfig struct {
	name     string
	domain   string
	capacity int
}

var instances = []instanceConfig{
	{"east-1", "east", 2},
	{"east-2", "east", 1},
	{"north-1", "north", 2},
	{"north-2", "north", 2},
	{"south-1", "south", 1},
	{"south-2", "south", 2},
	{"west-1", "west", 2},
}

var domains = []string{"east", "north", "south", "west"}

const (
	endpointsPerDomain = 12
	endpointSlots      = 8
	warmUp             = 5 * time.Second // jobs before it teach the speeds and are not timed
	readyTimeout       = 15 * time.Second
	drainTimeout       = 30 * time.Second
	resubmitAfter      = 50 * time.Millisecond
	leavingGrace       = 3 * time.Second
	readTimeout        = time.Second
	writeTimeout       = 2 * time.Second
	connections        = 64 // to the platform, of one instance
)

// environment is a whole environment in this process.
type environment struct {
	config    Config
	endpoints *standin.Endpoints
	platform  *standin.Platform
	store     *platform.Store
	servers   []*entry.Server
	group     *errgroup.Group
	cancel    context.CancelFunc
	transport *http.Transport

	mu       sync.Mutex
	records  []*record
	counters []dispatch.Counters
	stopped  map[netip.AddrPort]time.Time
	cutOff   int
	stopping *errgroup.Group
}

// record is what became of one submission.
type record struct {
	job         *plannedJob
	arrived     time.Time
	answered    time.Time
	answer      *submission.Answer
	err         error
	exchanges   []client.Exchange
	again       *submission.Answer // the answer to its resubmission
	resubmitted bool
}

// Run runs a trial and returns its report.
func Run(ctx context.Context, config Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, err := start(ctx, config)
	if err != nil {
		return nil, err
	}
	e.cancel = cancel
	if err := e.awaitReady(ctx); err != nil {
		return nil, err
	}
	e.progress("%d instances serve %d endpoints in %d failure domains", len(e.servers), len(e.endpoints.Configs()), len(domains))
	began := time.Now()
	jobs := plan(config.Load, e.totalSpeed(), len(e.servers))
	e.progress("offering %d jobs over %s at %.0f%% of the slots' speed", len(jobs), config.Load.Length, config.Load.Share*100)
	e.offer(ctx, jobs, began)
	for _, s := range e.servers {
		e.counters = append(e.counters, s.Status().Counters)
	}
	report := e.evaluate(jobs, began)
	cancel()
	_ = e.group.Wait()
	return report, nil
}

func (e *environment) progress(format string, args ...any) {
	if e.config.Progress != nil {
		_, _ = fmt.Fprintf(e.config.Progress, format+"\n", args...)
	}
}

func start(ctx context.Context, config Config) (*environment, error) {
	e := &environment{config: config, stopped: make(map[netip.AddrPort]time.Time), stopping: &errgroup.Group{}}
	e.group, ctx = errgroup.WithContext(ctx)
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	var err error
	if e.endpoints, err = standin.NewEndpoints(standin.SpreadConfigs(loopback, domains, endpointsPerDomain, endpointSlots)); err != nil {
		return nil, err
	}
	if e.platform, err = standin.NewPlatform(loopback, e.endpoints); err != nil {
		return nil, err
	}
	e.group.Go(func() error { return e.endpoints.Run(ctx) })
	e.group.Go(func() error { return e.platform.Run(ctx) })
	e.store = platform.NewStore(platform.StoreConfig{Address: e.platform.Address(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Connections: connections})
	if err := e.writeDocument(ctx); err != nil {
		return nil, err
	}
	for i, c := range instances {
		s, err := e.newServer(c, uint64(i)+1, loopback)
		if err != nil {
			return nil, err
		}
		e.servers = append(e.servers, s)
		e.group.Go(func() error { return s.Run(ctx) })
	}
	e.transport = &http.Transport{MaxIdleConnsPerHost: 256}
	return e, nil
}

func (e *environment) newServer(c instanceConfig, seed uint64, loopback netip.AddrPort) (*entry.Server, error) {
	return entry.New(entry.Config{
		Instance: c.name, Incarnation: uint64(time.Now().UnixNano()), Domain: c.domain, Capacity: c.capacity,
		Callers: loopback, Peers: loopback, Seed: seed,
		Platform: platform.NewStore(platform.StoreConfig{Address: e.platform.Address(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Connections: connections}),
		Limits:   submission.DefaultLimits(), Timing: dispatch.DefaultTiming(), Logger: e.config.Logger.Named(c.name),
	})
}

func (e *environment) document() *document.Document {
	d := e.endpoints.Document(e.config.Load.Teams)
	d.Routing.Policy = e.config.Policy
	return d
}

func (e *environment) writeDocument(ctx context.Context) error {
	text, err := json.MarshalIndent(e.document(), "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the document")
	}
	digest := document.Digest(text)
	rollout := dispatch.Rollout{Active: dispatch.Revision{Version: 1, Digest: digest, By: "trial", At: time.Now().UTC()}}
	row, err := json.Marshal(rollout)
	if err != nil {
		return eris.Wrap(err, "encode the rollout")
	}
	_, err = e.store.Commit(ctx, []storage.Write{
		{Key: dispatch.DocumentKey(digest), Value: text},
		{Key: dispatch.RolloutKey, Value: row},
	})
	return eris.Wrap(err, "write the document")
}

func (e *environment) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		held := 0
		for _, s := range e.servers {
			for _, p := range s.Status().Endpoints {
				if p.Held {
					held++
				}
			}
		}
		if held == len(e.endpoints.Configs()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return eris.Errorf("the instances were not ready within %s", readyTimeout)
}

func (e *environment) totalSpeed() float64 {
	sum := 0.0
	for _, c := range e.endpoints.Configs() {
		sum += c.Speed * float64(c.Slots)
	}
	return sum
}

// offer submits the jobs at their times, whatever became of earlier ones, and
// waits for the ends of all.
func (e *environment) offer(ctx context.Context, jobs []*plannedJob, began time.Time) {
	var callers errgroup.Group
	if e.config.Faults {
		callers.Go(func() error { e.injectFaults(ctx, began); return nil })
	}
	for i, j := range jobs {
		at := began.Add(j.offset)
		time.Sleep(time.Until(at))
		r := &record{job: j, arrived: at}
		e.records = append(e.records, r)
		callers.Go(func() error { e.call(ctx, r); return nil })
		if every := len(jobs) / 5; every > 0 && i%every == every-1 {
			e.progress("%5.1fs  %d of %d jobs submitted", time.Since(began).Seconds(), i+1, len(jobs))
		}
	}
	_ = callers.Wait()
	_ = e.stopping.Wait()
}

func (e *environment) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, len(e.servers))
	for i, s := range e.servers {
		list[i] = s.Address()
	}
	return list
}

// call is one caller: it submits its job until it has an answer.
func (e *environment) call(ctx context.Context, r *record) {
	j := r.job
	j.submission.Deadline = r.arrived.Add(e.config.Load.Deadline).UTC().Round(0)
	ctx, cancel := context.WithDeadline(ctx, j.submission.Deadline.Add(drainTimeout))
	defer cancel()
	var mu sync.Mutex
	c := client.New(client.Config{
		Instances: e.addresses(), Transport: e.transport,
		Observe: func(x client.Exchange) {
			mu.Lock()
			defer mu.Unlock()
			r.exchanges = append(r.exchanges, x)
			e.countCutOff(x)
		},
	})
	var again errgroup.Group
	if j.resubmit == whileInFlight {
		again.Go(func() error {
			time.Sleep(resubmitAfter)
			e.resubmit(ctx, c, r)
			return nil
		})
	}
	r.answer, r.err = c.Submit(ctx, j.submission, j.instance)
	r.answered = time.Now()
	if j.resubmit == afterAnswer {
		e.resubmit(ctx, c, r)
	}
	_ = again.Wait()
}

func (e *environment) resubmit(ctx context.Context, c *client.Client, r *record) {
	again := *r.job.submission
	again.Attempt = 2
	r.resubmitted = true
	r.again, _ = c.Submit(ctx, &again, r.job.instance+1)
}

// noteCutOff counts requests that were sent to an instance and cut off by its
// planned stop.
func (e *environment) countCutOff(x client.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, inPlan := e.stopped[x.Instance]; inPlan && x.Err != nil && x.Written {
		e.cutOff++
	}
}

// injectFaults crashes one instance, stops one in plan, and lets one endpoint
// leave.
func (e *environment) injectFaults(ctx context.Context, began time.Time) {
	length := e.config.Load.Length
	at := func(part float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Until(began.Add(time.Duration(part * float64(length))))):
			return true
		}
	}
	if !at(0.3) {
		return
	}
	leaving := true
	address := e.endpoints.Configs()[3].Address
	e.endpoints.SetFaults(address, standin.EndpointFaults{Leaving: &leaving})
	e.progress("%5.1fs  endpoint %s is leaving", time.Since(began).Seconds(), address)
	if !at(0.45) {
		return
	}
	e.servers[1].Crash()
	e.progress("%5.1fs  instance %s crashed", time.Since(began).Seconds(), instances[1].name)
	if !at(0.65) {
		return
	}
	s := e.servers[3]
	e.mu.Lock()
	e.stopped[s.Address()] = time.Now()
	e.mu.Unlock()
	e.progress("%5.1fs  instance %s stops in plan", time.Since(began).Seconds(), instances[3].name)
	e.stopping.Go(func() error {
		stopCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		if err := s.Stop(stopCtx); err != nil {
			return err
		}
		e.progress("%5.1fs  instance %s has stopped", time.Since(began).Seconds(), instances[3].name)
		return nil
	})
}

func (e *environment) referenceEndpoints() []reference.Endpoint {
	var list []reference.Endpoint
	for _, c := range e.endpoints.Configs() {
		list = append(list, reference.Endpoint{Address: c.Address, Domain: c.Domain, Slots: c.Slots, Speed: c.Speed})
	}
	return list
}
