package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// lameDuckTime is how long after SIGTERM the entry serves all new requests. Later, it
	// serves those that are certainly answered before its end, and refuses the others. The
	// time to live of a look-up's answer is at most maxLookupTTL; most callers that use an
	// answer for three times as long have moved to other entries by then. The platform
	// accepts that the end of the grace period cuts off requests that were sent up to three
	// seconds after SIGTERM. The rest of that time is for the delivery of the signal and of
	// requests.
	lameDuckTime = 2800 * time.Millisecond
	// exitMargin is how long before SIGKILL, at the end of the grace period, the process
	// stops waiting for servers, since its exit takes a while on a slow VM. The platform
	// expects no answers of servers that are still at work in the last sixth of the grace
	// period. The margin is shorter than that sixth by responseTime, in which the answers of
	// servers that were done before arrive, but at least minExitMarginShare of the grace period.
	// For 6 s it is 600 ms, for 3 s 400 ms.
	exitMargin         = 600 * time.Millisecond
	responseTime       = 100 * time.Millisecond
	minExitMarginShare = 0.05
	// deliveryShare is the part of the exit margin in which the callers still get answers that
	// have begun, and those to the requests that were given up.
	deliveryShare = 0.5
)

// shutdown keeps accepting requests for lameDuckTime, or half of the current grace period if
// that is shorter, while callers move to other entries. From then on, requests that may not be
// answered before the end of the shutdown are refused. It then closes the listeners, refuses
// all further requests and waits until those taken before are answered, or shutdownTime is
// over. Those that wait for a server then are given up and told so: a caller whose connection
// just ended would not know whether its request was read. Answers that have begun are delivered
// as long as the exit leaves time. servers are shut down in order, that for callers first: until
// its end, the entry answers look-ups, with the addresses of the others.
func (n *platformNode) shutdown(servers []*http.Server) {
	grace := n.settings.Load().Bounds.GracePeriod
	n.logger.Info().Str("event", "stopping").Int64("in-flight", n.gateway.InFlight()).Int64("grace-ms", grace.Milliseconds()).Msg("")
	began := time.Now()
	end := began.Add(shutdownTime(grace))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.shuttingDown.Store(true)
	n.tracker.Announce()
	time.Sleep(min(lameDuckTime, grace/2))
	n.responsesDue.Store(&end)
	if err := n.pipeline.Drain(ctx); err != nil {
		n.logger.Warn().Str("event", "drain-incomplete").Int("outstanding", n.pipeline.Outstanding()).Int64("in-flight", n.gateway.InFlight()).Err(err).Msg("")
	} else {
		n.logger.Info().Str("event", "drained").Int("outstanding", n.pipeline.Outstanding()).Int64("in-flight", n.gateway.InFlight()).Msg("")
	}
	// A request that the pipeline doesn't count isn't given up earlier either.
	awaitZero(ctx, n.gateway.InFlight)
	n.giveUp()
	exitCtx, cancelExit := context.WithDeadline(context.Background(), began.Add(deliveryTime(grace)))
	defer cancelExit()
	awaitZero(exitCtx, func() int64 { return int64(n.pipeline.Outstanding()) })
	for _, server := range servers {
		if err := server.Shutdown(exitCtx); err != nil {
			n.logger.Warn().Str("event", "stopped-early").Int64("in-flight", n.gateway.InFlight()).Err(err).Msg("")
		}
	}
	n.pipeline.LogUnanswered()
}

// shutdownTime returns how long after SIGTERM requests may be in flight.
func shutdownTime(grace time.Duration) time.Duration {
	return grace - min(exitMargin, max(grace/6-responseTime, time.Duration(minExitMarginShare*float64(grace))))
}

// deliveryTime returns how long after SIGTERM answers may be delivered.
func deliveryTime(grace time.Duration) time.Duration {
	lasts := shutdownTime(grace)
	return lasts + time.Duration(deliveryShare*float64(grace-lasts))
}

// awaitZero waits until count returns 0, or ctx is done.
func awaitZero(ctx context.Context, count func() int64) {
	const interval = 5 * time.Millisecond
	for count() > 0 && ctx.Err() == nil {
		time.Sleep(interval)
	}
}

// shutdownEnd returns when a shutdown ends, once lameDuckTime is over, and before the zero
// time.
func (n *platformNode) shutdownEnd() time.Time {
	if due := n.responsesDue.Load(); due != nil {
		return *due
	}
	return time.Time{}
}
