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

// HeadRow is the table row that names the newest version.
const HeadRow = "configuration/head"

// SnapshotInterval is the number of versions between two stored snapshots,
// and so the most deltas that a reader without any version fetches.
const SnapshotInterval = 64

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

// ReadDeltasSince returns the steps that bring a holder of version after to head,
// oldest first. The first is a snapshot, without parent, when the holder is
// further behind than SnapshotInterval.
func ReadDeltasSince(ctx context.Context, objects platform.Objects, head *teaselv1.Head, after uint64) ([]*teaselv1.Delta, error) {
	if head.GetVersion() <= after {
		return nil, nil
	}
	var steps []*teaselv1.Delta
	if head.GetVersion()-after > SnapshotInterval {
		snapshot, err := ReadDelta(ctx, objects, head.GetSnapshotObject())
		if err != nil {
			return nil, err
		}
		steps = append(steps, snapshot)
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
	return append(steps, deltas...), nil
}

// History returns the newest versions, newest first, at most limit of them.
// Their documents are left out where they belong to a snapshot.
func History(ctx context.Context, service platform.Platform, limit int) ([]*teaselv1.Delta, error) {
	head, _, err := ReadHead(ctx, service.Table)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var deltas []*teaselv1.Delta
	for name := head.GetDeltaObject(); name != "" && len(deltas) < limit; {
		delta, err := ReadDelta(ctx, service.Objects, name)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, delta)
		name = delta.GetParentObject()
	}
	return deltas, nil
}

// DocumentsAt returns the documents of an earlier version.
func DocumentsAt(ctx context.Context, service platform.Platform, version uint64) ([]intent.Document, error) {
	head, _, err := ReadHead(ctx, service.Table)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > head.GetVersion() {
		return nil, errors.Errorf("read version %d: the newest is %d", version, head.GetVersion())
	}
	name := head.GetDeltaObject()
	for {
		delta, err := ReadDelta(ctx, service.Objects, name)
		if err != nil {
			return nil, err
		}
		if delta.GetVersion() == version {
			return documentsOf(ctx, service.Objects, headOf(name, delta))
		}
		name = delta.GetParentObject()
	}
}

// headOf returns the head row as it was when delta was the newest.
func headOf(object string, delta *teaselv1.Delta) *teaselv1.Head {
	return &teaselv1.Head{
		Version:         delta.GetVersion(),
		PublishId:       delta.GetPublishId(),
		DeltaObject:     object,
		SnapshotObject:  delta.GetSnapshotObject(),
		SnapshotVersion: delta.GetSnapshotVersion(),
		PublishedNs:     delta.GetPublishedNs(),
	}
}

func documentsOf(ctx context.Context, objects platform.Objects, head *teaselv1.Head) ([]intent.Document, error) {
	steps, err := ReadDeltasSince(ctx, objects, head, 0)
	if err != nil {
		return nil, err
	}
	var documents []intent.Document
	for _, step := range steps {
		documents = Apply(documents, step)
	}
	return documents, nil
}

// objectName returns a name that no other attempt uses, so that an attempt
// never replaces an object that a head refers to.
func objectName(kind string, delta *teaselv1.Delta) string {
	return fmt.Sprintf("configuration/%s/%020d-%s-%s", kind, delta.GetVersion(), delta.GetPublishId(), rand.Text())
}
