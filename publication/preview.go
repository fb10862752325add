package publication

import (
	"cmp"
	"slices"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/intent"
)

// Preview describes the consequences of a change before it is published.
type Preview struct {
	// BaseVersion is the version that the change is based on.
	BaseVersion uint64 `json:"base"`
	// Added, Changed and Removed are names of documents.
	Added   []string `json:"added,omitempty"`
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Effects are the figures that the change alters.
	Effects []Effect `json:"effects,omitempty"`
	// Warnings are problems that don't prevent the publication.
	Warnings document.Errors `json:"warnings,omitempty"`
}

// Effect is the change of one figure, such as the number of usable slots, of a
// service in a region or of a region as a whole.
type Effect struct {
	// Service is empty for a figure of a region as a whole.
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	// Figure is one of the Figure constants.
	Figure string  `json:"figure"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Values of Effect.Figure. FigureUsableSlots and FigureEntries leave out servers and
// entry VMs that are draining. Rates are in requests per second.
const (
	FigureUsableSlots = "usable-slots"
	FigureMaxRate     = "max-rate"
	FigureShiftRate   = "shift-rate"
	FigureEntries     = "entries"
)

// Empty reports whether the change adds, changes and removes no document.
func (p *Preview) Empty() bool {
	return len(p.Added)+len(p.Changed)+len(p.Removed) == 0
}

// PreviewChange checks the documents of a change as a whole and returns its
// preview. The error is a document.Errors if the documents are invalid. If the
// current documents don't compile, all their figures count as 0.
func PreviewChange(current *PublishedState, documents []intent.Document) (*Preview, error) {
	after, warnings, err := intent.Check(current.Head.GetVersion()+1, documents)
	if err != nil {
		return nil, err
	}
	preview := &Preview{
		BaseVersion: current.Head.GetVersion(),
		Warnings:    warnings,
	}
	preview.setDocumentNames(current, Diff(current.Documents, documents))
	before, err := intent.Compile(current.Head.GetVersion(), current.Documents)
	if err != nil {
		before = &intent.Configuration{}
	}
	preview.Effects = changedFigures(configurationFigures(before), configurationFigures(after))
	return preview, nil
}

// setDocumentNames fills in Added, Changed and Removed.
func (p *Preview) setDocumentNames(current *PublishedState, delta *teaselv1.Delta) {
	currentContents := contentsByName(current.Documents)
	for _, changed := range delta.GetChanged() {
		if _, existed := currentContents[changed.GetName()]; existed {
			p.Changed = append(p.Changed, changed.GetName())
			continue
		}
		p.Added = append(p.Added, changed.GetName())
	}
	p.Removed = delta.GetRemoved()
}

// configurationFigures returns all figures of a configuration, each as an Effect
// with its value in After.
func configurationFigures(configuration *intent.Configuration) []Effect {
	var all []Effect
	for _, service := range configuration.Services {
		for _, region := range service.Regions {
			add := func(figure string, value float64) {
				all = append(all, Effect{
					Service: service.Name,
					Region:  region.Name,
					Figure:  figure,
					After:   value,
				})
			}
			add(FigureUsableSlots, float64(configuration.Capacity(service, region.Name).UsableSlots))
			add(FigureMaxRate, region.MaxRate)
			add(FigureShiftRate, region.ShiftRate)
		}
	}
	for _, region := range configuration.Deployment.Regions {
		count := 0
		for _, entry := range configuration.Deployment.Entries {
			if configuration.RegionOf(entry.FailureDomain) == region.Name && !configuration.EntryDraining(entry.Name) {
				count++
			}
		}
		all = append(all, Effect{
			Region: region.Name,
			Figure: FigureEntries,
			After:  float64(count),
		})
	}
	return all
}

// figureKey identifies a figure.
type figureKey struct {
	service string
	region  string
	figure  string
}

func figureKeyOf(effect Effect) figureKey {
	return figureKey{
		service: effect.Service,
		region:  effect.Region,
		figure:  effect.Figure,
	}
}

// changedFigures returns the figures that differ between two configurations, with
// their values in both. The arguments are results of configurationFigures. A figure
// that one configuration lacks counts as 0 there.
func changedFigures(before, after []Effect) []Effect {
	joined := make(map[figureKey]Effect)
	for _, effect := range before {
		effect.Before, effect.After = effect.After, 0
		joined[figureKeyOf(effect)] = effect
	}
	for _, effect := range after {
		effect.Before = joined[figureKeyOf(effect)].Before
		joined[figureKeyOf(effect)] = effect
	}
	var changed []Effect
	for _, effect := range joined {
		if effect.Before != effect.After {
			changed = append(changed, effect)
		}
	}
	slices.SortFunc(changed, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Figure, b.Figure))
	})
	return changed
}
