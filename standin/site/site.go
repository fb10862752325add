// Package site reads the directory of one deployment, such as those under
// examples/: its intents, the settings of its entries, and the settings of the
// stand-ins for its platform, its network and its backend servers.
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

// Site is one deployment together with the settings of its stand-ins.
type Site struct {
	Settings Settings
	// Documents are the intents of the site.
	Documents []intent.Document
	// Configuration is compiled from Documents, as version 1.
	Configuration *intent.Configuration
	// Entries is sorted by the names of the settings files.
	Entries []Entry
}

// Settings is the content of the file standin.toml: the addresses that the
// stand-ins and their control APIs listen on, and the network delays that no intent
// specifies.
type Settings struct {
	PlatformAddress        string `toml:"platform"`
	PlatformControlAddress string `toml:"platform-control"`
	BackendsControlAddress string `toml:"backends-control"`
	RelayAddress           string `toml:"relay"`
	RelayControlAddress    string `toml:"relay-control"`
	// PlatformRegion is the region that the platform's service runs in.
	PlatformRegion string `toml:"platform-region"`
	// FailureDomainDelay is the one-way delay between failure domains of the same
	// region.
	FailureDomainDelay document.Duration `toml:"failure-domain-delay"`
	// CallerDelay is the one-way delay between callers and their region. It adds to
	// the delay between regions.
	CallerDelay document.Duration `toml:"client-delay"`
}

// Entry holds the part of an entry's settings that the stand-ins need.
type Entry struct {
	Name             string `toml:"name"`
	FailureDomain    string `toml:"failure-domain"`
	CallersAddress   string `toml:"callers-address"`
	PeersAddress     string `toml:"peers-address"`
	OperatorsAddress string `toml:"operators-address"`
	// SettingsFile is the path of the settings file.
	SettingsFile string `toml:"-"`
}

// Load reads the site in a directory and compiles its intents.
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
		return nil, errors.Wrap(err, "list entry settings")
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

// loadEntry reads the settings file of one entry.
func loadEntry(file string) (Entry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read entry settings")
	}
	entry := Entry{
		SettingsFile: file,
	}
	if err := toml.Unmarshal(content, &entry); err != nil {
		return Entry{}, errors.Wrapf(err, "decode entry settings %s", file)
	}
	return entry, nil
}
