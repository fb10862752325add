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
	// rowPrefix begins the rows of all claims.
	rowPrefix = "key/"
	// shards is how many parts the rows fall into, so that old ones can be
	// looked for in small scans.
	shards = 4096
	// maxClaimAttempts bounds how often a claim is tried while others release it.
	maxClaimAttempts = 3
	// askTimeout bounds one question to a claimant; answerWait is how long the
	// claimant keeps it while the request runs.
	askTimeout = 3 * time.Second
	answerWait = 2 * time.Second
	// sweepInterval is the time between two scans for old rows.
	sweepInterval = 10 * time.Second
)

func rowName(service, key string) string {
	id := newName(service, key)
	return shardPrefix(int(id[0])<<4|int(id[1])>>4) + hex.EncodeToString(id[:])
}

func shardPrefix(shard int) string {
	return fmt.Sprintf("%s%03x/", rowPrefix, shard)
}

// content returns the claim's row; an outcome other than not run is set once
// the request has ended.
func (c *Claim) content(ended *Result) []byte {
	row := &teaselv1.KeyClaim{
		Entry:         c.register.entry,
		Incarnation:   c.register.incarnation,
		Number:        c.number,
		Digest:        c.digest[:],
		ClaimedUnixMs: c.claimed.UnixMilli(),
	}
	if ended != nil {
		row.Outcome = ended.Outcome.Kind.String()
		row.Reason = string(ended.Outcome.Reason)
		row.Status = uint32(ended.Status)
	}
	content, err := proto.Marshal(row)
	if err != nil {
		panic("key: encode claim: " + err.Error())
	}
	return content
}

// claimInTable writes the claim's row. It returns nil once the row is known to
// hold this claim, and otherwise what the caller is to be told.
func (r *Register) claimInTable(ctx context.Context, claim *Claim, use Request) *Result {
	expect := platform.Revision("")
	for range maxClaimAttempts {
		revision, err := r.journal.write(ctx, platform.Write{
			Row:              claim.row,
			ExpectedRevision: expect,
			Value:            claim.content(nil),
		})
		if err == nil {
			claim.revision = revision
			return nil
		}
		if errors.Is(err, errBusy) {
			return refuse(use.InitialPhase(), outcome.ReasonStoreBusy, "too many keys wait to be claimed; a ticket needs no claim")
		}
		held, readErr := r.table.Read(ctx, claim.row)
		var conflict *platform.ConflictError
		switch {
		case errors.Is(readErr, platform.ErrNotFound) && errors.As(err, &conflict):
			expect = ""
			continue
		case readErr != nil:
			return refuse(use.InitialPhase(), outcome.ReasonStoreUnreachable, "the key could not be claimed; a ticket needs no claim: "+err.Error())
		}
		row, decodeErr := decodeClaim(held)
		switch {
		case decodeErr != nil:
			return refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, decodeErr.Error())
		case r.wrote(row) && row.GetNumber() == claim.number:
			claim.revision = held.Revision
			return nil
		}
		released, result := r.settle(ctx, row, claim, use)
		if !released {
			return result
		}
		expect = held.Revision
	}
	return refuse(use.InitialPhase(), outcome.ReasonStoreBusy, "others claim and release the key")
}

func decodeClaim(row platform.Row) (*teaselv1.KeyClaim, error) {
	claim := &teaselv1.KeyClaim{}
	if err := proto.Unmarshal(row.Value, claim); err != nil {
		return nil, errors.Wrapf(err, "decode row %s", row.Name)
	}
	return claim, nil
}

// wrote reports whether this process wrote a row.
func (r *Register) wrote(row *teaselv1.KeyClaim) bool {
	return row.GetEntry() == r.entry && row.GetIncarnation() == r.incarnation
}

// settle finds out what became of the claim that holds the row. Released means
// that its claimant itself said that it never used it and never will.
func (r *Register) settle(ctx context.Context, row *teaselv1.KeyClaim, claim *Claim, use Request) (released bool, result *Result) {
	if r.wrote(row) && r.wasReleased(row.GetNumber()) {
		return true, nil
	}
	if !bytes.Equal(row.GetDigest(), claim.digest[:]) {
		return false, refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyReused, "the key was used for another request")
	}
	if !r.wrote(row) && r.ask != nil {
		response := r.askUntilEnded(ctx, row, use)
		switch response.GetState() {
		case teaselv1.KeyState_KEY_STATE_RELEASED:
			return true, nil
		case teaselv1.KeyState_KEY_STATE_DONE:
			return false, answered(response)
		case teaselv1.KeyState_KEY_STATE_RUNNING:
			return false, refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonRunning, "the first request with this key still runs at entry "+row.GetEntry())
		}
		if response.GetReason() != "" {
			return false, refuse(outcome.MaybeDispatchedElsewhere, outcome.Reason(response.GetReason()), "told by entry "+row.GetEntry())
		}
	}
	switch outcome.ParseKind(row.GetOutcome()) {
	case outcome.Done:
		return false, &Result{
			Outcome: outcome.FromPhase(outcome.Answered, "", ""),
			Status:  int(row.GetStatus()),
		}
	case outcome.Unknown:
		if row.GetReason() != "" {
			return false, refuse(outcome.MaybeDispatchedElsewhere, outcome.Reason(row.GetReason()), "told by the claim of entry "+row.GetEntry())
		}
	}
	return false, refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonClaimantGone, "entry "+row.GetEntry()+" claimed the key and can't say what became of it")
}

func (r *Register) wasReleased(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, is := r.released[number]
	return is
}

// askUntilEnded asks the claimant until the request has ended or ctx is done.
// It returns nil when the claimant can't be asked.
func (r *Register) askUntilEnded(ctx context.Context, row *teaselv1.KeyClaim, use Request) *teaselv1.KeyResponse {
	var last *teaselv1.KeyResponse
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, askTimeout)
		response, err := r.ask(attempt, row.GetEntry(), &teaselv1.KeyRequest{
			Service:     use.Service,
			Key:         use.Key,
			Entry:       row.GetEntry(),
			Incarnation: row.GetIncarnation(),
			Number:      row.GetNumber(),
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

// answered turns a claimant's answer into a result.
func answered(response *teaselv1.KeyResponse) *Result {
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

// HandleKeyRequest answers a peer that asks what became of a claim of this entry. While
// the request runs it waits a little for its end.
func (r *Register) HandleKeyRequest(ctx context.Context, request *teaselv1.KeyRequest) *teaselv1.KeyResponse {
	if request.GetEntry() != r.entry || request.GetIncarnation() != r.incarnation {
		return &teaselv1.KeyResponse{}
	}
	r.mu.Lock()
	claim := r.keys[newName(request.GetService(), request.GetKey())]
	r.mu.Unlock()
	if claim != nil && claim.number == request.GetNumber() {
		ctx, cancel := context.WithTimeout(ctx, answerWait)
		defer cancel()
		select {
		case <-claim.ended():
		case <-ctx.Done():
			return &teaselv1.KeyResponse{
				State: teaselv1.KeyState_KEY_STATE_RUNNING,
			}
		}
		if result := claim.outcome(); result.Outcome.Kind != outcome.NotRun {
			return told(result)
		}
	}
	if r.wasReleased(request.GetNumber()) {
		return &teaselv1.KeyResponse{
			State: teaselv1.KeyState_KEY_STATE_RELEASED,
		}
	}
	return &teaselv1.KeyResponse{}
}

func told(result Result) *teaselv1.KeyResponse {
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

// recordEnd writes a claim's end to its row as a best effort: without it, a
// repeat has to ask this process. A request that did not run gives its key up.
func (r *Register) recordEnd(claim *Claim, result Result) {
	write := platform.Write{
		Row:              claim.row,
		ExpectedRevision: claim.revision,
	}
	if result.Outcome.Kind != outcome.NotRun {
		write.Value = claim.content(&result)
	}
	r.journal.writeLater(write)
}

// sweep removes rows past their lifetime, one shard after another from a
// random one on.
func (r *Register) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for shard := rand.IntN(shards); ; shard = (shard + 1) % shards {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.sweepShard(ctx, shard)
	}
}

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
		r.journal.writeLater(platform.Write{
			Row:              row.Name,
			ExpectedRevision: row.Revision,
		})
	}
}
