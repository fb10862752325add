package document_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/document"
)

type region struct {
	Name    string           `toml:"name"`
	MaxRate float64          `toml:"max-rate"`
	Link    document.BitRate `toml:"link"`
}

type sample struct {
	Name    string            `toml:"name"`
	Timeout document.Duration `toml:"timeout"`
	Regions []region          `toml:"region"`
}

// TestErrorsNameFileLineAndKey checks the position in the error for each kind of
// invalid document.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, test := range map[string]struct {
		content string
		want    string
	}{
		"unknown key": {
			content: "name = \"a\"\n\n[[region]]\nnmae = \"b\"\n",
			want:    "a.toml:4: region.nmae: unknown key",
		},
		"wrong type": {
			content: "name = 3\n",
			want:    "a.toml:1: name: ",
		},
		"wrong duration": {
			content: "name = \"a\"\ntimeout = \"5 apples\"\n",
			want:    "a.toml:2: timeout: ",
		},
		"wrong rate": {
			content: "[[region]]\nlink = \"fast\"\n",
			want:    "a.toml:2: region.link: ",
		},
		"syntax": {
			content: "name = \n",
			want:    "a.toml:1: ",
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := document.Decode("a.toml", []byte(test.content), &sample{})
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestKeyLine looks up the lines of top-level keys, of keys in a table of an array,
// of the table itself and of an absent key.
func TestKeyLine(t *testing.T) {
	content := []byte("name = \"a\"\n\n[[region]]\nname = \"b\"\n\n[[region]]\nname = \"c\"\nmax-rate = 3\n")
	assert.Equal(t, document.KeyLine(content, "name"), 1)
	assert.Equal(t, document.KeyLine(content, "region[0].name"), 4)
	assert.Equal(t, document.KeyLine(content, "region[1].max-rate"), 8)
	assert.Equal(t, document.KeyLine(content, "region[1]"), 6)
	assert.Equal(t, document.KeyLine(content, "absent"), 0)
}
