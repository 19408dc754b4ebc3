package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/timer"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
	"crocusseam/service/gate"
)

// GateConfig describes a trial of gates in front of stand-ins of the users'
// platform: one is killed and one is stopped in plan while the load runs.
type GateConfig struct {
	Domains   int
	Instances int // in each domain
	Endpoints int // in each domain
	Rate      float64
	For       time.Duration
	Seed      uint64
}

// GateReport is what callers and endpoints have seen.
type GateReport struct {
	Jobs      int
	Completed int
	InTime    int
	Refused   int
	TimedOut  int
	Failed    int
	Broken    int // connections that ended without an answer
	// Breaches lists what must never happen and did.
	Breaches []string
}

// Figures of the trial.
const (
	gateService       = "booking"
	gateHost          = "seats.example"
	gateStretch       = 1.6
	gateSlack         = 60 * time.Millisecond
	gateUneven        = 0.15
	gateEstimateError = 0.4
	gateTimeout       = 5 * time.Second
	gateLease         = time.Second
	gateMinLeaveTime  = time.Second
	gateReadyTimeout  = 10 * time.Second // for all endpoints to be in use
)

type gateTrial struct {
	config  GateConfig
	store   *standin.Platform
	workers *standin.Workers
	group   *errgroup.Group
	load    model.Load
	client  *http.Client

	mu     sync.Mutex
	gates  []*gate.Server
	stops  []context.CancelFunc
	report GateReport
}

// RunGate plays a trial and returns its report.
func RunGate(ctx context.Context, config GateConfig) (GateReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	t, err := newGateTrial(config, group)
	if err != nil {
		cancel()
		return GateReport{}, err
	}
	group.Go(func() error { return t.workers.Run(ctx) })
	group.Go(func() error { return t.store.Run(ctx) })
	err = t.offerWithFaults(ctx)
	cancel()
	err = errors.Join(err, group.Wait())
	t.workers.With(func(w *model.World) { t.report.Breaches = append(t.report.Breaches, w.Breaches...) })
	return t.report, err
}

func newGateTrial(config GateConfig, group *errgroup.Group) (*gateTrial, error) {
	c := standin.WorkersConfig{Service: gateService, Lease: gateLease}
	for i := range config.Domains {
		d := model.Domain{Name: fmt.Sprintf("domain-%d", i+1), Instances: config.Instances}
		for j := range config.Endpoints {
			d.Endpoints = append(d.Endpoints, model.EndpointConfig{
				Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 262144}, Speed: []float64{0.6, 1, 1.6}[j%3],
			})
		}
		c.Domains = append(c.Domains, d)
	}
	workers, err := standin.NewWorkers(c)
	if err != nil {
		return nil, err
	}
	store, err := standin.NewPlatform(netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		return nil, err
	}
	store.ListWorkers(workers)
	return &gateTrial{
		config: config, store: store, workers: workers, group: group, client: &http.Client{Timeout: gateTimeout},
		load: model.Load{Kinds: model.Mix(config.Rate), Stretch: gateStretch, Slack: gateSlack, EstimateError: gateEstimateError, TaskDeviation: gateUneven},
	}, nil
}

func (t *gateTrial) newStore() *platform.Store {
	return platform.NewStore(platform.StoreConfig{Address: t.store.Address(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Connections: connections})
}

// play starts the gates, offers the load, and kills and stops gates meanwhile.
func (t *gateTrial) offerWithFaults(ctx context.Context) error {
	configuration := &workload.Configuration{Version: 1}
	for _, k := range t.load.Kinds {
		configuration.Routes = append(configuration.Routes, t.route(&k))
	}
	write := storage.Write{Key: platform.ConfigurationKey, Value: platform.EncodeConfiguration(configuration), Expect: storage.AnyVersion}
	if _, err := t.newStore().Commit(ctx, []storage.Write{write}); err != nil {
		return eris.Wrap(err, "write the configuration")
	}
	for i := range t.config.Domains * t.config.Instances {
		if err := t.startGate(ctx, fmt.Sprintf("domain-%d", i%t.config.Domains+1), i); err != nil {
			return err
		}
	}
	if err := t.awaitHolds(ctx); err != nil {
		return err
	}
	var callers errgroup.Group
	callers.Go(func() error {
		t.offer(&callers)
		return nil
	})
	time.Sleep(t.config.For / 3)
	t.killGate(0)
	time.Sleep(t.config.For / 3)
	t.gates[0].Stop()
	t.excludeGate(0)
	return callers.Wait()
}

func (t *gateTrial) route(k *model.Kind) workload.Route {
	return workload.Route{
		Name: k.Name, Host: gateHost, Prefix: "/" + k.Name + "/", Service: gateService, Stretch: gateStretch, Slack: gateSlack,
		Priority: k.Priority, MaxAttempts: 3,
	}
}

func (t *gateTrial) startGate(ctx context.Context, domain string, number int) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	timing := placement.DefaultTiming()
	timing.Lease, timing.MinLeaveTime = gateLease, gateMinLeaveTime
	s, err := gate.New(gate.Config{
		Self:   instance.ID{Instance: fmt.Sprintf("gate-%d", number+1), Incarnation: uint64(time.Now().UnixNano())},
		Domain: domain, Share: 1, FarFactor: 1, Retention: time.Minute, Callers: loopback, Ready: loopback, Peers: loopback, Metrics: loopback,
		Store: t.newStore(), Timing: timing, Timers: timer.New(), Logger: zap.NewNop(), LinesLeftOut: func() int64 { return 0 },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	t.gates, t.stops = append(t.gates, s), append(t.stops, cancel)
	t.group.Go(func() error { return s.Run(ctx) })
	return nil
}

func (t *gateTrial) awaitHolds(ctx context.Context) error {
	for deadline := time.Now().Add(gateReadyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		held := 0
		for _, s := range t.gates {
			held += s.Overview().Held
		}
		if held == len(t.workers.Addresses()) {
			return nil
		}
	}
	return fmt.Errorf("the endpoints are not all held within %s", gateReadyTimeout)
}

// forget lets no new job go to a gate.
func (t *gateTrial) excludeGate(i int) context.CancelFunc {
	t.mu.Lock()
	defer t.mu.Unlock()
	stop := t.stops[i]
	t.gates, t.stops = slices.Delete(t.gates, i, i+1), slices.Delete(t.stops, i, i+1)
	return stop
}

// remove kills a gate.
func (t *gateTrial) killGate(i int) { t.excludeGate(i)() }

// offer hands jobs in until the time is over.
func (t *gateTrial) offer(callers *errgroup.Group) {
	random := rand.New(rand.NewPCG(t.config.Seed, 1))
	rate := 0.0
	for _, k := range t.load.Kinds {
		rate += k.PerSec
	}
	for end := time.Now().Add(t.config.For); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		pick := random.Float64() * rate
		k := 0
		for pick > t.load.Kinds[k].PerSec && k < len(t.load.Kinds)-1 {
			pick -= t.load.Kinds[k].PerSec
			k++
		}
		number := random.Uint64()
		callers.Go(func() error {
			t.submit(&t.load.Kinds[k], number)
			return nil
		})
	}
}

func (t *gateTrial) submit(k *model.Kind, number uint64) {
	o := &model.Outcome{}
	t.workers.With(func(w *model.World) {
		o.Job, o.Lengths = w.Draw(&t.load, k)
		w.Jobs[o.Job.ID] = o
	})
	t.mu.Lock()
	address := t.gates[number%uint64(len(t.gates))].Address()
	t.mu.Unlock()
	objective := time.Duration(float64(slices.Max(o.Lengths))*gateStretch) + gateSlack
	began := time.Now()
	status, state := t.post(address, "/"+k.Name+"/"+string(o.Job.ID), platform.EncodeJob(o.Job))
	t.count(status, state, time.Since(began) <= objective, o)
}

func (t *gateTrial) post(address netip.AddrPort, path string, body []byte) (status int, state string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = gateHost
	platform.SetCallerTimeout(request.Header, gateTimeout)
	response, err := t.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	var answer struct {
		State string `json:"state"`
	}
	if err != nil || json.Unmarshal(text, &answer) != nil {
		return 0, ""
	}
	return response.StatusCode, answer.State
}

func (t *gateTrial) count(status int, state string, inTime bool, o *model.Outcome) {
	started := false
	t.workers.With(func(*model.World) { started = o.Started })
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.report
	r.Jobs++
	switch {
	case status == http.StatusOK && state == "completed":
		r.Completed++
		if inTime {
			r.InTime++
		}
	case status == http.StatusOK:
		r.Failed++
	case status == http.StatusServiceUnavailable:
		r.Refused++
		if started {
			r.Breaches = append(r.Breaches, fmt.Sprintf("job %s was refused, and a task of it had started", o.Job.ID))
		}
	case status == http.StatusGatewayTimeout:
		r.TimedOut++
	default:
		r.Broken++
	}
}
