// Package publication puts a set of documents into force: it stores the step
// from the version before in the platform's object store, then moves the head
// row of the table on the condition that nobody else moved it meanwhile.
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

// ConflictError says that another operator published first.
type ConflictError struct {
	// Expected is the version that the publisher built on.
	Expected uint64
	// Actual is the version now in force.
	Actual uint64
	// Author published Actual.
	Author string
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("publish: version %d by %s came first; this change was made on version %d",
		e.Actual, e.Author, e.Expected)
}

// UnknownOutcomeError says that the store's answers were lost, so that it is open
// whether the change took effect. Publishing again under the same ID settles it.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

// Error names the ID to repeat with.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publish: whether it took effect is unknown, repeat it with --publish-id %s: %v", e.ID, e.Cause)
}

// Unwrap returns the store's last error.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// Publisher publishes to a platform.
type Publisher struct {
	Platform platform.Platform
	Author   string
	// OnPublished is called with the step to a version that was just put in force;
	// it may be nil.
	OnPublished func(ctx context.Context, step *teaselv1.Delta)
}

// PublishedState is the newest published state.
type PublishedState struct {
	Head      *teaselv1.Head
	Revision  platform.Revision
	Documents []intent.Document
}

// Change is what an operator wants in force.
type Change struct {
	// ID makes the change safe to repeat: a version published under it is
	// returned, not published again. The empty ID stands for a new one.
	ID        string
	Documents []intent.Document
}

const (
	// attempts bounds how often a write is tried.
	attempts = 4
	// attemptPause is the time between two tries.
	attemptPause = 200 * time.Millisecond
	// searchDepth is how many versions back a publish ID is looked for.
	searchDepth = 256
)

// ReadState returns the newest published state; version 0 when there is none.
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
	documents, err := documentsOf(ctx, p.Platform.Objects, head)
	if err != nil {
		return nil, err
	}
	return &PublishedState{
		Head:      head,
		Revision:  revision,
		Documents: documents,
	}, nil
}

// Publish puts a change into force in place of current, and returns the new
// version, or the current one when nothing differs. It returns
// document.Errors for faults, a *ConflictError when another version came first
// and an *UnknownError when lost answers leave the end open.
func (p *Publisher) Publish(ctx context.Context, current *PublishedState, change Change) (uint64, error) {
	if change.ID == "" {
		change.ID = rand.Text()
	} else if found, err := p.find(ctx, current.Head, change.ID, searchDepth); found != 0 || err != nil {
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
	head, err := p.store(ctx, current, delta, change.Documents)
	if err != nil {
		return 0, err
	}
	version, err := p.moveHead(ctx, current, head)
	if err == nil && p.OnPublished != nil {
		p.OnPublished(ctx, delta)
	}
	return version, err
}

// store writes the objects of a version, and returns the head that names them.
// Nothing refers to them before the head moves.
func (p *Publisher) store(ctx context.Context, current *PublishedState, delta *teaselv1.Delta, documents []intent.Document) (*teaselv1.Head, error) {
	object := objectName("delta", delta)
	delta.SnapshotObject = current.Head.GetSnapshotObject()
	delta.SnapshotVersion = current.Head.GetSnapshotVersion()
	switch {
	case delta.GetParent() == 0:
		delta.SnapshotObject = object
		delta.SnapshotVersion = delta.GetVersion()
	case delta.GetVersion() >= delta.GetSnapshotVersion()+SnapshotInterval:
		delta.SnapshotObject = objectName("snapshot", delta)
		delta.SnapshotVersion = delta.GetVersion()
		snapshot := Diff(nil, documents)
		snapshot.Version = delta.GetVersion()
		snapshot.PublishId = delta.GetPublishId()
		snapshot.PublishedNs = delta.GetPublishedNs()
		snapshot.Author = delta.GetAuthor()
		if err := p.put(ctx, delta.GetSnapshotObject(), snapshot); err != nil {
			return nil, err
		}
	}
	return headOf(object, delta), p.put(ctx, object, delta)
}

// put stores an object. A repeat writes the same content, so that a lost
// answer does no harm.
func (p *Publisher) put(ctx context.Context, name string, delta *teaselv1.Delta) error {
	content, err := proto.Marshal(delta)
	if err != nil {
		return errors.Wrapf(err, "encode object %s", name)
	}
	for range attempts {
		if err = p.Platform.Objects.Put(ctx, name, content); err == nil {
			return nil
		}
		if !pause(ctx) {
			break
		}
	}
	return errors.Wrapf(err, "publish: nothing changed: store object %s", name)
}

// moveHead writes the head row. The write is conditional, so a repeat after a
// lost answer does no harm; what came of it is read back.
func (p *Publisher) moveHead(ctx context.Context, current *PublishedState, head *teaselv1.Head) (uint64, error) {
	value, err := proto.Marshal(head)
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	for range attempts {
		_, err = p.Platform.Table.Commit(ctx, []platform.Write{{
			Row:              HeadRow,
			ExpectedRevision: current.Revision,
			Value:            value,
		}})
		if err == nil {
			return head.GetVersion(), nil
		}
		settled, version, settleErr := p.settle(ctx, current, head)
		if settled {
			return version, settleErr
		}
		if !pause(ctx) {
			break
		}
	}
	return 0, &UnknownOutcomeError{
		ID:    head.GetPublishId(),
		Cause: err,
	}
}

// settle reads back what came of a write of head. It is not settled while the
// row still is the one that the change was made on, or cannot be read.
func (p *Publisher) settle(ctx context.Context, current *PublishedState, head *teaselv1.Head) (bool, uint64, error) {
	actual, revision, err := ReadHead(ctx, p.Platform.Table)
	if err != nil || revision == current.Revision {
		return false, 0, nil
	}
	found, err := p.find(ctx, actual, head.GetPublishId(), actual.GetVersion()-current.Head.GetVersion())
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

// find returns the version that was published under an ID, looking back over
// up to depth versions from head, or 0.
func (p *Publisher) find(ctx context.Context, head *teaselv1.Head, id string, depth uint64) (uint64, error) {
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

// pause waits before the next attempt, and reports whether there may be one.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(attemptPause):
		return true
	}
}
