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
// read or written in full, deliver panics with http.ErrAbortHandler: net/http then
// aborts the connection, so that the sender detects the truncation.
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
	remembered := &rememberedBody{}
	if req.Hops > 0 {
		response.Body = d.paceBody(req, response.Body)
	}
	readErr, writeErr := copyBody(w, response, remembered, !req.Idempotent)
	switch {
	case readErr != nil:
		result.outcome = d.handleTruncation(req, result, readErr)
	case writeErr != nil && req.Idempotent:
		// The response was not read to its end. That of a non-idempotent request was
		// and is remembered, so such a request is done although the sender did not get
		// the response.
		result.outcome = outcome.FromError(outcome.Dispatched, outcome.ReasonCanceled, writeErr)
	}
	result.release(result.outcome)
	d.recordEnd(req, result, claim, remembered)
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// paceBody limits the rate at which the body of the response to a relayed request is
// read to this entry's share of the link to req.OriginRegion. The link is chosen by that
// region even if the peer that relayed the request is in another one, as the issuer of
// the request's ticket may be.
func (d *Dispatcher) paceBody(req *Request, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{
		Reader: d.Links.Pace(req.incoming.Context(), req.OriginRegion, req.Service.Class, body),
		Closer: body,
	}
}

// handleTruncation returns the outcome of a request whose response ended early
// with err. If this entry itself sent the request to the backend server, and err is
// neither a deadline nor a cancellation, the request becomes a suspect. After a relay
// only the peer knows whether the server or the relay is the cause.
func (d *Dispatcher) handleTruncation(req *Request, result attemptResult, err error) outcome.Outcome {
	out := outcome.FromError(outcome.Dispatched, outcome.ReasonShortAnswer, err)
	if out.Reason == outcome.ReasonShortAnswer && result.server != "" {
		d.recordSuspect(req, result.server)
	}
	return out
}

// copyHeader copies all headers of src to dst, where it replaces their values. The
// slices of values are shared.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// copyBody copies the body of a response to w and to remembered. It flushes w after
// each part of a body of unknown length. With readToEnd set, it continues to read
// after a write to w has failed, so that repeats of the request get the response.
func copyBody(w http.ResponseWriter, response *http.Response, remembered *rememberedBody, readToEnd bool) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			remembered.write(buffer[:count])
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

// rememberedBody is a copy of a response body for repeats of the request. It is empty
// if the body is longer than maxRememberedBytes.
type rememberedBody struct {
	content []byte
	// tooLong is set once the body exceeds maxRememberedBytes; content is nil from
	// then on.
	tooLong bool
}

// maxRememberedBytes is the length of the longest response body that is remembered for
// repeats of the request.
const maxRememberedBytes = 16 << 10

// write appends the next part of the body.
func (b *rememberedBody) write(part []byte) {
	if b.tooLong || len(b.content)+len(part) > maxRememberedBytes {
		b.tooLong = true
		b.content = nil
		return
	}
	b.content = append(b.content, part...)
}

// recordEnd counts the outcome of a request in the metrics and, unless claim is nil,
// finishes the claim of the request's key with the result for repeats. It records a
// request that is done as a success in the quarantine list, and any other on the time
// line. The argument remembered may be nil if the result has no response.
func (d *Dispatcher) recordEnd(req *Request, result attemptResult, claim *key.Claim, remembered *rememberedBody) {
	metrics.GetOrRegisterCounter("requests."+result.outcome.Kind.String(), d.Metrics).Inc(1)
	if claim != nil {
		claim.Finish(newKeyResult(result, remembered))
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

// newKeyResult returns the result that is remembered under a request's key. It
// includes the response only if that is complete and not too long.
func newKeyResult(result attemptResult, remembered *rememberedBody) key.Result {
	keyResult := key.Result{
		Outcome: result.outcome,
	}
	if result.outcome.Kind != outcome.Done || result.response == nil {
		return keyResult
	}
	keyResult.Status = result.response.StatusCode
	if !remembered.tooLong {
		keyResult.Response = &key.Response{
			Header: result.response.Header.Clone(),
			Body:   remembered.content,
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
		// The relaying entry excludes this server from its next attempts.
		w.Header().Set(header.InternalServer, result.server)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(out.HTTPStatus())
	_, _ = io.WriteString(w, out.Kind.String()+": "+string(out.Reason)+": "+out.Detail+"\n")
}

// replay answers a request whose key was not claimed with the given result: that of
// the earlier request under the key, or the reason why the key could not be claimed.
// If the earlier request is done but its response is not remembered, only the status
// of the response is sent.
func (d *Dispatcher) replay(w http.ResponseWriter, req *Request, result *key.Result) {
	w.Header().Set(header.Replayed, "true")
	if result.Outcome.Kind != outcome.Done {
		d.recordEnd(req, withoutResponse(result.Outcome), nil, nil)
		d.writeOutcome(w, req, withoutResponse(result.Outcome))
		return
	}
	w.Header().Set(header.Outcome, outcome.Done.String())
	if result.Response == nil {
		w.Header().Set(header.Reason, string(outcome.ReasonAnswerNotRemembered))
		w.WriteHeader(result.Status)
		return
	}
	copyHeader(w.Header(), result.Response.Header)
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Response.Body)
}
