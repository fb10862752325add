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
	// rowPrefix is the prefix of the names of all claim rows.
	rowPrefix = "key/"
	// rowShards is the number of shards that the rows are divided into. Expired
	// rows are found by scanning one shard at a time.
	rowShards = 4096
	// maxClaimAttempts is the maximum number of attempts to write the row of one
	// claim. Another attempt is made if the conflicting row has since been deleted
	// or belongs to a claim that was released.
	maxClaimAttempts = 3
	// queryTimeout is the timeout of one query to a claimant, the entry that made a
	// claim. While the request runs, the claimant delays its response by up to
	// longPollTimeout, so queryTimeout is longer.
	queryTimeout    = 3 * time.Second
	longPollTimeout = 2 * time.Second
	// sweepInterval is the time between the scans of two shards. A pass over all
	// shards thus takes more than 11 hours.
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
// hold this claim, and otherwise the result to return to the caller. After a
// failed write it reads the row, which may hold another claim or, if the write
// took effect although its response was lost, this claim.
func (r *Register) claimInTable(ctx context.Context, claim *Claim, request Request) *Result {
	expectedRevision := platform.Revision("")
	for range maxClaimAttempts {
		revision, err := r.writer.write(ctx, platform.Write{
			Row:              claim.rowName,
			ExpectedRevision: expectedRevision,
			Value:            claim.encodeRow(nil),
		})
		if err == nil {
			claim.revision = revision
			return nil
		}
		if errors.Is(err, errQueueFull) {
			return newRefusal(request.InitialPhase(), outcome.ReasonStoreBusy, "too many keys wait to be claimed; a ticket needs no claim")
		}
		current, readErr := r.table.Read(ctx, claim.rowName)
		var conflict *platform.ConflictError
		switch {
		case errors.Is(readErr, platform.ErrNotFound) && errors.As(err, &conflict):
			expectedRevision = ""
			continue
		case readErr != nil:
			return newRefusal(request.InitialPhase(), outcome.ReasonStoreUnreachable, "the key could not be claimed; a ticket needs no claim: "+err.Error())
		}
		rowClaim, decodeErr := decodeClaim(current)
		switch {
		case decodeErr != nil:
			return newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, decodeErr.Error())
		case r.isOwnRow(rowClaim) && rowClaim.GetNumber() == claim.number:
			claim.revision = current.Revision
			return nil
		}
		released, result := r.resolveRowClaim(ctx, rowClaim, claim, request)
		if !released {
			return result
		}
		expectedRevision = current.Revision
	}
	return newRefusal(request.InitialPhase(), outcome.ReasonStoreBusy, "others claim and release the key")
}

// decodeClaim decodes the claim in a row.
func decodeClaim(row platform.Row) (*teaselv1.KeyClaim, error) {
	claim := &teaselv1.KeyClaim{}
	if err := proto.Unmarshal(row.Value, claim); err != nil {
		return nil, errors.Wrapf(err, "decode row %s", row.Name)
	}
	return claim, nil
}

// isOwnRow reports whether this incarnation wrote the row with the given claim.
func (r *Register) isOwnRow(claim *teaselv1.KeyClaim) bool {
	return claim.GetEntry() == r.entry && claim.GetIncarnation() == r.incarnation
}

// resolveRowClaim determines what became of rowClaim, the claim in the row that
// claim tried to write. If the incarnation that made rowClaim knows that no request ran
// under it, nor will one, released is true. Otherwise resolveRowClaim returns the result
// to return to the caller.
func (r *Register) resolveRowClaim(ctx context.Context, rowClaim *teaselv1.KeyClaim, claim *Claim, request Request) (released bool, result *Result) {
	if r.isOwnRow(rowClaim) && r.wasReleased(rowClaim.GetNumber()) {
		return true, nil
	}
	if !bytes.Equal(rowClaim.GetDigest(), claim.digest[:]) {
		return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyReused, "the key was used for another request")
	}
	if !r.isOwnRow(rowClaim) && r.queryClaimant != nil {
		response := r.pollClaimant(ctx, rowClaim, request)
		switch response.GetState() {
		case teaselv1.KeyState_KEY_STATE_RELEASED:
			return true, nil
		case teaselv1.KeyState_KEY_STATE_DONE:
			return false, decodeKeyResponse(response)
		case teaselv1.KeyState_KEY_STATE_RUNNING:
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonRunning, "the first request with this key still runs at entry "+rowClaim.GetEntry())
		}
		if response.GetReason() != "" {
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.Reason(response.GetReason()), "told by entry "+rowClaim.GetEntry())
		}
	}
	switch outcome.ParseKind(rowClaim.GetOutcome()) {
	case outcome.Done:
		return false, &Result{
			Outcome: outcome.FromPhase(outcome.Answered, "", ""),
			Status:  int(rowClaim.GetStatus()),
		}
	case outcome.Unknown:
		if rowClaim.GetReason() != "" {
			return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.Reason(rowClaim.GetReason()), "told by the claim of entry "+rowClaim.GetEntry())
		}
	}
	return false, newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, "entry "+rowClaim.GetEntry()+" claimed the key and can't say what became of it")
}

// wasReleased reports whether the claim with a number is known to have been
// released.
func (r *Register) wasReleased(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, released := r.released[number]
	return released
}

// pollClaimant queries the entry that made rowClaim until the response has a state
// other than running, ctx is done or a query fails. It returns the last response, or
// nil if there is none.
func (r *Register) pollClaimant(ctx context.Context, rowClaim *teaselv1.KeyClaim, request Request) *teaselv1.KeyResponse {
	var last *teaselv1.KeyResponse
	for ctx.Err() == nil {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		response, err := r.queryClaimant(queryCtx, rowClaim.GetEntry(), &teaselv1.KeyRequest{
			Service:     request.Service,
			Key:         request.Key,
			Entry:       rowClaim.GetEntry(),
			Incarnation: rowClaim.GetIncarnation(),
			Number:      rowClaim.GetNumber(),
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

// decodeKeyResponse returns the result of a request from the response of the
// claimant, which must have the state done.
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

// HandleKeyRequest answers a peer's query for the state of a claim that this
// incarnation made. While the claim's request runs, it delays the response by up
// to longPollTimeout (long polling). The state of a claim that it does not know is
// unspecified, which means that the request may have run.
func (r *Register) HandleKeyRequest(ctx context.Context, request *teaselv1.KeyRequest) *teaselv1.KeyResponse {
	if request.GetEntry() != r.entry || request.GetIncarnation() != r.incarnation {
		return &teaselv1.KeyResponse{}
	}
	r.mu.Lock()
	claim := r.claims[newKeyID(request.GetService(), request.GetKey())]
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

// encodeKeyResponse encodes the result of a claim for a peer. The state stays
// unspecified if the outcome is unknown.
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

// recordResult queues a write of the result to the claim's row, or the deletion of
// the row if the request did not run. The write is best effort: without it, an
// entry that gets the key again has to query this process.
func (r *Register) recordResult(claim *Claim, result Result) {
	write := platform.Write{
		Row:              claim.rowName,
		ExpectedRevision: claim.revision,
	}
	if result.Outcome.Kind != outcome.NotRun {
		write.Value = claim.encodeRow(&result)
	}
	r.writer.writeLater(write)
}

// sweep removes expired rows until ctx is done. It scans one shard per
// sweepInterval, beginning with a random one.
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

// sweepShard queues the removal of the rows of a shard that are older than RowLifetime.
// If the scan fails, they stay until the next pass. A table without Scan is never swept.
func (r *Register) sweepShard(ctx context.Context, shard int) {
	if r.table.Scan == nil {
		return
	}
	scanCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := r.table.Scan(scanCtx, shardPrefix(shard))
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
