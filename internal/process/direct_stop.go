package process

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/direct"
	"jasminewing.dev/jasminewing/internal/event"
)

const (
	// settleTime is how long a stopping gateway still accepts requests after its
	// readiness check started to fail. The balancer checks once a second and sends
	// requests until two checks have failed.
	settleTime = 2500 * time.Millisecond
	// quietPeriod is how long no request may be in flight before a stopping
	// gateway closes its idle connections.
	quietPeriod = 300 * time.Millisecond
	// stopMargin is the part of StopLimit that remains for the errors that end the requests
	// left at that time, and for the rest of the shutdown.
	stopMargin = 600 * time.Millisecond
	// exitMargin is the part of StopLimit that remains for the rest of the shutdown, and
	// cutMargin that which remains if requests are still unanswered by then.
	exitMargin = 250 * time.Millisecond
	cutMargin  = 100 * time.Millisecond
	// unansweredPollInterval is how often a stop checks for unanswered requests at its end, and
	// unansweredChecks the least number of checks before it ends them, and again before it
	// closes their connections.
	unansweredPollInterval = 5 * time.Millisecond
	unansweredChecks       = 10
	// adminStopTime is how long the stop of an admin server waits for requests, and for
	// connections that have sent none yet.
	adminStopTime = 50 * time.Millisecond
)

// stopServing makes the readiness check fail, accepts requests for settleTime or half of
// StopLimit, whichever is shorter, and then refuses new ones. When no request has been in
// flight for quietPeriod, or stopMargin before StopLimit, it closes each connection as soon
// as it has no unanswered request. Requests that are unanswered stopMargin before StopLimit
// get an error, after a few checks for what has arrived. It returns when all
// connections are closed, or closes them exitMargin before StopLimit, or, while requests are
// unanswered, cutMargin before it and after a few checks.
func (p *Direct) stopServing(g *direct.Gateway, l *callerListener, s *http.Server) error {
	begin := time.Now()
	endsAt := begin.Add(p.StopLimit - stopMargin)
	beforeEnd, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	beforeExit, cancel := context.WithDeadline(context.Background(), begin.Add(p.StopLimit-exitMargin))
	defer cancel()
	stage := func(name string) {
		p.Log.Write(event.StopStage, "stage", name, "after_ms", time.Since(begin).Milliseconds(),
			"in_flight", g.InFlight(), "unanswered", l.unanswered())
	}
	g.Drain()
	stage("draining")
	settle := time.NewTimer(min(settleTime, p.StopLimit/2))
	defer settle.Stop()
	<-settle.C
	g.RefuseNew(endsAt)
	stage("refusing")
	g.WaitIdle(beforeEnd, quietPeriod, l.unanswered)
	stage("closing")
	l.end()
	waitEnded(beforeEnd, l)
	waitAnswered(l, endsAt)
	stage("ending")
	g.End()
	waitEnded(beforeExit, l)
	waitAnswered(l, begin.Add(p.StopLimit-cutMargin))
	stage("closed")
	l.cut()
	err := s.Close()
	// Handlers whose connections have been closed still log how their requests ended.
	for n := 0; n < unansweredChecks && g.InFlight() > 0; n++ {
		time.Sleep(unansweredPollInterval)
	}
	g.LogUnfinished()
	return err
}

// waitEnded waits until a listener and its connections are closed, or ctx is done.
func waitEnded(ctx context.Context, l *callerListener) {
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
}

// waitAnswered waits until no request is unanswered, or the given time is over, and for
// unansweredChecks at least unless all connections are closed. A process that got no processor
// time until then must not end requests which, or whose answers, have arrived: the checks let
// their tasks run first.
func waitAnswered(l *callerListener, until time.Time) {
	for n := 0; !l.hasEnded() && (n < unansweredChecks || l.unanswered() > 0 && time.Now().Before(until)); n++ {
		time.Sleep(unansweredPollInterval)
	}
}

// stopAdminServer stops a server that only has short requests. Shutdown alone would wait up
// to six seconds for a connection that has sent nothing.
func stopAdminServer(ctx context.Context, s *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, adminStopTime)
	defer cancel()
	if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.Close()
}
