// Package site reads the directory of one deployment, as under examples/: its
// intents, the settings of its entries and of the stand-ins around them.
package site

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/publication"
)

// Site is one deployment with its surroundings.
type Site struct {
	Settings      Settings
	Documents     []intent.Document
	Configuration *intent.Configuration
	// Entries is in the order of their files.
	Entries []Entry
}

// Settings is the file standin.toml: where the stand-ins listen, and the delays
// that no intent holds.
type Settings struct {
	PlatformAddress        string `toml:"platform"`
	PlatformControlAddress string `toml:"platform-control"`
	BackendsControlAddress string `toml:"backends-control"`
	RelayAddress           string `toml:"relay"`
	RelayControlAddress    string `toml:"relay-control"`
	// PlatformRegion is the region of the platform's service.
	PlatformRegion string `toml:"platform-region"`
	// FailureDomainDelay and ClientDelay are one way.
	FailureDomainDelay document.Duration `toml:"failure-domain-delay"`
	ClientDelay        document.Duration `toml:"client-delay"`
}

// Entry is what the stand-ins need of an entry's settings.
type Entry struct {
	Name             string `toml:"name"`
	FailureDomain    string `toml:"failure-domain"`
	CallersAddress   string `toml:"callers-address"`
	PeersAddress     string `toml:"peers-address"`
	OperatorsAddress string `toml:"operators-address"`
	// SettingsFile is the settings file.
	SettingsFile string `toml:"-"`
}

// Load reads the directory of a deployment.
func Load(directory string) (*Site, error) {
	loaded := &Site{}
	file := filepath.Join(directory, "standin.toml")
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings of the stand-ins")
	}
	if err := document.Decode(file, content, &loaded.Settings); err != nil {
		return nil, err
	}
	loaded.Documents, err = publication.ReadDocuments(os.DirFS(filepath.Join(directory, "intents")))
	if err != nil {
		return nil, err
	}
	loaded.Configuration, err = intent.Compile(1, loaded.Documents)
	if err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(directory, "entries", "*.toml"))
	if err != nil {
		return nil, errors.Wrap(err, "list settings of entries")
	}
	for _, file := range files {
		entry, err := loadEntry(file)
		if err != nil {
			return nil, err
		}
		loaded.Entries = append(loaded.Entries, entry)
	}
	return loaded, nil
}

func loadEntry(file string) (Entry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings of an entry")
	}
	entry := Entry{
		SettingsFile: file,
	}
	if err := toml.Unmarshal(content, &entry); err != nil {
		return Entry{}, errors.Wrapf(err, "decode %s", file)
	}
	return entry, nil
}
