package gate

import (
	"context"
	"sync/atomic"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	reportWait      = 400 * time.Millisecond // less than half a lease, so that a lost report can be repeated
	reportRetry     = 50 * time.Millisecond  // ten retries within the rest of a lease
	explicitAckWait = 25 * time.Millisecond  // time to record outcomes: two commits
)

// watch requests reports from one endpoint continuously.
type watch struct {
	target       atomic.Pointer[placement.Watch]
	acknowledged atomic.Int64 // sequence of the last ended run that may be acknowledged
	ackAdvanced  chan struct{}
	cancel       context.CancelFunc
}

// isOf reports whether the watch is of an endpoint's incarnation under a token.
func (w *watch) isOf(endpoint workload.EndpointID, token workload.Token) bool {
	target := w.target.Load()
	return target.Endpoint == endpoint && target.Token == token
}

// startWatch starts watching an endpoint, or updates the watch's lease renewal and
// acknowledgement mode.
func (s *Server) startWatch(ctx context.Context, m placement.Watch) {
	if w, ok := s.watches[m.Endpoint.Name]; ok {
		if w.isOf(m.Endpoint, m.Token) {
			w.target.Store(&m)
			return
		}
		w.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel, ackAdvanced: make(chan struct{}, 1)}
	w.target.Store(&m)
	s.watches[m.Endpoint.Name] = w
	s.group.Go(func() error {
		s.runWatch(ctx, w)
		return nil
	})
}

// acknowledge lets the watch of an endpoint acknowledge ended runs.
func (s *Server) acknowledge(m placement.Acknowledge) {
	w, ok := s.watches[m.Endpoint.Name]
	if !ok || !w.isOf(m.Endpoint, m.Token) {
		return
	}
	w.acknowledged.Store(max(m.Upto, w.acknowledged.Load()))
	select {
	case w.ackAdvanced <- struct{}{}:
	default: // the watch hasn't received the previous signal yet
	}
}

// lastToAcknowledge returns the sequence of the last ended run that may be
// acknowledged after a report. With explicit acknowledgements it waits briefly for
// one, because the endpoint answers immediately while it has unacknowledged runs.
func (s *Server) lastToAcknowledge(ctx context.Context, w *watch, ended []workload.EndedRun) int64 {
	if !w.target.Load().ExplicitAcks {
		last := int64(0)
		for _, e := range ended {
			last = max(last, e.Sequence)
		}
		return last
	}
	if len(ended) > 0 {
		short, cancel := context.WithTimeout(ctx, explicitAckWait)
		defer cancel()
		select {
		case <-w.ackAdvanced:
		case <-short.Done():
		}
	}
	return w.acknowledged.Load()
}

func (s *Server) endWatch(endpoint string) {
	if w, ok := s.watches[endpoint]; ok {
		w.cancel()
		delete(s.watches, endpoint)
	}
}

// runWatch requests reports until the watch is cancelled or the endpoint answers
// that this instance no longer holds it. A request acknowledges ended runs only if the one
// before it was answered, and each ended run until one that does so is answered: each
// incarnation numbers its ended runs anew, and the next one may answer a request for this one.
func (s *Server) runWatch(ctx context.Context, w *watch) {
	target := w.target.Load()
	q := platform.ReportRequest{Endpoint: target.Endpoint, Address: target.Address, Token: target.Token}
	var clock time.Duration // of the endpoint, at clockAt
	var clockAt time.Time
	confirmed := int64(0) // sequence of the last ended run that an answered request has acknowledged
	for ctx.Err() == nil {
		sent := s.timers.SinceBoot()
		q.Until = 0
		if end, ok := w.target.Load().LeaseEnd(sent, s.config.Timing.Lease); ok && !clockAt.IsZero() {
			q.Until = clock + end.Sub(clockAt)
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
			q.Wait, q.Acknowledged = 0, 0
			continue
		}
		clock, clockAt = report.Clock, received
		q.Wait = reportWait
		taken := s.mailbox.PutAwaited(placement.Reported{Endpoint: q.Endpoint, Token: q.Token, Sent: sent, Received: received, Report: report})
		s.awaitTaken(ctx, taken)
		confirmed = max(confirmed, q.Acknowledged)
		q.Acknowledged = s.lastToAcknowledge(ctx, w, report.Ended)
		if q.Acknowledged <= confirmed {
			q.Acknowledged = 0
		}
	}
}

// awaitTaken waits until the control goroutine has taken a report, so that reports do not pile up while it
// is busy. It waits for reportWait at most, as the next request renews the lease.
func (s *Server) awaitTaken(ctx context.Context, taken <-chan struct{}) {
	select {
	case <-taken:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	select {
	case <-taken:
	case <-ctx.Done():
	}
}

// probe checks whether an endpoint can be reached. It sends token 0, which changes
// nothing: an endpoint that is held refuses it.
func (s *Server) probe(ctx context.Context, m placement.Probe) {
	_, outcome, _ := s.endpoints.Report(ctx, platform.ReportRequest{Endpoint: m.Endpoint, Address: m.Address})
	s.deliver(placement.ProbeDone{Endpoint: m.Endpoint.Name, Reachable: outcome == placement.Accepted || outcome == placement.Fenced})
}

// requestReport requests one report immediately. It ignores failures, which the endpoint's
// watch reports, but for the answer of another life.
func (s *Server) requestReport(ctx context.Context, m placement.RequestReport) {
	sent := s.timers.SinceBoot()
	report, outcome, err := s.endpoints.Report(ctx, platform.ReportRequest{Endpoint: m.Endpoint, Address: m.Address, Token: m.Token})
	s.metrics.report(outcome)
	switch outcome {
	case placement.Accepted:
		s.deliver(placement.Reported{Endpoint: m.Endpoint, Token: m.Token, Sent: sent, Received: s.timers.SinceBoot(), Report: report})
	case placement.OtherLife:
		s.deliver(placement.Silent{Endpoint: m.Endpoint, Token: m.Token, Outcome: outcome, Err: err})
	default:
	}
}
