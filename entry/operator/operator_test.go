package operator

import (
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/configuration"
	"github.com/teaselstack/teaselstack/intent"
)

// TestOfferAppliesOnlyNextVersion checks that an offered version is applied only if its
// parent is the current version.
func TestOfferAppliesOnlyNextVersion(t *testing.T) {
	server := &Server{
		Keeper: &configuration.Keeper{},
	}
	offer := func(version, parent uint64) uint64 {
		response, err := server.Offer(t.Context(), connect.NewRequest(&teaselv1.OfferRequest{
			Step: &teaselv1.Delta{
				Version: version,
				Parent:  parent,
				Changed: []*teaselv1.Document{{
					Name:    intent.DeploymentDocument,
					Content: []byte("name = \"t\"\n[objective]\nlatency = 1\n[[region]]\nname = \"1\"\n[[failure-domain]]\nname = \"a\"\nregion = \"1\"\n[[entry]]\nname = \"e\"\nfailure-domain = \"a\"\n"),
				}},
			},
		}))
		assert.NilError(t, err)
		return response.Msg.GetConfigurationVersion()
	}
	assert.Equal(t, offer(1, 0), uint64(1))
	assert.Equal(t, offer(2, 1), uint64(2))
	assert.Equal(t, offer(9, 8), uint64(2), "the parent is missing")
	assert.Equal(t, offer(1, 0), uint64(2), "an older version was applied")
}
