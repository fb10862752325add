package proof_test

import (
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/teaselstack/teaselstack/measure/proof"
)

// TestPageNamesTestsThatExist checks that the source tree contains every test that
// docs/PROOFS.md names.
func TestPageNamesTestsThatExist(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(root + "/docs/PROOFS.md")
	assert.NilError(t, err)
	table, err := proof.ParsePage(string(page))
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rows), 8)
	assert.Equal(t, len(table.Faults), 9)
	missing, err := table.MissingTests(os.DirFS(root))
	assert.NilError(t, err)
	assert.Equal(t, len(missing), 0, "the tree lacks %v", missing)
}

// samplePage contains a table of proofs between two other tables.
const samplePage = `# Page

| other | table |
|---|---|
| a | b |

| promise | process dies | store down |
|---|---|---|
| caps hold | ` + "`entry/slot.TestCap`, `entry/slot.TestGone`" + ` | not proved: no fake yet |
| runs once | ` + "`entry/key.TestOnce`" + ` | ` + "`entry/slot.TestCap`" + ` |

| more | text |
`

// TestMissingTestsAndGoTestArgs checks that a test counts as missing if only a file
// that is not a test file declares a function of its name, and that GoTestArgs groups
// the tests by package.
func TestMissingTestsAndGoTestArgs(t *testing.T) {
	table, err := proof.ParsePage(samplePage)
	assert.NilError(t, err)
	missing, err := table.MissingTests(fstest.MapFS{
		"entry/slot/slot_test.go": {
			Data: []byte("package slot\n\nfunc TestCap() {}\n"),
		},
		"entry/key/key_test.go": {
			Data: []byte("package key\n\nfunc TestOnce() {}\n"),
		},
		"entry/slot/other.go": {
			Data: []byte("package slot\n\nfunc TestGone() {}\n"),
		},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, missing, []proof.Test{{
		Package: "entry/slot",
		Name:    "TestGone",
	}})
	assert.DeepEqual(t, table.GoTestArgs(), []string{
		"./entry/key ^(TestOnce)$",
		"./entry/slot ^(TestCap|TestGone)$",
	})
}

func TestWriteAndErrReportResults(t *testing.T) {
	table, err := proof.ParsePage(samplePage)
	assert.NilError(t, err)
	results, err := proof.ReadResults(strings.NewReader(`{"Action":"run","Package":"github.com/teaselstack/teaselstack/entry/slot","Test":"TestCap"}
{"Action":"pass","Package":"github.com/teaselstack/teaselstack/entry/slot","Test":"TestCap"}
{"Action":"fail","Package":"github.com/teaselstack/teaselstack/entry/key","Test":"TestOnce"}
`))
	assert.NilError(t, err)
	var text strings.Builder
	assert.NilError(t, table.Write(&text, results))
	golden.Assert(t, text.String(), "table.golden")
	assert.Error(t, table.Err(results), "proofs: entry/key.TestOnce failed, entry/slot.TestGone not run")
}

func TestParsePageErrors(t *testing.T) {
	for name, test := range map[string]struct {
		page string
		want string
	}{
		"no table": {
			page: "text\n",
			want: "no table",
		},
		"empty cell": {
			page: "| promise | a |\n|---|---|\n| x | |\n",
			want: "neither tests",
		},
		"no reason": {
			page: "| promise | a |\n|---|---|\n| x | not proved: |\n",
			want: "neither tests",
		},
		"too few cells": {
			page: "| promise | a | b |\n|---|---|---|\n| x | not proved: y |\n",
			want: "has 1 cells, want 2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := proof.ParsePage(test.page)
			assert.ErrorContains(t, err, test.want)
		})
	}
}
