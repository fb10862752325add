package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/platform"
)

// trials lets a quarantined request run once more, so that its success can end the quarantine:
// servers that are lost together seem to fail with it, too. The entries claim the trial of a
// request in a row of the platform's store, so that there is one over all entries and restarts.
// While the store does not answer there is none.
type trials struct {
	table    platform.Table
	suspects *quarantine.List
	logger   *log.Logger
	// ended is signalled when claims may be withdrawn, see run.
	ended chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// claims holds the claims of this process, at most maxTrialClaims and those in use.
	claims map[quarantine.Digest]*trialClaim
}

// trialClaim is this process's claim to the trial of a request.
type trialClaim struct {
	// token tells the claim from those of other processes.
	token string
	// sends counts the servers that the request has been sent to.
	sends int
	// mayHaveRun reports whether one of them may have run it.
	mayHaveRun bool
	// ended reports whether the claim is to be withdrawn, so that there can be another trial: the
	// request has succeeded, here or elsewhere, or was sent to no server.
	ended bool
}

const (
	// trialsRow is the name of the row with the claims to trials.
	trialsRow = "trials"
	// maxTrialClaims is the maximum number of claims in the row. The oldest go first.
	maxTrialClaims = 256
	// maxTrialSends is the maximum number of servers that a request is sent to under one claim,
	// if the first rejects it without running it. The platform accepts three retries of a request
	// that has crashed three servers.
	maxTrialSends = 2
	// trialRowTimeout is the timeout of reading and writing the row. A request waits for it.
	trialRowTimeout = 700 * time.Millisecond
	// maxTrialCommits is the maximum number of attempts to write the row, which other entries
	// may change at the same time.
	maxTrialCommits = 3
	// withdrawInterval is the time between two attempts to withdraw claims.
	withdrawInterval = 5 * time.Second
)

// newTrials returns trials of the requests that are quarantined in suspects.
func newTrials(store *platform.Client, suspects *quarantine.List, logger *log.Logger) *trials {
	return &trials{
		table:    store.Platform().Table,
		suspects: suspects,
		logger:   logger,
		ended:    make(chan struct{}, 1),
		claims:   make(map[quarantine.Digest]*trialClaim),
	}
}

// begin reports whether a quarantined request may run now, as its trial. If so, the caller must
// call end.
func (t *trials) begin(ctx context.Context, digest quarantine.Digest) bool {
	if !t.suspects.BeginTrial(digest) {
		return false
	}
	granted, err := t.claim(ctx, digest)
	event := t.logger.Info().Str("event", "trial").Str("digest", digest.String()).Bool("granted", granted)
	if err != nil {
		event = event.Err(err)
	}
	event.Msg("")
	if !granted {
		t.suspects.EndTrial(digest, err == nil)
	}
	return granted
}

// end records the end of a trial, with the number of servers that the request was sent to, and
// whether one of them may have run it.
func (t *trials) end(digest quarantine.Digest, sends int, mayHaveRun bool) {
	t.mu.Lock()
	spent := true
	if claim := t.claims[digest]; claim != nil {
		claim.sends += sends
		claim.mayHaveRun = claim.mayHaveRun || mayHaveRun
		spent = claim.spent()
		if claim.sends == 0 {
			t.endClaim(claim)
		}
	}
	t.mu.Unlock()
	t.suspects.EndTrial(digest, spent)
}

// spent reports whether the request must not run again.
func (c *trialClaim) spent() bool { return c.mayHaveRun || c.sends >= maxTrialSends }

// claim reports whether the trial of a request is this process's. After an error, the next call
// finds out whether the store has the claim.
func (t *trials) claim(ctx context.Context, digest quarantine.Digest) (granted bool, err error) {
	t.mu.Lock()
	claim := t.claims[digest]
	if claim == nil {
		t.forgetSpentClaim()
		claim = &trialClaim{
			token: strconv.FormatUint(rand.Uint64(), 16),
		}
		t.claims[digest] = claim
	}
	usable := !claim.ended && !claim.spent()
	t.mu.Unlock()
	if !usable {
		return false, nil
	}
	err = t.updateRow(ctx, func(content []byte) []byte {
		if holder, claimed := findTrialClaim(content, digest); claimed {
			granted = holder == claim.token
			return content
		}
		granted = true
		lines := bytes.SplitAfter(content, []byte{'\n'})
		// Behind the last line, there is an empty one.
		if drop := len(lines) - maxTrialClaims; drop > 0 {
			content = bytes.Join(lines[drop:], nil)
		}
		return append(bytes.Clone(content), hex.EncodeToString(digest[:])+" "+claim.token+"\n"...)
	})
	if err == nil && !granted {
		t.mu.Lock()
		delete(t.claims, digest)
		t.mu.Unlock()
	}
	return granted && err == nil, err
}

// forgetSpentClaim makes room for another claim. The row still has the one that is forgotten. The
// caller must hold t.mu.
func (t *trials) forgetSpentClaim() {
	if len(t.claims) < maxTrialClaims {
		return
	}
	for digest, claim := range t.claims {
		if claim.spent() {
			delete(t.claims, digest)
			return
		}
	}
}

// findTrialClaim returns the token of the claim to the trial of a request in the content of the
// row.
func findTrialClaim(content []byte, digest quarantine.Digest) (token string, found bool) {
	name := hex.EncodeToString(digest[:])
	for line := range bytes.Lines(content) {
		key, token, _ := bytes.Cut(bytes.TrimSpace(line), []byte{' '})
		if string(key) == name {
			return string(token), true
		}
	}
	return "", false
}

// updateRow replaces the content of the row by what update returns for it; nil removes the row. It
// does not write the row if the content stays the same.
func (t *trials) updateRow(ctx context.Context, update func(content []byte) []byte) error {
	ctx, cancel := context.WithTimeout(ctx, trialRowTimeout)
	defer cancel()
	var err error
	for range maxTrialCommits {
		if err = t.commitRow(ctx, update); err == nil {
			return nil
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// commitRow reads the row and writes it if nothing else has since.
func (t *trials) commitRow(ctx context.Context, update func(content []byte) []byte) error {
	row, err := t.table.Read(ctx, trialsRow)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	content := update(row.Value)
	if bytes.Equal(content, row.Value) {
		return nil
	}
	_, err = t.table.Commit(ctx, []platform.Write{
		{
			Row:              trialsRow,
			ExpectedRevision: row.Revision,
			Value:            content,
		},
	})
	return err
}

// handleSuccess makes run withdraw this process's claim to the trial of a request that has
// succeeded, so that there can be another trial if it is quarantined again.
func (t *trials) handleSuccess(digest quarantine.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if claim := t.claims[digest]; claim != nil {
		t.endClaim(claim)
	}
}

// endClaim makes run withdraw a claim. The caller must hold t.mu.
func (t *trials) endClaim(claim *trialClaim) {
	claim.ended = true
	select {
	case t.ended <- struct{}{}:
	default:
		// run has yet to handle the last signal.
	}
}

// run withdraws claims until ctx is done.
func (t *trials) run(ctx context.Context) {
	ticker := time.NewTicker(withdrawInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.ended:
		case <-ticker.C:
		}
		t.withdraw(ctx)
	}
}

// withdraw removes from the row those claims of this process that have ended. One that can't be
// removed stays, and there is no further trial of its request until a later call removes it.
func (t *trials) withdraw(ctx context.Context) {
	t.mu.Lock()
	withdrawn := make(map[quarantine.Digest]string)
	for digest, claim := range t.claims {
		if claim.ended {
			withdrawn[digest] = claim.token
		}
	}
	t.mu.Unlock()
	if len(withdrawn) == 0 {
		return
	}
	err := t.updateRow(ctx, func(content []byte) []byte {
		var left []byte
		for line := range bytes.Lines(content) {
			key, token, _ := bytes.Cut(bytes.TrimSpace(line), []byte{' '})
			digest, err := hex.DecodeString(string(key))
			if err == nil && len(digest) == len(quarantine.Digest{}) && len(token) > 0 && withdrawn[quarantine.Digest(digest)] == string(token) {
				continue
			}
			left = append(left, line...)
		}
		return left
	})
	if err != nil {
		t.logger.Warn().Str("event", "trial-kept").Err(err).Msg("")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for digest := range withdrawn {
		delete(t.claims, digest)
	}
}
