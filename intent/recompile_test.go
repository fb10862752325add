package intent_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/intent"
)

// drawDocument generates one document of a small deployment. Some are invalid.
func drawDocument(t *rapid.T) intent.Document {
	name := rapid.SampledFrom([]string{"deployment.toml", "services/a.toml", "services/b.toml", "drains/x.toml", "client-blocks/k", "client-blocks/l"}).Draw(t, "document")
	variant := rapid.IntRange(0, 3).Draw(t, "variant")
	var text string
	switch name {
	case "deployment.toml":
		text = fmt.Sprintf("name = \"d\"\n[objective]\nlatency = %d\n[[region]]\nname = \"north\"\n[[region]]\nname = \"south\"\n[[failure-domain]]\nname = \"n\"\nregion = \"north\"\n[[entry]]\nname = \"e\"\nfailure-domain = \"n\"\n", variant)
	case "drains/x.toml":
		text = fmt.Sprintf("kind = \"backend-server\"\nname = \"server-%d\"\n", variant)
	case "services/a.toml", "services/b.toml":
		text = fmt.Sprintf("name = %q\n[[region]]\nname = \"north\"\nmax-rate = 5\n[[backend-server]]\nname = \"server-%d\"\naddress = \"10.0.0.1:80\"\nfailure-domain = \"n\"\nslots = 3\n", name[len("services/"):len("services/")+1], variant)
	default:
		text = fmt.Sprintf("10.%d.0.0/16 south\n10.0.0.0/%d north\n", variant, 8+variant)
	}
	return intent.Document{
		Name:    name,
		Content: []byte(text),
	}
}

// putDocument returns a copy of documents that ends with changed, which replaces any
// document of the same name.
func putDocument(documents []intent.Document, changed intent.Document) []intent.Document {
	var next []intent.Document
	for _, doc := range documents {
		if doc.Name != changed.Name {
			next = append(next, doc)
		}
	}
	return append(next, changed)
}

// TestRecompileMatchesCompile changes, adds and removes documents at random. After
// each step, Recompile must return the same configuration or errors as Compile.
func TestRecompileMatchesCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *intent.Configuration
		var previousDocuments []intent.Document
		for version := range uint64(rapid.IntRange(1, 8).Draw(t, "steps")) {
			documents := putDocument(previousDocuments, drawDocument(t))
			for range rapid.IntRange(0, 5).Draw(t, "more") {
				documents = putDocument(documents, drawDocument(t))
			}
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				documents = documents[1:]
			}
			got, err := intent.Recompile(current, previousDocuments, version, documents)
			want, wantErr := intent.Compile(version, documents)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("Recompile returned error %v, Compile returned %v", err, wantErr)
			}
			if err != nil {
				continue
			}
			assertSameConfiguration(t, got, want)
			current, previousDocuments = got, documents
		}
	})
}

// assertSameConfiguration compares two configurations by their exported fields, and
// by look-ups of the names and addresses that drawDocument uses.
func assertSameConfiguration(t *rapid.T, got, want *intent.Configuration) {
	assert.Assert(t, reflect.DeepEqual(got.Deployment, want.Deployment))
	assert.Assert(t, reflect.DeepEqual(got.Services, want.Services))
	assert.Assert(t, reflect.DeepEqual(got.Drains, want.Drains))
	for i := range 4 {
		name := fmt.Sprintf("server-%d", i)
		assert.Assert(t, reflect.DeepEqual(got.BackendServer(name), want.BackendServer(name)), name)
		address := netip.AddrFrom4([4]byte{10, byte(i), 1, 1})
		region, _ := got.Blocks.Region(address)
		wanted, _ := want.Blocks.Region(address)
		assert.Equal(t, region, wanted, "%s", address)
	}
	assert.Assert(t, got.Entry("e") != nil && got.FailureDomain("n") != nil)
}
