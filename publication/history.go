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

// HeadRow is the name of the table row that refers to the newest published version
// of the configuration.
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

// ReadDelta returns the delta or snapshot stored under an object name. A snapshot is
// a Delta whose parent is 0.
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

// ReadDeltasSince returns the deltas of the versions above since, up to the version
// of head, oldest first. If there are more than SnapshotInterval such versions, the
// first element is the newest snapshot, which replaces the deltas up to its version.
func ReadDeltasSince(ctx context.Context, objects platform.Objects, head *teaselv1.Head, since uint64) ([]*teaselv1.Delta, error) {
	if head.GetVersion() <= since {
		return nil, nil
	}
	var result []*teaselv1.Delta
	if head.GetVersion()-since > SnapshotInterval {
		snapshot, err := ReadDelta(ctx, objects, head.GetSnapshotObject())
		if err != nil {
			return nil, err
		}
		result = append(result, snapshot)
		since = head.GetSnapshotVersion()
	}
	var deltas []*teaselv1.Delta
	// The parent of each delta is one version below it, so the next delta to read has
	// version head.GetVersion()-len(deltas).
	for name := head.GetDeltaObject(); head.GetVersion()-uint64(len(deltas)) > since; {
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

// History returns the deltas of the newest limit versions, or of all versions if
// there are fewer, newest first. For a version that also has a snapshot it returns
// the delta, which holds only the documents that changed.
func History(ctx context.Context, source platform.Platform, limit int) ([]*teaselv1.Delta, error) {
	head, _, err := ReadHead(ctx, source.Table)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var deltas []*teaselv1.Delta
	for name := head.GetDeltaObject(); name != "" && len(deltas) < limit; {
		delta, err := ReadDelta(ctx, source.Objects, name)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, delta)
		name = delta.GetParentObject()
	}
	return deltas, nil
}

// DocumentsAt returns all documents of a published version, or
// platform.ErrNotFound before the first publication. To find the version, it reads
// the deltas of all newer versions one by one.
func DocumentsAt(ctx context.Context, source platform.Platform, version uint64) ([]intent.Document, error) {
	head, _, err := ReadHead(ctx, source.Table)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > head.GetVersion() {
		return nil, errors.Errorf("read version %d: the newest is %d", version, head.GetVersion())
	}
	name := head.GetDeltaObject()
	for {
		delta, err := ReadDelta(ctx, source.Objects, name)
		if err != nil {
			return nil, err
		}
		if delta.GetVersion() == version {
			return readDocumentsAtHead(ctx, source.Objects, headForDelta(name, delta))
		}
		name = delta.GetParentObject()
	}
}

// headForDelta returns the head row that refers to delta, stored under objectName, as
// the newest version.
func headForDelta(objectName string, delta *teaselv1.Delta) *teaselv1.Head {
	return &teaselv1.Head{
		Version:         delta.GetVersion(),
		PublishId:       delta.GetPublishId(),
		DeltaObject:     objectName,
		SnapshotObject:  delta.GetSnapshotObject(),
		SnapshotVersion: delta.GetSnapshotVersion(),
		PublishedNs:     delta.GetPublishedNs(),
	}
}

// readDocumentsAtHead returns all documents of the version that head refers to. The
// version need not be the newest, see headForDelta.
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

// newObjectName returns a unique object name for a delta or snapshot, so that a
// publication that fails or loses to a concurrent one never overwrites an object of
// another publication. kind is "delta" or "snapshot".
func newObjectName(kind string, delta *teaselv1.Delta) string {
	return fmt.Sprintf("configuration/%s/%020d-%s-%s", kind, delta.GetVersion(), delta.GetPublishId(), rand.Text())
}
