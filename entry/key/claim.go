package key

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/platform"
)

const (
	// rowPrefix begins the names of all claim rows.
	rowPrefix = "key/"
	// rowShards is the number of shards that the rows are divided into, so that
	// expired ones can be found in small scans.
	rowShards = 4096
	// maxClaimAttempts is the maximum number of attempts to write the row of one
	// claim. An attempt is repeated if another entry released the key meanwhile.
	maxClaimAttempts = 3
	// queryTimeout is the timeout of one query to a claimant. While the request
	// runs, the claimant delays its response by up to longPollTimeout, so
	// queryTimeout is longer.
	queryTimeout    = 3 * time.Second
	longPollTimeout = 2 * time.Second
	// sweepInterval is the time between the scans of two shards.
	sweepInterval = 10 * time.Second
)

// rowName returns the name of a key's row.
func rowName(service, idempotencyKey string) string {
	id := newKeyID(service, idempotencyKey)
	return shardPrefix(int(id[0])<<4|int(id[1])>>4) + hex.EncodeToString(id[:])
}

// shardPrefix returns the prefix of the names of a shard's rows.
func shardPrefix(shard int) string {
	return fmt.Sprintf("%s%03x/", rowPrefix, shard)
}

// encodeRow returns the content of the claim's row. The result must be nil while
// the request runs.
func (c *Claim) encodeRow(result *Result) []byte {
	row := &teaselv1.KeyClaim{
		Entry:         c.register.entry,
		Incarnation:   c.register.incarnation,
		Number:        c.number,
		Digest:        c.digest[:],
		ClaimedUnixMs: c.claimedAt.UnixMilli(),
	}
	if result != nil {
		row.Outcome = result.Outcome.Kind.String()
		row.Reason = string(result.Outcome.Reason)
		row.Status = uint32(result.Status)
	}
	content, err := proto.Marshal(row)
	if err != nil {
		panic("key: encode claim: " + err.Error())
	}
	return content
}

// claimInTable writes the claim's row. It returns nil if the row is known to
// hold this claim, and otherwise the result to give to the caller. The row is
// read back after a failed write, which may have taken effect.
func (r *Register) claimInTable(ctx context.Context, claim *Claim, request Request) *Result {
	expect := platform.Revision("")
	for range maxClaimAttempts {
		revision, err := r.writer.write(ctx, platform.Write{
			Row:              claim.row,
			ExpectedRevision: expect,
			Value:            claim.encodeRow(nil),
		})
		if err == nil {
			claim.revision = revision
			return nil
		}
		if errors.Is(err, errQueueFull) {
			return newRefusal(request.InitialPhase(), outcome.ReasonStoreBusy, "too many keys wait to be claimed; a ticket needs no claim")
		}
		current, readErr := r.table.Read(ctx, claim.row)
		var conflict *platform.ConflictError
		switch {
		case errors.Is(readErr, platform.ErrNotFound) && errors.As(err, &conflict):
			expect = ""
			continue
		case readErr != nil:
			return newRefusal(request.InitialPhase(), outcome.ReasonStoreUnreachable, "the key could not be claimed; a ticket needs no claim: "+err.Error())
		}
		holder, decodeErr := decodeClaim(current)
		switch {
		case decodeErr != nil:
			return newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, decodeErr.Error())
		case r.isOwnRow(holder) && holder.GetNumber() == claim.number:
			claim.revision = current.Revision
			return nil
		}
		released, result := r.resolveHolder(ctx, holder, claim, request)
		if !released {
			return result
		}
		expect = current.Revision
	}
	return newRefusal(request.InitialPhase(), outcome.ReasonStoreBusy, "others claim and release the key")
}

// decodeClaim returns the claim that a row holds.
func decodeClaim(row platform.Row) (*teaselv1.KeyClaim, error) {
	claim := &teaselv1.KeyClaim{}
	if err := proto.Unmarshal(row.Value, claim); err != nil {
		return nil, errors.Wrapf(err, "decode row %s", row.Name)
	}
	return claim, nil
}

// isOwnRow reports whether this incarnation wrote the claim.
func (r *Register) isOwnRow(claim *teaselv1.KeyClaim) bool {
	return claim.GetEntry() == r.entry && claim.GetIncarnation() == r.incarnation
}

// resolveHolder finds out what became of the claim that holds the row. It
// returns released if its claimant itself has confirmed that it never used the
// claim and never will, and otherwise the result to give to the caller.
func (r *Register) resolveHolder(ctx context.Context, holder *teaselv1.KeyClaim, claim *Claim, request Request) (released bool, result *Result) {
	if r.isOwnRow(holder) && r.wasReleased(holder.GetNumber()) {
		return true, nil
	}
	if !bytes.Equal(holder.GetDigest(), claim.digest[:]) {
		return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyReused, "the key was used for another request")
	}
	if !r.isOwnRow(holder) && r.queryClaimant != nil {
		response := r.pollClaimant(ctx, holder, request)
		switch response.GetState() {
		case teaselv1.KeyState_KEY_STATE_RELEASED:
			return true, nil
		case teaselv1.KeyState_KEY_STATE_DONE:
			return false, decodeKeyResponse(response)
		case teaselv1.KeyState_KEY_STATE_RUNNING:
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonRunning, "the first request with this key still runs at entry "+holder.GetEntry())
		}
		if response.GetReason() != "" {
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.Reason(response.GetReason()), "told by entry "+holder.GetEntry())
		}
	}
	switch outcome.ParseKind(holder.GetOutcome()) {
	case outcome.Done:
		return false, &Result{
			Outcome: outcome.FromPhase(outcome.Answered, "", ""),
			Status:  int(holder.GetStatus()),
		}
	case outcome.Unknown:
		if holder.GetReason() != "" {
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.Reason(holder.GetReason()), "told by the claim of entry "+holder.GetEntry())
		}
	}
	return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, "entry "+holder.GetEntry()+" claimed the key and can't say what became of it")
}

// wasReleased reports whether the claim with a number is known to have been
// released unused.
func (r *Register) wasReleased(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, released := r.released[number]
	return released
}

// pollClaimant queries the claimant until the request has ended, ctx is done or
// a query fails. It returns the last response, or nil if there is none.
func (r *Register) pollClaimant(ctx context.Context, holder *teaselv1.KeyClaim, request Request) *teaselv1.KeyResponse {
	var last *teaselv1.KeyResponse
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, queryTimeout)
		response, err := r.queryClaimant(attempt, holder.GetEntry(), &teaselv1.KeyRequest{
			Service:     request.Service,
			Key:         request.Key,
			Entry:       holder.GetEntry(),
			Incarnation: holder.GetIncarnation(),
			Number:      holder.GetNumber(),
		})
		cancel()
		if err != nil {
			return last
		}
		if response.GetState() != teaselv1.KeyState_KEY_STATE_RUNNING {
			return response
		}
		last = response
	}
	return last
}

// decodeKeyResponse returns the result of a request that its claimant reports
// as done.
func decodeKeyResponse(response *teaselv1.KeyResponse) *Result {
	result := &Result{
		Outcome: outcome.FromPhase(outcome.Answered, "", ""),
		Status:  int(response.GetStatus()),
	}
	if response.Answer != nil {
		result.Response = &Response{
			Header: make(http.Header),
			Body:   response.GetAnswer(),
		}
		for _, line := range response.GetHeaders() {
			result.Response.Header.Add(line.GetName(), line.GetValue())
		}
	}
	return result
}

// HandleKeyRequest returns the state of a claim of this incarnation, for a peer
// that queries it. While the request runs, it delays the response (long
// polling).
func (r *Register) HandleKeyRequest(ctx context.Context, request *teaselv1.KeyRequest) *teaselv1.KeyResponse {
	if request.GetEntry() != r.entry || request.GetIncarnation() != r.incarnation {
		return &teaselv1.KeyResponse{}
	}
	r.mu.Lock()
	claim := r.keys[newKeyID(request.GetService(), request.GetKey())]
	r.mu.Unlock()
	if claim != nil && claim.number == request.GetNumber() {
		ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
		defer cancel()
		select {
		case <-claim.doneChannel():
		case <-ctx.Done():
			return &teaselv1.KeyResponse{
				State: teaselv1.KeyState_KEY_STATE_RUNNING,
			}
		}
		if result := claim.loadResult(); result.Outcome.Kind != outcome.NotRun {
			return encodeKeyResponse(result)
		}
	}
	if r.wasReleased(request.GetNumber()) {
		return &teaselv1.KeyResponse{
			State: teaselv1.KeyState_KEY_STATE_RELEASED,
		}
	}
	return &teaselv1.KeyResponse{}
}

// encodeKeyResponse returns the response for a claim whose request has ended.
func encodeKeyResponse(result Result) *teaselv1.KeyResponse {
	response := &teaselv1.KeyResponse{
		Reason: string(result.Outcome.Reason),
		Status: uint32(result.Status),
	}
	if result.Outcome.Kind == outcome.Done {
		response.State = teaselv1.KeyState_KEY_STATE_DONE
	}
	if result.Response == nil {
		return response
	}
	response.Answer = append([]byte{}, result.Response.Body...)
	for name, values := range result.Response.Header {
		for _, value := range values {
			response.Headers = append(response.Headers, &teaselv1.Header{
				Name:  name,
				Value: value,
			})
		}
	}
	return response
}

// recordEnd writes the result to the claim's row, or deletes the row if the
// request did not run. It is a best effort: without it, a repeat has to query
// this process.
func (r *Register) recordEnd(claim *Claim, result Result) {
	write := platform.Write{
		Row:              claim.row,
		ExpectedRevision: claim.revision,
	}
	if result.Outcome.Kind != outcome.NotRun {
		write.Value = claim.encodeRow(&result)
	}
	r.writer.writeLater(write)
}

// sweep removes expired rows, one shard per sweepInterval, beginning with a
// random one, until ctx is done.
func (r *Register) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for shard := rand.IntN(rowShards); ; shard = (shard + 1) % rowShards {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.sweepShard(ctx, shard)
	}
}

// sweepShard removes the rows of a shard that are past RowLifetime.
func (r *Register) sweepShard(ctx context.Context, shard int) {
	if r.table.Scan == nil {
		return
	}
	attempt, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := r.table.Scan(attempt, shardPrefix(shard))
	if err != nil {
		return
	}
	for _, row := range rows {
		claim, err := decodeClaim(row)
		if err != nil || time.Since(time.UnixMilli(claim.GetClaimedUnixMs())) < RowLifetime {
			continue
		}
		r.writer.writeLater(platform.Write{
			Row:              row.Name,
			ExpectedRevision: row.Revision,
		})
	}
}
