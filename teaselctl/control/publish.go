package control

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/publication"
)

// Proposal is a validated change of the version in force that has not been published
// yet.
type Proposal struct {
	Preview *publication.Preview

	// current is the version in force that change replaces.
	current *publication.PublishedState
	change  publication.Change
}

// Propose prepares the publication of documents. Drains in force that documents
// does not contain are kept. If expectedVersion is not 0 and differs from the version
// in force, Propose returns a *publication.ConflictError.
func (c *Client) Propose(ctx context.Context, expectedVersion uint64, documents []intent.Document) (*Proposal, error) {
	current, err := c.publisher.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	if expectedVersion != 0 && expectedVersion != current.Head.GetVersion() {
		return nil, c.conflictError(ctx, expectedVersion, current)
	}
	return newProposal(current, withDrains(documents, current.Documents))
}

// conflictError returns an error stating that the version in force is not
// expectedVersion. The error names the author of the newest version if the history can
// be read.
func (c *Client) conflictError(ctx context.Context, expectedVersion uint64, current *publication.PublishedState) error {
	conflict := &publication.ConflictError{
		Expected: expectedVersion,
		Actual:   current.Head.GetVersion(),
		Author:   "an unknown author",
	}
	if versions, err := c.History(ctx, 1); err == nil && len(versions) == 1 {
		conflict.Author = versions[0].Author
	}
	return conflict
}

// newProposal validates documents against the version in force and computes the
// preview of the change.
func newProposal(current *publication.PublishedState, documents []intent.Document) (*Proposal, error) {
	preview, err := publication.PreviewChange(current, documents)
	if err != nil {
		return nil, err
	}
	return &Proposal{
		Preview: preview,
		current: current,
		change: publication.Change{
			Documents: documents,
		},
	}, nil
}

// withDrains returns documents, followed by the drain documents of inForce whose
// names do not occur in documents.
func withDrains(documents, inForce []intent.Document) []intent.Document {
	next := slices.Clone(documents)
	for _, doc := range inForce {
		if strings.HasPrefix(doc.Name, intent.DrainPrefix) && !containsDocument(documents, doc.Name) {
			next = append(next, doc)
		}
	}
	return next
}

// containsDocument reports whether documents contains one with the given name.
func containsDocument(documents []intent.Document, name string) bool {
	return slices.ContainsFunc(documents, func(doc intent.Document) bool { return doc.Name == name })
}

// Publish publishes a proposal under a publish ID, which may be empty, and returns
// the new version. If one of the latest versions was already published under this ID,
// Publish returns that version. If the proposal changes no document, Publish returns the
// version in force. See publication.Publisher.Publish for the errors.
func (c *Client) Publish(ctx context.Context, proposal *Proposal, id string) (uint64, error) {
	proposal.change.ID = id
	return c.publisher.Publish(ctx, proposal.current, proposal.change)
}

const (
	// maxOfferedEntries is the maximum number of entries that receive a published
	// delta directly from teaselctl.
	maxOfferedEntries = 8
	// offerTimeout is the time limit of offerDelta, which calls these entries
	// concurrently.
	offerTimeout = 2 * time.Second
)

// offerDelta sends the delta of a published version to the first maxOfferedEntries
// entries, so that the version reaches all entries even if the platform fails right
// after accepting it. Errors are ignored: an entry that cannot be reached gets the
// delta from its peers or the platform.
func (c *Client) offerDelta(ctx context.Context, delta *teaselv1.Delta) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range c.settings.EntryAddresses[:min(len(c.settings.EntryAddresses), maxOfferedEntries)] {
		group.Go(func() {
			_, _ = c.entryClient(address).Offer(ctx, newRequest(c, &teaselv1.OfferRequest{
				Step: delta,
			}))
		})
	}
	group.Wait()
}

// ProposeDrain prepares a version that adds a drain, or replaces the drain of the
// same target that is in force.
func (c *Client) ProposeDrain(ctx context.Context, drain intent.Drain) (*Proposal, error) {
	content, err := toml.Marshal(drain)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain")
	}
	current, err := c.publisher.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	return newProposal(current, append(withoutDocument(current.Documents, drainDocumentName(drain)), intent.Document{
		Name:    drainDocumentName(drain),
		Content: bytes.TrimSpace(content),
	}))
}

// ProposeUndrain prepares a version that removes a drain. It fails if the drain is
// not in force.
func (c *Client) ProposeUndrain(ctx context.Context, drain intent.Drain) (*Proposal, error) {
	current, err := c.publisher.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	if !containsDocument(current.Documents, drainDocumentName(drain)) {
		return nil, errors.Errorf("undrain: no drain of %s %s is in force", drain.Kind, drain.Name)
	}
	return newProposal(current, withoutDocument(current.Documents, drainDocumentName(drain)))
}

// ProposeRollback prepares a new version with the documents of an earlier one, but
// with the drains that are in force now, so that rolling back an unrelated change
// neither ends a drain nor brings back one that has ended.
func (c *Client) ProposeRollback(ctx context.Context, version uint64) (*Proposal, error) {
	documents, err := publication.DocumentsAt(ctx, c.publisher.Platform, version)
	if err != nil {
		return nil, err
	}
	current, err := c.publisher.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	documents = slices.DeleteFunc(documents, func(doc intent.Document) bool {
		return strings.HasPrefix(doc.Name, intent.DrainPrefix)
	})
	return newProposal(current, withDrains(documents, current.Documents))
}

// withoutDocument returns a copy of documents without the one with the given name.
func withoutDocument(documents []intent.Document, name string) []intent.Document {
	return slices.DeleteFunc(slices.Clone(documents), func(doc intent.Document) bool { return doc.Name == name })
}

// drainDocumentName returns the name of the document that holds a drain. It depends
// only on what is drained, so that a new drain of the same target replaces it.
func drainDocumentName(drain intent.Drain) string {
	name := string(drain.Kind) + "-" + drain.Name
	if drain.Service != "" {
		name += "-" + drain.Service
	}
	return intent.DrainPrefix + name + ".toml"
}

// PublishedVersion describes one version of the publication history.
type PublishedVersion struct {
	Version uint64 `json:"version"`
	// Parent is the previous version, 0 for the first one. Changed lists the names of
	// the documents that were added or changed since then, Removed those that were
	// removed.
	Parent    uint64    `json:"parent"`
	Author    string    `json:"author"`
	Published time.Time `json:"published"`
	PublishID string    `json:"publish-id"`
	Changed   []string  `json:"changed,omitempty"`
	Removed   []string  `json:"removed,omitempty"`
}

// History returns up to limit of the latest versions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]PublishedVersion, error) {
	deltas, err := publication.History(ctx, c.publisher.Platform, limit)
	if err != nil {
		return nil, err
	}
	versions := make([]PublishedVersion, 0, len(deltas))
	for _, delta := range deltas {
		versions = append(versions, publishedVersion(delta))
	}
	return versions, nil
}

// publishedVersion describes the version that a delta leads to.
func publishedVersion(delta *teaselv1.Delta) PublishedVersion {
	version := PublishedVersion{
		Version:   delta.GetVersion(),
		Parent:    delta.GetParent(),
		Author:    delta.GetAuthor(),
		Published: time.Unix(0, delta.GetPublishedNs()).UTC(),
		PublishID: delta.GetPublishId(),
		Removed:   delta.GetRemoved(),
	}
	for _, doc := range delta.GetChanged() {
		version.Changed = append(version.Changed, doc.GetName())
	}
	return version
}
