package lookup_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/lookup"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/publication"
)

// newServer returns a look-up server for the intents of the example kasikirjoitus. All
// seven entries serve, and entry-4 is the only home of every service.
func newServer(tb testing.TB) *lookup.Server {
	tb.Helper()
	documents, err := publication.ReadDocuments(os.DirFS("../../examples/kasikirjoitus/intents"))
	assert.NilError(tb, err)
	configuration, err := intent.Compile(1, documents)
	assert.NilError(tb, err)
	var members []*teaselv1.Member
	for i, entry := range configuration.Deployment.Entries {
		members = append(members, &teaselv1.Member{
			Name:          entry.Name,
			Region:        configuration.RegionOf(entry.FailureDomain),
			FailureDomain: entry.FailureDomain,
			CallerAddress: fmt.Sprintf("127.0.0.1:%d", 20010+i),
		})
	}
	homes := []steering.RankedCandidate{{
		Candidate: steering.Candidate{
			Home: "entry-4",
		},
		Allowed: true,
	}}
	return &lookup.Server{
		Configuration:  func() *intent.Configuration { return configuration },
		RankHomes:      func(*intent.Service, string) []steering.RankedCandidate { return homes },
		ServingEntries: func() []*teaselv1.Member { return members },
		ServingEntry: func(name string) *teaselv1.Member {
			for _, member := range members {
				if member.GetName() == name {
					return member
				}
			}
			return nil
		},
		IssueTicket: func() string { return "ticket:entry-1:1:1" },
		Region:      "fi-central",
	}
}

// lookUp calls server.Lookup directly, without a transport.
func lookUp(server *lookup.Server, request *teaselv1.LookupRequest) (*teaselv1.LookupResponse, error) {
	response, err := server.Lookup(context.Background(), connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// TestHomeIsNamedFirstAndTicketsAreIssued checks that the allowed home comes first in an
// answer, and that the requested tickets are issued, but none by a stopping entry.
func TestHomeIsNamedFirstAndTicketsAreIssued(t *testing.T) {
	server := newServer(t)
	answer, err := lookUp(server, &teaselv1.LookupRequest{
		Service:       "agent-desk",
		CallerAddress: "10.2.0.1",
		Tickets:       2,
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.GetReason(), "client block in se-east")
	assert.Equal(t, answer.GetEntries()[0].GetName(), "entry-4")
	assert.Equal(t, len(answer.GetTickets()), 2)

	server.Stopping = func() bool { return true }
	answer, err = lookUp(server, &teaselv1.LookupRequest{
		Service:       "agent-desk",
		CallerAddress: "10.2.0.1",
		Tickets:       2,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.GetTickets()), 0, "a stopping entry issued tickets")
}

// TestInvalidLookupsAreRefused checks the error codes of invalid look-ups, and that each
// error says that nothing was run.
func TestInvalidLookupsAreRefused(t *testing.T) {
	server := newServer(t)
	for name, test := range map[string]struct {
		request *teaselv1.LookupRequest
		code    connect.Code
	}{
		"unknown service": {
			request: &teaselv1.LookupRequest{
				Service:       "nothing",
				CallerAddress: "10.2.0.1",
			},
			code: connect.CodeNotFound,
		},
		"no address": {
			request: &teaselv1.LookupRequest{
				Service: "agent-desk",
			},
			code: connect.CodeInvalidArgument,
		},
		"too many tickets": {
			request: &teaselv1.LookupRequest{
				Service:       "agent-desk",
				CallerAddress: "10.2.0.1",
				Tickets:       65, // one more than maxTickets
			},
			code: connect.CodeInvalidArgument,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := lookUp(server, test.request)
			assert.Equal(t, connect.CodeOf(err), test.code)
			assert.ErrorContains(t, err, "not run")
		})
	}
}

// BenchmarkLookup measures the computation of an answer, without the transport.
func BenchmarkLookup(b *testing.B) {
	server := newServer(b)
	request := &teaselv1.LookupRequest{
		Service:       "agent-desk",
		CallerAddress: "10.2.0.1",
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := lookUp(server, request); err != nil {
			b.Fatal(err)
		}
	}
}
