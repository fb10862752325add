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

// deliver copies an answer to the caller and records how the request ended. An
// answer that can't be finished is aborted, so that the caller sees it cut.
func (d *Dispatcher) deliver(w http.ResponseWriter, req *Request, ans answer, claim *key.Claim) {
	if ans.response == nil {
		d.finish(req, ans, claim, nil)
		d.refuse(w, req, ans)
		return
	}
	response := ans.response
	header.StripHopByHop(response.Header)
	header.StripInternal(response.Header)
	copyHeader(w.Header(), response.Header)
	w.Header().Set(header.Outcome, outcome.Done.String())
	w.WriteHeader(response.StatusCode)
	memory := &capture{}
	if req.Hops > 0 {
		response.Body = d.paced(req, response.Body)
	}
	readErr, writeErr := copyBody(w, response, memory, !req.Idempotent)
	switch {
	case readErr != nil:
		ans.outcome = d.cut(req, ans, readErr)
	case writeErr != nil && req.Idempotent:
		ans.outcome = outcome.FromError(outcome.Dispatched, outcome.ReasonCanceled, writeErr)
	}
	ans.release(ans.outcome)
	d.finish(req, ans, claim, memory)
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// paced keeps an answer to another region's entry within the link's rate.
func (d *Dispatcher) paced(req *Request, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{
		Reader: d.Links.Pace(req.incoming.Context(), req.OriginRegion, req.Service.Class, body),
		Closer: body,
	}
}

// cut is the outcome of a request whose answer broke off.
func (d *Dispatcher) cut(req *Request, ans answer, err error) outcome.Outcome {
	out := outcome.FromError(outcome.Dispatched, outcome.ReasonShortAnswer, err)
	if out.Reason == outcome.ReasonShortAnswer && ans.server != "" {
		d.broke(req, ans.server)
	}
	return out
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyBody copies an answer as it arrives. With whole set it reads on after
// the caller has left, so that the answer is known for a repeat.
func copyBody(w http.ResponseWriter, response *http.Response, memory *capture, whole bool) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			memory.write(buffer[:count])
			if writeErr == nil {
				_, writeErr = w.Write(buffer[:count])
			}
			if writeErr != nil && !whole {
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

// capture keeps an answer for repeats, up to a bound.
type capture struct {
	content  []byte
	overflow bool
}

// maxRemembered is the longest answer that is kept for repeats, in bytes.
const maxRemembered = 16 << 10

func (c *capture) write(part []byte) {
	if c.overflow || len(c.content)+len(part) > maxRemembered {
		c.overflow = true
		c.content = nil
		return
	}
	c.content = append(c.content, part...)
}

// finish records how a request ended, for repeats and on the time line.
func (d *Dispatcher) finish(req *Request, ans answer, claim *key.Claim, memory *capture) {
	metrics.GetOrRegisterCounter("requests."+ans.outcome.Kind.String(), d.Metrics).Inc(1)
	if claim != nil {
		claim.Finish(result(ans, memory))
	}
	if ans.outcome.Kind == outcome.Done {
		d.Quarantine.RecordSuccess(quarantine.Digest(req.Digest))
		return
	}
	d.Events.Record(timeline.Event{
		Kind:    "request-" + ans.outcome.Kind.String(),
		Service: req.Service.Name,
		Server:  ans.server,
		Key:     req.Key,
		Detail:  string(ans.outcome.Reason) + " " + ans.outcome.Detail,
	})
}

func result(ans answer, memory *capture) key.Result {
	result := key.Result{
		Outcome: ans.outcome,
	}
	if ans.outcome.Kind != outcome.Done || ans.response == nil {
		return result
	}
	result.Status = ans.response.StatusCode
	if !memory.overflow {
		result.Response = &key.Response{
			Header: ans.response.Header.Clone(),
			Body:   memory.content,
		}
	}
	return result
}

// refuse answers a request that has no answer of a backend server. Req is nil
// for one that was not admitted.
func (d *Dispatcher) refuse(w http.ResponseWriter, req *Request, ans answer) {
	out := ans.outcome
	if req == nil {
		metrics.GetOrRegisterCounter("requests."+out.Kind.String(), d.Metrics).Inc(1)
	}
	w.Header().Set(header.Outcome, out.Kind.String())
	w.Header().Set(header.Reason, string(out.Reason))
	if req != nil && req.Hops > 0 && ans.server != "" {
		w.Header().Set(header.InternalServer, ans.server)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(out.HTTPStatus())
	_, _ = io.WriteString(w, out.Kind.String()+": "+string(out.Reason)+": "+out.Detail+"\n")
}

// replay tells a repeat what became of the first request with its key.
func (d *Dispatcher) replay(w http.ResponseWriter, req *Request, result *key.Result) {
	w.Header().Set(header.Replayed, "true")
	if result.Outcome.Kind != outcome.Done {
		d.finish(req, refused(result.Outcome), nil, nil)
		d.refuse(w, req, refused(result.Outcome))
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
