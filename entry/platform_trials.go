package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
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
	table platform.Table
	// eras holds the era of the store, which may lose claims when it comes back from a copy.
	eras     *platform.Eras
	suspects *quarantine.List
	logger   *log.Logger
	// ended is signalled when claims may be withdrawn, see run.
	ended chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// claims holds the claims of this process, at most maxTrialClaims and those in use.
	claims map[quarantine.Digest]*trialClaim
	// withdrawn holds the lines of claims that were withdrawn from the row lately, and when.
	withdrawn map[string]time.Time
}

// trialClaim is this process's claim to the trial of a request.
type trialClaim struct {
	// token tells the claim from those of other processes.
	token string
	// granted reports whether the row has had the claim.
	granted bool
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
	// maxTrialClaims is the maximum number of claims in the row, which holds 64 KiB. The oldest go
	// first.
	maxTrialClaims = 1024
	// trialPollInterval is the time between two checks for the result of an early trial.
	trialPollInterval = 25 * time.Millisecond
	// trialRowTimeout is the timeout of reading and writing the row. A request waits for it.
	trialRowTimeout = 700 * time.Millisecond
	// maxTrialCommits is the maximum number of attempts to write the row, which other entries
	// may change at the same time.
	maxTrialCommits = 3
	// withdrawInterval is the time between two attempts to withdraw claims.
	withdrawInterval = 5 * time.Second
	// claimSettleTime is how long after the store's return from a copy no trial is granted, so
	// that the other entries have learned of the return and written again claims that the store
	// has lost.
	claimSettleTime = 10 * time.Second
	// claimRestoreTime is how long after the return an entry checks that the row has its claims,
	// at withdrawInterval. A write of the era before may still replace the row.
	claimRestoreTime = 3 * claimSettleTime
	// withdrawnLifetime is how long the lines of withdrawn claims are kept. A copy of the store
	// is some seconds old.
	withdrawnLifetime = time.Minute
)

// errClaimsUnsettled reports that claims to trials may be missing from the row, because the store
// has just come back from a copy.
var errClaimsUnsettled = errors.New("the store has just come back from a copy")

// newTrials returns trials of the requests that are quarantined in suspects.
func newTrials(store *platform.Client, suspects *quarantine.List, logger *log.Logger) *trials {
	return &trials{
		table:     store.Platform().Table,
		eras:      store.Eras,
		suspects:  suspects,
		logger:    logger,
		ended:     make(chan struct{}, 1),
		claims:    make(map[quarantine.Digest]*trialClaim),
		withdrawn: make(map[string]time.Time),
	}
}

// begin returns a trial if a quarantined request may run now, and nil otherwise. If it returns one,
// the caller must call end. While the early trial of the same content runs elsewhere, begin waits
// for its result.
func (t *trials) begin(ctx context.Context, request quarantine.Request) *quarantine.Trial {
	for {
		if trial, ok := t.suspects.BeginTrial(request); ok {
			if t.claimTrial(ctx, &trial) {
				return &trial
			}
		}
		if !t.suspects.AwaitsTrial(request) || ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(trialPollInterval):
		}
	}
}

// claimTrial reports whether a trial that has begun is this process's to run.
func (t *trials) claimTrial(ctx context.Context, trial *quarantine.Trial) bool {
	granted, err := t.claim(ctx, trial)
	if err != nil && trial.Early {
		// What is known speaks against one caller or failure domain only, not against the request.
		granted = true
	}
	event := t.logger.Info().Str("event", "trial").Str("digest", trial.Request.Caller.String()).
		Str("content", trial.Request.Content.String()).Bool("early", trial.Early).Bool("granted", granted)
	if err != nil {
		event = event.Err(err)
	}
	event.Msg("")
	if !granted {
		t.suspects.EndTrial(*trial, err == nil && !t.withdrawing(trial))
	}
	return granted
}

// withdrawing reports whether a claim of a trial waits to be withdrawn.
func (t *trials) withdrawing(trial *quarantine.Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(trial.Claims, func(digest quarantine.Digest) bool {
		claim := t.claims[digest]
		return claim != nil && claim.ended
	})
}

// end records the end of a trial, with the number of servers that the request was sent to, and
// whether one of them may have run it.
func (t *trials) end(trial *quarantine.Trial, sends int, mayHaveRun bool) {
	t.mu.Lock()
	spent := true
	for _, digest := range trial.Claims {
		claim := t.claims[digest]
		if claim == nil {
			continue
		}
		claim.sends += sends
		claim.mayHaveRun = claim.mayHaveRun || mayHaveRun
		spent = claim.spent(trial.MaxSends)
		if claim.sends == 0 {
			t.endClaim(claim)
		}
	}
	t.mu.Unlock()
	t.suspects.EndTrial(*trial, spent)
}

// spent reports whether the request must not run again, if it may be sent to maxSends servers.
func (c *trialClaim) spent(maxSends int) bool { return c.mayHaveRun || c.sends >= maxSends }

// claim reports whether a trial is this process's. After an error, the next call finds out whether
// the store has the claim.
func (t *trials) claim(ctx context.Context, trial *quarantine.Trial) (granted bool, err error) {
	tokens, usable := t.tokens(trial)
	if !usable {
		return false, nil
	}
	var held []quarantine.Digest
	unsettled := false
	err = t.updateRow(ctx, func(content []byte) []byte {
		held = nil
		// The read of the content may have been the first call since the store's return.
		if unsettled = t.returnedWithin(claimSettleTime); unsettled {
			return content
		}
		claimed := bytes.Clone(content)
		for index, digest := range trial.Claims {
			switch holder, found := findTrialClaim(content, digest); {
			case !found:
				claimed = append(claimed, claimLine(digest, tokens[index])...)
			case holder != tokens[index]:
				held = append(held, digest)
			}
		}
		if len(held) > 0 {
			return content
		}
		return lastClaims(claimed)
	})
	if err == nil && unsettled {
		err = errClaimsUnsettled
	}
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, digest := range trial.Claims {
		// The claim may have been withdrawn meanwhile.
		claim := t.claims[digest]
		unused := claim != nil && len(held) > 0 && claim.sends == 0 && !claim.ended
		switch {
		case unused || slices.Contains(held, digest):
			delete(t.claims, digest)
		case claim != nil && len(held) == 0:
			claim.granted = true
		}
	}
	return len(held) == 0, nil
}

// claimLine returns the line of a claim in the row.
func claimLine(digest quarantine.Digest, token string) string {
	return hex.EncodeToString(digest[:]) + " " + token + "\n"
}

// lastClaims returns the last maxTrialClaims lines of the row's content.
func lastClaims(content []byte) []byte {
	lines := bytes.SplitAfter(content, []byte{'\n'})
	// Behind the last line, there is an empty one.
	if drop := len(lines) - 1 - maxTrialClaims; drop > 0 {
		return bytes.Join(lines[drop:], nil)
	}
	return content
}

// returnedWithin reports whether the store has come back from a copy within a time.
func (t *trials) returnedWithin(limit time.Duration) bool {
	changedAt := t.eras.ChangedAt()
	return !changedAt.IsZero() && time.Since(changedAt) < limit
}

// tokens returns the tokens of a trial's claims, of which it makes those that are missing. usable is
// false if one of the claims has been used.
func (t *trials) tokens(trial *quarantine.Trial) (tokens []string, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable = true
	for _, digest := range trial.Claims {
		claim := t.claims[digest]
		if claim == nil {
			t.forgetSpentClaim()
			claim = &trialClaim{
				token: strconv.FormatUint(rand.Uint64(), 16),
			}
			t.claims[digest] = claim
		}
		usable = usable && !claim.ended && !claim.spent(trial.MaxSends)
		tokens = append(tokens, claim.token)
	}
	return tokens, usable
}

// forgetSpentClaim makes room for another claim. The row still has the one that is forgotten. The
// caller must hold t.mu.
func (t *trials) forgetSpentClaim() {
	if len(t.claims) < maxTrialClaims {
		return
	}
	for digest, claim := range t.claims {
		if claim.sends > 0 {
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
		if !errors.As(err, &conflict) && !errors.Is(err, platform.ErrEraChanged) {
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

// handleSuccess makes run withdraw this process's claims to the trials of a request that has
// succeeded, so that there can be others if it is quarantined again.
func (t *trials) handleSuccess(digest quarantine.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range []quarantine.Digest{digest, quarantine.EarlyClaim(digest)} {
		if claim := t.claims[name]; claim != nil {
			t.endClaim(claim)
		}
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

// run withdraws claims until ctx is done, and restores those that the store may have lost.
func (t *trials) run(ctx context.Context) {
	ticker := time.NewTicker(withdrawInterval)
	defer ticker.Stop()
	for {
		_, eraEnded := t.eras.Current()
		select {
		case <-ctx.Done():
			return
		case <-t.ended:
		case <-ticker.C:
		case <-eraEnded.Done():
		}
		t.syncClaims(ctx)
	}
}

// syncClaims removes from the row those claims of this process that have ended. One that can't be
// removed stays, and there is no further trial of its request until a later call removes it. After
// the store's return from a copy, syncClaims also adds the others that the row lacks, and removes
// those that were removed before.
func (t *trials) syncClaims(ctx context.Context) {
	restoring := t.returnedWithin(claimRestoreTime)
	ended, kept := t.ownClaims(restoring)
	if len(ended)+len(kept) == 0 {
		return
	}
	err := t.updateRow(ctx, func(content []byte) []byte {
		var claimed []byte
		for line := range bytes.Lines(content) {
			if !ended[string(line)] {
				claimed = append(claimed, line...)
			}
		}
		for digest, line := range kept {
			if _, found := findTrialClaim(claimed, digest); !found {
				claimed = append(claimed, line...)
			}
		}
		return lastClaims(claimed)
	})
	if err != nil {
		t.logger.Warn().Str("event", "trial-kept").Err(err).Msg("")
		return
	}
	t.forgetEnded(ended)
}

// ownClaims returns the lines of this process's claims that have ended. If restoring is true, these
// include the claims that were withdrawn lately, and kept holds the lines of those that have not
// ended.
func (t *trials) ownClaims(restoring bool) (ended map[string]bool, kept map[quarantine.Digest]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended, kept = make(map[string]bool), make(map[quarantine.Digest]string)
	for digest, claim := range t.claims {
		switch line := claimLine(digest, claim.token); {
		case claim.ended:
			ended[line] = true
		case restoring && claim.granted:
			kept[digest] = line
		}
	}
	now := time.Now()
	maps.DeleteFunc(t.withdrawn, func(_ string, at time.Time) bool { return now.Sub(at) >= withdrawnLifetime })
	if restoring {
		for line := range t.withdrawn {
			ended[line] = true
		}
	}
	return ended, kept
}

// forgetEnded forgets claims whose lines were removed from the row.
func (t *trials) forgetEnded(ended map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for digest, claim := range t.claims {
		if line := claimLine(digest, claim.token); ended[line] {
			delete(t.claims, digest)
			t.withdrawn[line] = now
		}
	}
}
