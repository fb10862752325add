package dispatch

import (
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/timeline"
)

// deliver writes the result of a request to the sender, which is the caller or the
// peer that relayed the request, and records the end of the request. A nil claim
// means that this entry has not claimed the request's key. If a response can't be
// copied in full, deliver aborts the connection, so that the sender detects the
// truncation.
func (d *Dispatcher) deliver(w http.ResponseWriter, req *Request, result attemptResult, claim *key.Claim) {
	if result.response == nil {
		d.recordEnd(req, result, claim, nil)
		d.writeOutcome(w, req, result)
		return
	}
	response := result.response
	header.StripHopByHop(response.Header)
	header.StripInternal(response.Header)
	copyHeader(w.Header(), response.Header)
	w.Header().Set(header.Outcome, outcome.Done.String())
	w.WriteHeader(response.StatusCode)
	captured := &capturedBody{}
	if req.Hops > 0 {
		response.Body = d.paceBody(req, response.Body)
	}
	readErr, writeErr := copyBody(w, response, captured, !req.Idempotent)
	switch {
	case readErr != nil:
		result.outcome = d.truncatedOutcome(req, result, readErr)
	case writeErr != nil && req.Idempotent:
		result.outcome = outcome.FromError(outcome.Dispatched, outcome.ReasonCanceled, writeErr)
	}
	result.release(result.outcome)
	d.recordEnd(req, result, claim, captured)
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// paceBody limits the rate of a response body to this entry's share of the link
// to the region of the entry that received the request from the caller.
func (d *Dispatcher) paceBody(req *Request, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{
		Reader: d.Links.Pace(req.incoming.Context(), req.OriginRegion, req.Service.Class, body),
		Closer: body,
	}
}

// truncatedOutcome returns the outcome of a request whose response ended early
// with err. If this entry sent the request to the backend server itself, a response
// that broke off makes the request a suspect. After a relay only the peer knows
// whether the server or the relay caused that.
func (d *Dispatcher) truncatedOutcome(req *Request, result attemptResult, err error) outcome.Outcome {
	out := outcome.FromError(outcome.Dispatched, outcome.ReasonShortAnswer, err)
	if out.Reason == outcome.ReasonShortAnswer && result.server != "" {
		d.recordSuspect(req, result.server)
	}
	return out
}

// copyHeader sets all headers of from in to, replacing their values there.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyBody copies the body of a response to w and to captured. It flushes w after
// each part of a body of unknown length. With readToEnd set, it continues to read
// after a write to w has failed, so that repeats of the request get the response.
func copyBody(w http.ResponseWriter, response *http.Response, captured *capturedBody, readToEnd bool) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			captured.write(buffer[:count])
			if writeErr == nil {
				_, writeErr = w.Write(buffer[:count])
			}
			if writeErr != nil && !readToEnd {
				return nil, writeErr
			}
			if writeErr == nil && response.ContentLength < 0 {
				writeErr = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
	}
}

// capturedBody is a copy of a response body that is kept for repeats of the
// request, unless it is longer than maxRememberedBytes.
type capturedBody struct {
	content []byte
	// tooLong is set once the body exceeds maxRememberedBytes; content is nil from
	// then on.
	tooLong bool
}

// maxRememberedBytes is the length of the longest response body that is kept for
// repeats.
const maxRememberedBytes = 16 << 10

// write appends the next part of the body.
func (c *capturedBody) write(part []byte) {
	if c.tooLong || len(c.content)+len(part) > maxRememberedBytes {
		c.tooLong = true
		c.content = nil
		return
	}
	c.content = append(c.content, part...)
}

// recordEnd counts the outcome of a request in the metrics and finishes the claim
// of its key with what repeats shall get. It records a request that is done as a
// success in the quarantine list, and any other on the time line. The claim may be
// nil, and captured if there is no response.
func (d *Dispatcher) recordEnd(req *Request, result attemptResult, claim *key.Claim, captured *capturedBody) {
	metrics.GetOrRegisterCounter("requests."+result.outcome.Kind.String(), d.Metrics).Inc(1)
	if claim != nil {
		claim.Finish(newKeyResult(result, captured))
	}
	if result.outcome.Kind == outcome.Done {
		d.Quarantine.RecordSuccess(quarantine.Digest(req.Digest))
		return
	}
	d.Events.Record(timeline.Event{
		Kind:    "request-" + result.outcome.Kind.String(),
		Service: req.Service.Name,
		Server:  result.server,
		Key:     req.Key,
		Detail:  string(result.outcome.Reason) + " " + result.outcome.Detail,
	})
}

// newKeyResult returns what is remembered of a request under its key. The response
// is included only if it is complete and not too long.
func newKeyResult(result attemptResult, captured *capturedBody) key.Result {
	keyResult := key.Result{
		Outcome: result.outcome,
	}
	if result.outcome.Kind != outcome.Done || result.response == nil {
		return keyResult
	}
	keyResult.Status = result.response.StatusCode
	if !captured.tooLong {
		keyResult.Response = &key.Response{
			Header: result.response.Header.Clone(),
			Body:   captured.content,
		}
	}
	return keyResult
}

// writeOutcome answers a request for which there is no response of a backend
// server. The argument req is nil for a request that was refused before or while it
// was parsed; writeOutcome counts it, since recordEnd has not.
func (d *Dispatcher) writeOutcome(w http.ResponseWriter, req *Request, result attemptResult) {
	out := result.outcome
	if req == nil {
		metrics.GetOrRegisterCounter("requests."+out.Kind.String(), d.Metrics).Inc(1)
	}
	w.Header().Set(header.Outcome, out.Kind.String())
	w.Header().Set(header.Reason, string(out.Reason))
	if req != nil && req.Hops > 0 && result.server != "" {
		w.Header().Set(header.InternalServer, result.server)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(out.HTTPStatus())
	_, _ = io.WriteString(w, out.Kind.String()+": "+string(out.Reason)+": "+out.Detail+"\n")
}

// replay answers a repeated request with the recorded result of the first request
// under its key. If no response was kept for a request that is done, the answer has
// only its status.
func (d *Dispatcher) replay(w http.ResponseWriter, req *Request, recorded *key.Result) {
	w.Header().Set(header.Replayed, "true")
	if recorded.Outcome.Kind != outcome.Done {
		d.recordEnd(req, withoutResponse(recorded.Outcome), nil, nil)
		d.writeOutcome(w, req, withoutResponse(recorded.Outcome))
		return
	}
	w.Header().Set(header.Outcome, outcome.Done.String())
	if recorded.Response == nil {
		w.Header().Set(header.Reason, string(outcome.ReasonAnswerNotRemembered))
		w.WriteHeader(recorded.Status)
		return
	}
	copyHeader(w.Header(), recorded.Response.Header)
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Response.Body)
}
