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

// Proposal is a change that is checked and not yet in force.
type Proposal struct {
	Preview *publication.Preview

	current *publication.Current
	change  publication.Change
}

// Propose prepares the publication of documents; drains in force stay. A base
// other than 0 must be the version in force, or it is a
// *publication.ConflictError.
func (o *Client) Propose(ctx context.Context, base uint64, documents []intent.Document) (*Proposal, error) {
	current, err := o.publisher.Read(ctx)
	if err != nil {
		return nil, err
	}
	if base != 0 && base != current.Head.GetVersion() {
		return nil, o.conflict(ctx, base, current)
	}
	return propose(current, withDrains(documents, current.Documents))
}

func (o *Client) conflict(ctx context.Context, base uint64, current *publication.Current) error {
	conflict := &publication.ConflictError{
		Expected: base,
		Actual:   current.Head.GetVersion(),
		Author:   "an unknown author",
	}
	if versions, err := o.History(ctx, 1); err == nil && len(versions) == 1 {
		conflict.Author = versions[0].Author
	}
	return conflict
}

func propose(current *publication.Current, documents []intent.Document) (*Proposal, error) {
	preview, err := publication.Review(current, documents)
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

// withDrains returns documents with the drains of others that it doesn't name.
func withDrains(documents, others []intent.Document) []intent.Document {
	next := slices.Clone(documents)
	for _, doc := range others {
		if strings.HasPrefix(doc.Name, intent.DrainPrefix) && !named(documents, doc.Name) {
			next = append(next, doc)
		}
	}
	return next
}

func named(documents []intent.Document, name string) bool {
	return slices.ContainsFunc(documents, func(doc intent.Document) bool { return doc.Name == name })
}

// Publish puts a proposal into force under a publish ID, which may be empty.
func (o *Client) Publish(ctx context.Context, proposal *Proposal, id string) (uint64, error) {
	proposal.change.ID = id
	return o.publisher.Publish(ctx, proposal.current, proposal.change)
}

const (
	// maxOffers is how many entries are handed a published step.
	maxOffers = 8
	// offerTimeout bounds one of them.
	offerTimeout = 2 * time.Second
)

// offer hands the step to an accepted version to some entries, so that it
// reaches all of them even if the platform fails now. An entry that can't be
// reached learns it from the others.
func (o *Client) offer(ctx context.Context, step *teaselv1.Delta) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range o.settings.EntryAddresses[:min(len(o.settings.EntryAddresses), maxOffers)] {
		group.Go(func() {
			_, _ = o.entry(address).Offer(ctx, authorized(o, &teaselv1.OfferRequest{
				Step: step,
			}))
		})
	}
	group.Wait()
}

// ProposeDrain prepares a drain.
func (o *Client) ProposeDrain(ctx context.Context, drain intent.Drain) (*Proposal, error) {
	content, err := toml.Marshal(drain)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain")
	}
	current, err := o.publisher.Read(ctx)
	if err != nil {
		return nil, err
	}
	return propose(current, append(without(current.Documents, drainDocument(drain)), intent.Document{
		Name:    drainDocument(drain),
		Content: bytes.TrimSpace(content),
	}))
}

// ProposeUndrain prepares a version without a drain.
func (o *Client) ProposeUndrain(ctx context.Context, drain intent.Drain) (*Proposal, error) {
	current, err := o.publisher.Read(ctx)
	if err != nil {
		return nil, err
	}
	if !named(current.Documents, drainDocument(drain)) {
		return nil, errors.Errorf("undrain: no drain of %s %s is in force", drain.Kind, drain.Name)
	}
	return propose(current, without(current.Documents, drainDocument(drain)))
}

// ProposeRollback prepares a new version with the documents of an earlier one.
// Drains are left as they are in force now: what leaves must not come back by
// a roll-back of something else.
func (o *Client) ProposeRollback(ctx context.Context, version uint64) (*Proposal, error) {
	documents, err := publication.DocumentsAt(ctx, o.publisher.Platform, version)
	if err != nil {
		return nil, err
	}
	current, err := o.publisher.Read(ctx)
	if err != nil {
		return nil, err
	}
	documents = slices.DeleteFunc(documents, func(doc intent.Document) bool {
		return strings.HasPrefix(doc.Name, intent.DrainPrefix)
	})
	return propose(current, withDrains(documents, current.Documents))
}

func without(documents []intent.Document, name string) []intent.Document {
	return slices.DeleteFunc(slices.Clone(documents), func(doc intent.Document) bool { return doc.Name == name })
}

func drainDocument(drain intent.Drain) string {
	name := string(drain.Kind) + "-" + drain.Name
	if drain.Service != "" {
		name += "-" + drain.Service
	}
	return intent.DrainPrefix + name + ".toml"
}

// PublishedVersion is one line of the history.
type PublishedVersion struct {
	Version   uint64    `json:"version"`
	Parent    uint64    `json:"parent"`
	Author    string    `json:"author"`
	Published time.Time `json:"published"`
	PublishID string    `json:"publish-id"`
	Changed   []string  `json:"changed,omitempty"`
	Removed   []string  `json:"removed,omitempty"`
}

// History returns the newest versions, newest first.
func (o *Client) History(ctx context.Context, limit int) ([]PublishedVersion, error) {
	deltas, err := publication.History(ctx, o.publisher.Platform, limit)
	if err != nil {
		return nil, err
	}
	versions := make([]PublishedVersion, 0, len(deltas))
	for _, delta := range deltas {
		versions = append(versions, publishedVersion(delta))
	}
	return versions, nil
}

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
