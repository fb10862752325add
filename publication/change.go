package publication

import (
	"cmp"
	"slices"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/intent"
)

// Preview is what a change would do, shown before it is put in force.
type Preview struct {
	// BaseVersion is the version that the change is made on.
	BaseVersion uint64 `json:"base"`
	// Added, Changed and Removed name documents.
	Added   []string `json:"added,omitempty"`
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Effects []Effect `json:"effects,omitempty"`
	// Warnings don't keep the change from being published.
	Warnings document.Errors `json:"warnings,omitempty"`
}

// Effect is one expected consequence of a change.
type Effect struct {
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	// Figure is usable-slots, max-rate, shift-rate or entries.
	Figure string  `json:"figure"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Figures of an Effect. Rates are in requests a second.
const (
	FigureUsableSlots = "usable-slots"
	FigureMaxRate     = "max-rate"
	FigureShiftRate   = "shift-rate"
	FigureEntries     = "entries"
)

// Empty reports whether the change changes nothing.
func (p *Preview) Empty() bool {
	return len(p.Added)+len(p.Changed)+len(p.Removed) == 0
}

// PreviewChange checks the documents of a change as a whole and returns what it would
// do. Faults are document.Errors.
func PreviewChange(current *PublishedState, documents []intent.Document) (*Preview, error) {
	after, warnings, err := intent.Check(current.Head.GetVersion()+1, documents)
	if err != nil {
		return nil, err
	}
	preview := &Preview{
		BaseVersion: current.Head.GetVersion(),
		Warnings:    warnings,
	}
	preview.documents(current, Diff(current.Documents, documents))
	before, err := intent.Compile(current.Head.GetVersion(), current.Documents)
	if err != nil {
		before = &intent.Configuration{}
	}
	preview.Effects = differences(figures(before), figures(after))
	return preview, nil
}

func (p *Preview) documents(current *PublishedState, delta *teaselv1.Delta) {
	known := byName(current.Documents)
	for _, changed := range delta.GetChanged() {
		if _, existed := known[changed.GetName()]; existed {
			p.Changed = append(p.Changed, changed.GetName())
			continue
		}
		p.Added = append(p.Added, changed.GetName())
	}
	p.Removed = delta.GetRemoved()
}

// figures returns the figures of a configuration, in After.
func figures(configuration *intent.Configuration) []Effect {
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

// place is where a figure holds.
type place struct {
	service string
	region  string
	figure  string
}

func placeOf(effect Effect) place {
	return place{
		service: effect.Service,
		region:  effect.Region,
		figure:  effect.Figure,
	}
}

// differences joins the figures of two configurations, and leaves out equal ones.
func differences(before, after []Effect) []Effect {
	joined := make(map[place]Effect)
	for _, figure := range before {
		figure.Before, figure.After = figure.After, 0
		joined[placeOf(figure)] = figure
	}
	for _, figure := range after {
		figure.Before = joined[placeOf(figure)].Before
		joined[placeOf(figure)] = figure
	}
	var changed []Effect
	for _, figure := range joined {
		if figure.Before != figure.After {
			changed = append(changed, figure)
		}
	}
	slices.SortFunc(changed, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Figure, b.Figure))
	})
	return changed
}
