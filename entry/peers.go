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

// fetchConfiguration asks a peer for the steps after a version.
func (m *machine) fetchConfiguration(ctx context.Context, address string, after uint64) ([]*teaselv1.Delta, error) {
	response, err := teaselv1.NewPeerServiceProtobufClient("http://"+address, m.peers).
		FetchConfiguration(ctx, &teaselv1.FetchConfigurationRequest{
			After: after,
		})
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	return response.GetDeltas(), nil
}

// peerClient returns a client that authenticates itself to peers.
func (m *machine) peerClient() *http.Client {
	return &http.Client{
		Transport: authenticated{
			key:  m.settings.PeerKey,
			next: m.newTransport(),
		},
	}
}

// authenticated adds the peers' key to each call.
type authenticated struct {
	key  string
	next http.RoundTripper
}

func (a authenticated) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(header.InternalKey, a.key)
	return a.next.RoundTrip(request)
}

func (m *machine) peerAddress(name string) string {
	return m.roster.PeerAddress(name)
}

// running lists the peers that are not known to be dead.
func (m *machine) running() []string {
	var names []string
	for _, peer := range m.roster.Peers() {
		if peer.State == membership.Alive || peer.State == membership.Suspect {
			names = append(names, peer.Member.GetName())
		}
	}
	return names
}

// answerable lists the entries that look-ups may name: alive, with a
// configuration that they serve, and not stopping.
func (m *machine) answerable() []*teaselv1.Member {
	var members []*teaselv1.Member
	self := []*teaselv1.Member{m.roster.Self()}
	for _, member := range slices.Concat(self, m.roster.AliveMembers()) {
		if answers(member) {
			members = append(members, member)
		}
	}
	return members
}

// answerableEntry returns one of the answerable entries by name, or nil.
func (m *machine) answerableEntry(name string) *teaselv1.Member {
	if self := m.roster.Self(); name == self.GetName() && answers(self) {
		return self
	}
	peer, known := m.roster.Peer(name)
	if !known || peer.State != membership.Alive || !answers(peer.Member) {
		return nil
	}
	return peer.Member
}

func answers(member *teaselv1.Member) bool {
	return member.GetServing() && !member.GetStopping()
}

// peerServer answers peers' calls.
type peerServer struct {
	machine *machine
}

// Heartbeat exchanges news with a peer.
func (p peerServer) Heartbeat(_ context.Context, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
	return p.machine.roster.HandleHeartbeat(request), nil
}

// FetchConfiguration returns the steps of the configuration after a version.
func (p peerServer) FetchConfiguration(_ context.Context, request *teaselv1.FetchConfigurationRequest) (*teaselv1.FetchConfigurationResponse, error) {
	return &teaselv1.FetchConfigurationResponse{
		Deltas: p.machine.keeper.DeltasSince(request.GetAfter()),
	}, nil
}

// Seat says which incarnation of an entry this one knows.
func (p peerServer) Seat(_ context.Context, request *teaselv1.SeatRequest) (*teaselv1.SeatResponse, error) {
	peer, _ := p.machine.roster.Peer(request.GetEntry())
	return &teaselv1.SeatResponse{
		Incarnation: peer.Member.GetIncarnation(),
	}, nil
}

// Key says what became of a key.
func (p peerServer) Key(ctx context.Context, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
	return p.machine.keys.HandleKeyRequest(ctx, request), nil
}
