package gate

import (
	"context"
	"sync/atomic"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

// Times of the reports of an endpoint.
const (
	reportWait      = 400 * time.Millisecond // less than half a lease, so that a lost report can be repeated
	reportRetry     = 50 * time.Millisecond  // ten tries within what is left of a lease
	explicitAckWait = 25 * time.Millisecond  // for ends to be recorded: two commits
)

// watch keeps asking one endpoint for reports.
type watch struct {
	target       placement.Watch
	renew        atomic.Bool
	explicitAcks atomic.Bool  // ends are acknowledged only so far
	acknowledged atomic.Int64 // the last end that may be acknowledged
	ackAdvanced  chan struct{}
	cancel       context.CancelFunc
}

// startWatch begins to watch an endpoint, or changes whether its lease is
// renewed.
func (s *Server) startWatch(ctx context.Context, m placement.Watch) {
	if w, ok := s.watches[m.Endpoint.Name]; ok {
		if w.target.Endpoint == m.Endpoint && w.target.Token == m.Token {
			w.renew.Store(m.Renew)
			w.explicitAcks.Store(m.ExplicitAcks)
			return
		}
		w.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{target: m, cancel: cancel, ackAdvanced: make(chan struct{}, 1)}
	w.renew.Store(m.Renew)
	w.explicitAcks.Store(m.ExplicitAcks)
	s.watches[m.Endpoint.Name] = w
	s.group.Go(func() error {
		s.runWatch(ctx, w)
		return nil
	})
}

// acknowledge lets the watch of an endpoint acknowledge ends.
func (s *Server) acknowledge(m placement.Acknowledge) {
	w, ok := s.watches[m.Endpoint.Name]
	if !ok || w.target.Endpoint != m.Endpoint || w.target.Token != m.Token {
		return
	}
	w.acknowledged.Store(max(m.Upto, w.acknowledged.Load()))
	select {
	case w.ackAdvanced <- struct{}{}:
	default: // the watch has not seen the last one yet
	}
}

// seen returns the last end that may be acknowledged, after a report. Where
// ends wait to be confirmed it waits a moment, as the endpoint answers at once
// while it has ends to tell.
func (s *Server) lastToAcknowledge(ctx context.Context, w *watch, before int64, ended []workload.EndedRun) int64 {
	if !w.explicitAcks.Load() {
		for _, e := range ended {
			before = max(before, e.Sequence)
		}
		return before
	}
	if len(ended) > 0 {
		short, cancel := context.WithTimeout(ctx, explicitAckWait)
		defer cancel()
		select {
		case <-w.ackAdvanced:
		case <-short.Done():
		}
	}
	return max(before, w.acknowledged.Load())
}

func (s *Server) endWatch(endpoint string) {
	if w, ok := s.watches[endpoint]; ok {
		w.cancel()
		delete(s.watches, endpoint)
	}
}

// runWatch asks until the watch ends or the endpoint says that this instance no
// longer holds it. The last end that was delivered is acknowledged with the
// next question.
func (s *Server) runWatch(ctx context.Context, w *watch) {
	q := platform.ReportRequest{Endpoint: w.target.Endpoint, Address: w.target.Address, Token: w.target.Token}
	var clock time.Duration // of the endpoint, at clockAt
	var clockAt time.Time
	for ctx.Err() == nil {
		sent := s.timers.SinceBoot()
		q.Until = 0
		if w.renew.Load() && !clockAt.IsZero() {
			q.Until = clock + sent.Sub(clockAt) + s.config.Timing.Lease
		}
		report, outcome, err := s.endpoints.Report(ctx, q)
		if ctx.Err() != nil {
			return
		}
		received := s.timers.SinceBoot()
		s.metrics.report(outcome)
		if outcome != placement.Accepted {
			s.deliver(placement.Silent{Endpoint: q.Endpoint, Token: q.Token, Outcome: outcome, Err: err})
			if outcome == placement.Fenced || outcome == placement.OtherLife || outcome == placement.Misdirected || !s.timers.Sleep(ctx, reportRetry) {
				return
			}
			q.Wait = 0
			continue
		}
		clock, clockAt = report.Clock, received
		q.Wait = reportWait
		s.deliver(placement.Reported{Endpoint: q.Endpoint, Token: q.Token, Sent: sent, Received: received, Report: report})
		q.Acknowledged = s.lastToAcknowledge(ctx, w, q.Acknowledged, report.Ended)
	}
}

// probe asks whether an endpoint can be reached. A token of 0 orders nothing: an
// endpoint that is held refuses it.
func (s *Server) probe(ctx context.Context, m placement.Probe) {
	_, outcome, _ := s.endpoints.Report(ctx, platform.ReportRequest{Endpoint: m.Endpoint, Address: m.Address})
	s.deliver(placement.ProbeDone{Endpoint: m.Endpoint.Name, Reachable: outcome == placement.Accepted || outcome == placement.Fenced})
}

// look asks for one report at once. If there is none, the endpoint's watch will
// say so.
func (s *Server) requestReport(ctx context.Context, m placement.RequestReport) {
	sent := s.timers.SinceBoot()
	report, outcome, _ := s.endpoints.Report(ctx, platform.ReportRequest{Endpoint: m.Endpoint, Address: m.Address, Token: m.Token})
	s.metrics.report(outcome)
	if outcome == placement.Accepted {
		s.deliver(placement.Reported{Endpoint: m.Endpoint, Token: m.Token, Sent: sent, Received: s.timers.SinceBoot(), Report: report})
	}
}
