// Package publication puts a set of documents into force: it stores them in
// the platform's object store, then moves the head row of the table on the
// condition that nobody else moved it meanwhile.
package publication

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
)

// HeadRow is the table row that names the newest version.
const HeadRow = "configuration/head"

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

// Publisher publishes to a platform.
type Publisher struct {
	Platform platform.Platform
	Author   string
}

// Current is the newest published state.
type Current struct {
	Head      *teaselv1.Head
	Revision  platform.Revision
	Documents []intent.Document
}

// Read returns the newest published state; version 0 when there is none.
func (p *Publisher) Read(ctx context.Context) (*Current, error) {
	head, revision, err := ReadHead(ctx, p.Platform.Table)
	if errors.Is(err, platform.ErrNotFound) {
		return &Current{
			Head: &teaselv1.Head{},
		}, nil
	}
	if err != nil {
		return nil, err
	}
	delta, err := ReadDelta(ctx, p.Platform.Objects, head.GetSnapshotObject())
	if err != nil {
		return nil, err
	}
	return &Current{
		Head:      head,
		Revision:  revision,
		Documents: Apply(nil, delta),
	}, nil
}

// Publish puts documents into force in place of current, and returns the new
// version. It returns a *ConflictError when another version came first.
func (p *Publisher) Publish(ctx context.Context, current *Current, documents []intent.Document) (uint64, error) {
	version := current.Head.GetVersion() + 1
	if _, err := intent.Compile(version, documents); err != nil {
		return 0, err
	}
	delta := Difference(current.Documents, documents)
	delta.Version = version
	delta.Parent = current.Head.GetVersion()
	delta.PublishId = rand.Text()
	delta.PublishedNs = time.Now().UnixNano()
	delta.Author = p.Author
	snapshot := Difference(nil, documents)
	snapshot.Version = version
	snapshot.PublishId = delta.GetPublishId()
	snapshot.PublishedNs = delta.GetPublishedNs()
	snapshot.Author = p.Author
	head := &teaselv1.Head{
		Version:         version,
		PublishId:       delta.GetPublishId(),
		DeltaObject:     objectName("delta", delta),
		SnapshotObject:  objectName("snapshot", snapshot),
		SnapshotVersion: version,
		PublishedNs:     delta.GetPublishedNs(),
	}
	if err := p.put(ctx, head.GetDeltaObject(), delta); err != nil {
		return 0, err
	}
	if err := p.put(ctx, head.GetSnapshotObject(), snapshot); err != nil {
		return 0, err
	}
	return version, p.moveHead(ctx, current, head)
}

func (p *Publisher) put(ctx context.Context, name string, delta *teaselv1.Delta) error {
	content, err := proto.Marshal(delta)
	if err != nil {
		return errors.Wrapf(err, "encode object %s", name)
	}
	return p.Platform.Objects.Put(ctx, name, content)
}

// moveHead writes the head row. An answer that was lost is settled by reading
// the row back and comparing the publish id.
func (p *Publisher) moveHead(ctx context.Context, current *Current, head *teaselv1.Head) error {
	value, err := proto.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	_, commitErr := p.Platform.Table.Commit(ctx, []platform.Write{{
		Row:    HeadRow,
		Expect: current.Revision,
		Value:  value,
	}})
	if commitErr == nil {
		return nil
	}
	actual, _, err := ReadHead(ctx, p.Platform.Table)
	if err != nil {
		return errors.Wrap(commitErr, "move head; whether it took effect is unknown")
	}
	if actual.GetPublishId() == head.GetPublishId() {
		return nil
	}
	if actual.GetVersion() < head.GetVersion() {
		return errors.Wrap(commitErr, "move head")
	}
	conflict := &ConflictError{
		Expected: current.Head.GetVersion(),
		Actual:   actual.GetVersion(),
	}
	if delta, err := ReadDelta(ctx, p.Platform.Objects, actual.GetDeltaObject()); err == nil {
		conflict.Author = delta.GetAuthor()
	}
	return conflict
}

// ReadHead returns the head row, or platform.ErrNotFound before the first
// publication.
func ReadHead(ctx context.Context, table platform.Table) (*teaselv1.Head, platform.Revision, error) {
	row, err := table.Read(ctx, HeadRow)
	if err != nil {
		return nil, "", err
	}
	head := &teaselv1.Head{}
	if err := proto.Unmarshal(row.Value, head); err != nil {
		return nil, "", errors.Wrapf(err, "decode row %s", HeadRow)
	}
	return head, row.Revision, nil
}

// ReadDelta returns a stored delta or snapshot.
func ReadDelta(ctx context.Context, objects platform.Objects, name string) (*teaselv1.Delta, error) {
	content, err := objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	delta := &teaselv1.Delta{}
	if err := proto.Unmarshal(content, delta); err != nil {
		return nil, errors.Wrapf(err, "decode object %s", name)
	}
	return delta, nil
}

func objectName(kind string, delta *teaselv1.Delta) string {
	return fmt.Sprintf("configuration/%s/%020d-%s", kind, delta.GetVersion(), delta.GetPublishId())
}

// Difference returns the delta that turns one set of documents into another.
func Difference(from, to []intent.Document) *teaselv1.Delta {
	delta := &teaselv1.Delta{}
	for _, doc := range to {
		old := find(from, doc.Name)
		if old == nil || !bytes.Equal(old.Content, doc.Content) {
			delta.Changed = append(delta.Changed, &teaselv1.Document{
				Name:    doc.Name,
				Content: doc.Content,
			})
		}
	}
	for _, doc := range from {
		if find(to, doc.Name) == nil {
			delta.Removed = append(delta.Removed, doc.Name)
		}
	}
	return delta
}

// Apply returns the documents after a delta, in name order. The argument is
// left as it is; a delta without parent begins from nothing.
func Apply(documents []intent.Document, delta *teaselv1.Delta) []intent.Document {
	next := slices.Clone(documents)
	if delta.GetParent() == 0 {
		next = nil
	}
	next = slices.DeleteFunc(next, func(doc intent.Document) bool {
		return slices.Contains(delta.GetRemoved(), doc.Name)
	})
	for _, changed := range delta.GetChanged() {
		doc := intent.Document{
			Name:    changed.GetName(),
			Content: changed.GetContent(),
		}
		if old := find(next, doc.Name); old != nil {
			*old = doc
			continue
		}
		next = append(next, doc)
	}
	slices.SortFunc(next, func(a, b intent.Document) int {
		return strings.Compare(a.Name, b.Name)
	})
	return next
}

func find(documents []intent.Document, name string) *intent.Document {
	for i := range documents {
		if documents[i].Name == name {
			return &documents[i]
		}
	}
	return nil
}
