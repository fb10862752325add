package main

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/header"
)

// fetchConfiguration fetches the configuration deltas after a version from the peer at
// an address.
func (n *node) fetchConfiguration(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error) {
	response, err := teaselv1.NewPeerServiceProtobufClient("http://"+address, n.peerClient).
		FetchConfiguration(ctx, &teaselv1.FetchConfigurationRequest{
			After: after,
		})
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	return response.GetDeltas(), nil
}

// newPeerClient returns an HTTP client that sends the peer key with each call.
func (n *node) newPeerClient() *http.Client {
	return &http.Client{
		Transport: authTransport{
			key:  n.settings.PeerKey,
			next: n.newTransport(),
		},
	}
}

// authTransport adds the peer key to each request.
type authTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sends a copy of the request that has the key.
func (a authTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(header.InternalKey, a.key)
	return a.next.RoundTrip(request)
}

// peerAddress returns the address at which the named peer listens for peers, or "" if the
// peer is unknown.
func (n *node) peerAddress(name string) string {
	return n.roster.PeerAddress(name)
}

// runningPeers returns the names of the peers that are alive or suspected to have
// failed.
func (n *node) runningPeers() []string {
	var names []string
	for _, peer := range n.roster.Peers() {
		if peer.State == membership.Alive || peer.State == membership.Suspect {
			names = append(names, peer.Member.GetName())
		}
	}
	return names
}

// servingMembers returns the entries that look-ups may name: this entry if it serves and
// is not stopping, and the peers that are alive, serve and are not stopping.
func (n *node) servingMembers() []*teaselv1.Member {
	var members []*teaselv1.Member
	self := []*teaselv1.Member{n.roster.Self()}
	for _, member := range slices.Concat(self, n.roster.AliveMembers()) {
		if isServing(member) {
			members = append(members, member)
		}
	}
	return members
}

// servingMember returns the named entry if servingMembers contains it, or nil.
func (n *node) servingMember(name string) *teaselv1.Member {
	if self := n.roster.Self(); name == self.GetName() && isServing(self) {
		return self
	}
	peer, known := n.roster.Peer(name)
	if !known || peer.State != membership.Alive || !isServing(peer.Member) {
		return nil
	}
	return peer.Member
}

// isServing reports whether a member serves and is not stopping.
func isServing(member *teaselv1.Member) bool {
	return member.GetServing() && !member.GetStopping()
}

// peerServer implements the peer service, which the other entries call, for a node.
type peerServer struct {
	node *node
}

// Heartbeat merges the state in a peer's heartbeat and returns this entry's state.
func (p peerServer) Heartbeat(_ context.Context, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	return p.node.roster.HandleHeartbeat(request), nil
}

// FetchConfiguration returns the configuration deltas after a version.
func (p peerServer) FetchConfiguration(_ context.Context, request *teaselv1.FetchConfigurationRequest) (*teaselv1.FetchConfigurationResponse, error) {
	return &teaselv1.FetchConfigurationResponse{
		Deltas: p.node.keeper.DeltasSince(request.GetAfter()),
	}, nil
}

// Seat returns the last known incarnation of another entry, zero if this entry knows
// none.
func (p peerServer) Seat(_ context.Context, request *teaselv1.SeatRequest) (*teaselv1.SeatResponse, error) {
	peer, _ := p.node.roster.Peer(request.GetEntry())
	return &teaselv1.SeatResponse{
		Incarnation: peer.Member.GetIncarnation(),
	}, nil
}

// Key returns the state of a claim of an idempotency key, as far as this entry knows it.
func (p peerServer) Key(ctx context.Context, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
	return p.node.keys.HandleKeyRequest(ctx, request), nil
}
