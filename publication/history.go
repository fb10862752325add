package publication

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
)

// HeadRow is the name of the table row that refers to the newest version.
const HeadRow = "configuration/head"

// SnapshotInterval is the number of versions from one stored snapshot to the next.
// A reader that is further behind than that starts from the newest snapshot, so it
// never fetches more than SnapshotInterval deltas.
const SnapshotInterval = 64

// ReadHead returns the head row and its revision, or platform.ErrNotFound before
// the first publication.
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

// ReadDelta returns the delta or snapshot stored under an object name.
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

// ReadDeltasSince returns the deltas that lead from version after to the version of
// head, oldest first. If there are more than SnapshotInterval of them, the first
// element is the newest snapshot, which takes the place of the deltas up to its
// version. A snapshot has no parent.
func ReadDeltasSince(ctx context.Context, objects platform.Objects, head *teaselv1.Head, after uint64) ([]*teaselv1.Delta, error) {
	if head.GetVersion() <= after {
		return nil, nil
	}
	var result []*teaselv1.Delta
	if head.GetVersion()-after > SnapshotInterval {
		snapshot, err := ReadDelta(ctx, objects, head.GetSnapshotObject())
		if err != nil {
			return nil, err
		}
		result = append(result, snapshot)
		after = head.GetSnapshotVersion()
	}
	var deltas []*teaselv1.Delta
	for name := head.GetDeltaObject(); head.GetVersion()-uint64(len(deltas)) > after; {
		delta, err := ReadDelta(ctx, objects, name)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, delta)
		name = delta.GetParentObject()
	}
	slices.Reverse(deltas)
	return append(result, deltas...), nil
}

// History returns the deltas of the newest versions, newest first and at most limit
// of them. It returns none before the first publication. Each delta holds only the documents that changed in its version, even if the version also has a
// snapshot.
func History(ctx context.Context, target platform.Platform, limit int) ([]*teaselv1.Delta, error) {
	head, _, err := ReadHead(ctx, target.Table)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var deltas []*teaselv1.Delta
	for name := head.GetDeltaObject(); name != "" && len(deltas) < limit; {
		delta, err := ReadDelta(ctx, target.Objects, name)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, delta)
		name = delta.GetParentObject()
	}
	return deltas, nil
}

// DocumentsAt returns all documents of a published version.
func DocumentsAt(ctx context.Context, target platform.Platform, version uint64) ([]intent.Document, error) {
	head, _, err := ReadHead(ctx, target.Table)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > head.GetVersion() {
		return nil, errors.Errorf("read version %d: the newest is %d", version, head.GetVersion())
	}
	name := head.GetDeltaObject()
	for {
		delta, err := ReadDelta(ctx, target.Objects, name)
		if err != nil {
			return nil, err
		}
		if delta.GetVersion() == version {
			return readDocumentsAtHead(ctx, target.Objects, headForDelta(name, delta))
		}
		name = delta.GetParentObject()
	}
}

// headForDelta returns a head row that refers to delta as the newest version. The
// delta is stored under the name object.
func headForDelta(object string, delta *teaselv1.Delta) *teaselv1.Head {
	return &teaselv1.Head{
		Version:         delta.GetVersion(),
		PublishId:       delta.GetPublishId(),
		DeltaObject:     object,
		SnapshotObject:  delta.GetSnapshotObject(),
		SnapshotVersion: delta.GetSnapshotVersion(),
		PublishedNs:     delta.GetPublishedNs(),
	}
}

// readDocumentsAtHead returns all documents of the version that a head row refers
// to.
func readDocumentsAtHead(ctx context.Context, objects platform.Objects, head *teaselv1.Head) ([]intent.Document, error) {
	deltas, err := ReadDeltasSince(ctx, objects, head, 0)
	if err != nil {
		return nil, err
	}
	var documents []intent.Document
	for _, delta := range deltas {
		documents = Apply(documents, delta)
	}
	return documents, nil
}

// newObjectName returns a unique name for a delta or snapshot, so that a failed
// publication never overwrites an object that the head row refers to.
func newObjectName(kind string, delta *teaselv1.Delta) string {
	return fmt.Sprintf("configuration/%s/%020d-%s-%s", kind, delta.GetVersion(), delta.GetPublishId(), rand.Text())
}
