package publication

import (
	"io/fs"
	"path"
	"strings"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/intent"
)

// ReadDocuments reads the documents in a directory tree: deployment.toml, the
// .toml files in services/ and drains/, and the files in client-blocks/. It
// ignores all other files.
func ReadDocuments(files fs.FS) ([]intent.Document, error) {
	var documents []intent.Document
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !isPublishedDocument(name) {
			return err
		}
		content, err := fs.ReadFile(files, name)
		documents = append(documents, intent.Document{
			Name:    name,
			Content: content,
		})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "collect documents")
	}
	return documents, nil
}

// isPublishedDocument reports whether a file is a document that is published.
func isPublishedDocument(name string) bool {
	if name == intent.DeploymentDocument || strings.HasPrefix(name, intent.ClientBlocksPrefix) {
		return true
	}
	return path.Ext(name) == ".toml" &&
		(strings.HasPrefix(name, intent.ServicePrefix) || strings.HasPrefix(name, intent.DrainPrefix))
}
