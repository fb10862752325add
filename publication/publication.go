// Package publication publishes new versions of the configuration. A version is
// stored in the platform's object store as a delta against its parent. It takes
// effect with a conditional write of the head row in the platform's table, which
// fails if another publisher has written the row since it was read.
package publication

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
)

// ConflictError reports that another operator published a version first.
type ConflictError struct {
	// Expected is the version that the rejected change was based on.
	Expected uint64
	// Actual is the newest published version.
	Actual uint64
	// Author is the operator who published Actual.
	Author string
}

// Error returns a message with both versions and the author of the newer one.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("publish: version %d by %s came first; this change was made on version %d",
		e.Actual, e.Author, e.Expected)
}

// UnknownOutcomeError reports that the writes of the head row failed and the publisher
// can't tell whether one of them took effect. Publishing the change again under the
// same ID is safe, within the limit described at Change.ID: Publish returns the existing
// version if the change took effect, and otherwise tries to publish it.
type UnknownOutcomeError struct {
	// ID is the publish ID under which to repeat the change.
	ID string
	// Cause is the last error of the store.
	Cause error
}

// Error returns a message with the publish ID under which to repeat the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publish: whether it took effect is unknown, repeat it with --publish-id %s: %v", e.ID, e.Cause)
}

// Unwrap returns the last error of the store.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// Publisher publishes versions of the configuration to a platform.
type Publisher struct {
	Platform platform.Platform
	// Author is recorded in each version that the publisher publishes.
	Author string
	// OnPublished, if not nil, is called with the delta of each version that
	// Publish publishes. It isn't called if the change was already published by an
	// earlier call, or if the documents don't differ from the current ones.
	OnPublished func(ctx context.Context, delta *teaselv1.Delta)
}

// PublishedState is the newest published version.
type PublishedState struct {
	Head *teaselv1.Head
	// Revision is the revision of the head row, which the next publication
	// expects to find unchanged.
	Revision platform.Revision
	// Documents are all documents of the version, in name order.
	Documents []intent.Document
}

// Change is the content of the next version.
type Change struct {
	// ID is the publish ID, which makes the change safe to repeat: if one of the
	// newest publishIDSearchDepth versions was published under it, Publish returns
	// that version. An empty ID is replaced by a random one.
	ID string
	// Documents are all documents of the new version, changed or not.
	Documents []intent.Document
}

const (
	// maxAttempts is the maximum number of times that a write is attempted.
	maxAttempts = 4
	// retryInterval is the pause after each failed attempt at a write.
	retryInterval = 200 * time.Millisecond
	// publishIDSearchDepth is the number of versions that are searched for the
	// publish ID of a repeated change.
	publishIDSearchDepth = 256
)

// ReadState returns the newest published version. Before the first publication
// it returns an empty state, which has version 0.
func (p *Publisher) ReadState(ctx context.Context) (*PublishedState, error) {
	head, revision, err := ReadHead(ctx, p.Platform.Table)
	if errors.Is(err, platform.ErrNotFound) {
		return &PublishedState{
			Head: &teaselv1.Head{},
		}, nil
	}
	if err != nil {
		return nil, err
	}
	documents, err := readDocumentsAtHead(ctx, p.Platform.Objects, head)
	if err != nil {
		return nil, err
	}
	return &PublishedState{
		Head:      head,
		Revision:  revision,
		Documents: documents,
	}, nil
}

// Publish publishes a change that was made on current and returns the new
// version, or the current version if the documents don't differ. The error is a
// document.Errors if the documents are invalid, a *ConflictError if another
// version was published first, and an *UnknownOutcomeError if writing the head row
// failed but may have taken effect.
func (p *Publisher) Publish(ctx context.Context, current *PublishedState, change Change) (uint64, error) {
	if change.ID == "" {
		change.ID = rand.Text()
	} else if found, err := p.findPublishID(ctx, current.Head, change.ID, publishIDSearchDepth); found != 0 || err != nil {
		return found, err
	}
	if _, _, err := intent.Check(current.Head.GetVersion()+1, change.Documents); err != nil {
		return 0, err
	}
	delta := Diff(current.Documents, change.Documents)
	if len(delta.GetChanged())+len(delta.GetRemoved()) == 0 && current.Head.GetVersion() > 0 {
		return current.Head.GetVersion(), nil
	}
	delta.Version = current.Head.GetVersion() + 1
	delta.Parent = current.Head.GetVersion()
	delta.ParentObject = current.Head.GetDeltaObject()
	delta.PublishId = change.ID
	delta.PublishedNs = time.Now().UnixNano()
	delta.Author = p.Author
	head, err := p.storeVersion(ctx, current, delta, change.Documents)
	if err != nil {
		return 0, err
	}
	version, err := p.writeHead(ctx, current, head)
	if err == nil && p.OnPublished != nil {
		p.OnPublished(ctx, delta)
	}
	return version, err
}

// storeVersion writes the delta of a version, and a snapshot when one is due. The
// delta of the first version is also its snapshot. storeVersion returns the head row
// that refers to both objects, which have no effect until that row is written.
func (p *Publisher) storeVersion(ctx context.Context, current *PublishedState, delta *teaselv1.Delta, documents []intent.Document) (*teaselv1.Head, error) {
	object := newObjectName("delta", delta)
	delta.SnapshotObject = current.Head.GetSnapshotObject()
	delta.SnapshotVersion = current.Head.GetSnapshotVersion()
	switch {
	case delta.GetParent() == 0:
		delta.SnapshotObject = object
		delta.SnapshotVersion = delta.GetVersion()
	case delta.GetVersion() >= delta.GetSnapshotVersion()+SnapshotInterval:
		delta.SnapshotObject = newObjectName("snapshot", delta)
		delta.SnapshotVersion = delta.GetVersion()
		snapshot := Diff(nil, documents)
		snapshot.Version = delta.GetVersion()
		snapshot.PublishId = delta.GetPublishId()
		snapshot.PublishedNs = delta.GetPublishedNs()
		snapshot.Author = delta.GetAuthor()
		if err := p.putObject(ctx, delta.GetSnapshotObject(), snapshot); err != nil {
			return nil, err
		}
	}
	return headForDelta(object, delta), p.putObject(ctx, object, delta)
}

// putObject stores a delta or snapshot. Retrying after a lost response is safe,
// since each attempt writes the same content.
func (p *Publisher) putObject(ctx context.Context, name string, delta *teaselv1.Delta) error {
	content, err := proto.Marshal(delta)
	if err != nil {
		return errors.Wrapf(err, "encode object %s", name)
	}
	for range maxAttempts {
		if err = p.Platform.Objects.Put(ctx, name, content); err == nil {
			return nil
		}
		if !waitRetryInterval(ctx) {
			break
		}
	}
	return errors.Wrapf(err, "publish: nothing changed: store object %s", name)
}

// writeHead writes the head row if it still has the revision of current. Retrying
// after a lost response is safe because the write is conditional; after each
// failure the row is read back to find out whether the write took effect.
func (p *Publisher) writeHead(ctx context.Context, current *PublishedState, head *teaselv1.Head) (uint64, error) {
	value, err := proto.Marshal(head)
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	for range maxAttempts {
		_, err = p.Platform.Table.Commit(ctx, []platform.Write{{
			Row:              HeadRow,
			ExpectedRevision: current.Revision,
			Value:            value,
		}})
		if err == nil {
			return head.GetVersion(), nil
		}
		known, version, outcomeErr := p.readOutcome(ctx, current, head)
		if known {
			return version, outcomeErr
		}
		if !waitRetryInterval(ctx) {
			break
		}
	}
	return 0, &UnknownOutcomeError{
		ID:    head.GetPublishId(),
		Cause: err,
	}
}

// readOutcome reads the store to find out whether a write of head took effect. It
// returns whether the outcome is known, and if so, the version that the change was
// published as or a *ConflictError. The outcome is unknown while the row still has
// the revision of current, and when the store can't be read.
func (p *Publisher) readOutcome(ctx context.Context, current *PublishedState, head *teaselv1.Head) (bool, uint64, error) {
	actual, revision, err := ReadHead(ctx, p.Platform.Table)
	if err != nil || revision == current.Revision {
		return false, 0, nil
	}
	found, err := p.findPublishID(ctx, actual, head.GetPublishId(), actual.GetVersion()-current.Head.GetVersion())
	if err != nil {
		return false, 0, nil
	}
	if found != 0 {
		return true, found, nil
	}
	conflict := &ConflictError{
		Expected: current.Head.GetVersion(),
		Actual:   actual.GetVersion(),
		Author:   "an unknown author",
	}
	if delta, err := ReadDelta(ctx, p.Platform.Objects, actual.GetDeltaObject()); err == nil {
		conflict.Author = delta.GetAuthor()
	}
	return true, 0, conflict
}

// findPublishID returns the version that was published under a publish ID, or 0
// if none of the newest depth versions was.
func (p *Publisher) findPublishID(ctx context.Context, head *teaselv1.Head, id string, depth uint64) (uint64, error) {
	name := head.GetDeltaObject()
	for range depth {
		if name == "" {
			break
		}
		delta, err := ReadDelta(ctx, p.Platform.Objects, name)
		if err != nil {
			return 0, errors.Wrapf(err, "look for publish ID %s", id)
		}
		if delta.GetPublishId() == id {
			return delta.GetVersion(), nil
		}
		name = delta.GetParentObject()
	}
	return 0, nil
}

// waitRetryInterval waits for retryInterval. It returns false if the context ends
// first.
func waitRetryInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}
