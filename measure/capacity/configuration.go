package capacity

import (
	"context"

	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/configuration"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
	"github.com/teaselstack/teaselstack/platform/memory"
	"github.com/teaselstack/teaselstack/publication"
)

// MeasureConfigurations measures the size of the documents, the memory of an entry's
// copy of the configuration, the processor time to compile it, and the processor time
// and traffic of a change of one site.
func MeasureConfigurations() []Row {
	documentBytes := siteRow("documents without client blocks", "bytes", 0)
	blockDocumentBytes := siteRow("documents of client blocks", "bytes", 0)
	compile := siteRow("compiling without client blocks", "ms of a core", 0)
	compileAll := siteRow("compiling with client blocks", "ms of a core", 0)
	keeperMemory := siteRow("keeper, documents and compiled", "bytes", ControlMemoryBytes)
	apply := siteRow("a change of one site, keeper's step", "ms of a core", 0)
	share := siteRow("81,000 changes of sites a day", "of a core", ControlCPUShare)
	wireBytes := siteRow("a change on the wire", "bytes", 0)
	dailyTraffic := siteRow("81,000 changes a day on the wire, to one node", "bytes/s", ControlBytesPerSecond)
	for _, size := range []fleet.Size{fleet.HundredthOfTarget(), fleet.TenthOfTarget(), fleet.Target()} {
		addPoint := func(row *Row, value float64) {
			row.Points = append(row.Points, slope.Point{
				Size:  float64(size.Sites),
				Value: value,
			})
		}
		documents, blocks := size.Documents(), size.BlockDocuments()
		addPoint(&documentBytes, contentBytes(documents))
		addPoint(&blockDocumentBytes, contentBytes(blocks))
		addPoint(&compile, measureOnce(func() { mustCompile(documents) }).CPUTime.Seconds()*1e3)
		all := append(documents, blocks...)
		addPoint(&compileAll, measureOnce(func() { mustCompile(all) }).CPUTime.Seconds()*1e3)
		// The copy makes the keeper's memory include that of the documents.
		keeper, bytes := retainedHeap(func() *configuration.Keeper { return newKeeper(cloneDocuments(all)) })
		addPoint(&keeperMemory, bytes)
		change := newSiteDelta(size, 2)
		applySeconds := measureOnce(func() { mustApply(keeper, change) }).CPUTime.Seconds()
		addPoint(&apply, applySeconds*1e3)
		addPoint(&share, applySeconds*ChangesPerSecond)
		addPoint(&wireBytes, float64(proto.Size(change)))
		addPoint(&dailyTraffic, float64(proto.Size(change))*ChangesPerSecond)
	}
	return []Row{documentBytes, blockDocumentBytes, compile, compileAll, keeperMemory, apply, share, wireBytes, dailyTraffic}
}

// siteRow returns a row without points, whose sizes are numbers of sites.
func siteRow(quantity, unit string, bound float64) Row {
	return Row{
		Quantity:   quantity,
		Unit:       unit,
		SizeUnit:   "sites, with their nodes and blocks",
		TargetSize: float64(fleet.Target().Sites),
		Bound:      bound,
	}
}

// newKeeper returns a keeper that has documents in force as version 1.
func newKeeper(documents []intent.Document) *configuration.Keeper {
	keeper := &configuration.Keeper{
		Platform: (&memory.Store{}).Platform(),
	}
	first := publication.Diff(nil, documents)
	first.Version = 1
	mustApply(keeper, first)
	return keeper
}

// newSiteDelta returns a delta from the previous version to the given one, which
// changes only the rate caps of site 0.
func newSiteDelta(size fleet.Size, version uint64) *teaselv1.Delta {
	doc := size.ServiceDocument(0, int(version))
	return &teaselv1.Delta{
		Version: version,
		Parent:  version - 1,
		Changed: []*teaselv1.Document{{
			Name:    doc.Name,
			Content: doc.Content,
		}},
		PublishId: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
		Author:    "operator",
	}
}

// MeasureSeats measures the processor time that an entry takes to assign the seats
// and slots of backend servers, from scratch and after a change of one site. An
// entry with a seat at a server may allocate slots of it; see slot.Seats.
func MeasureSeats() []Row {
	initial := seatRow("seats and slots of an entry in its first configuration", "ms of a core")
	change := seatRow("seats and slots after a change of one site", "ms of a core")
	share := seatRow("the same for 81,000 changes a day", "of a core")
	share.Bound = ControlCPUShare
	for _, size := range []fleet.Size{fleet.HundredthOfTarget(), fleet.TenthOfTarget(), fleet.Target()} {
		addPoint := func(row *Row, value float64) {
			row.Points = append(row.Points, slope.Point{
				Size:  float64(size.Nodes),
				Value: value,
			})
		}
		documents := size.Documents()
		first := mustCompile(documents)
		ledger := &slot.Ledger{
			Entry: fleet.EntryName(0),
		}
		addPoint(&initial, measureOnce(func() { ledger.Configure(first) }).CPUTime.Seconds()*1e3)
		changed := append([]intent.Document(nil), documents...)
		changed[1] = size.ServiceDocument(0, 2)
		second, err := intent.Recompile(first, documents, 2, changed)
		if err != nil {
			panic("recompile the measured documents: " + err.Error())
		}
		configureSeconds := measureOnce(func() { ledger.Configure(second) }).CPUTime.Seconds()
		addPoint(&change, configureSeconds*1e3)
		addPoint(&share, configureSeconds*ChangesPerSecond)
	}
	return []Row{initial, change, share}
}

// seatRow returns a row without points or bound, whose sizes are numbers of nodes.
func seatRow(quantity, unit string) Row {
	return Row{
		Quantity:   quantity,
		Unit:       unit,
		SizeUnit:   "nodes, with their sites",
		TargetSize: float64(fleet.Target().Nodes),
	}
}

// contentBytes returns the total length of the contents of documents.
func contentBytes(documents []intent.Document) float64 {
	sum := 0
	for _, doc := range documents {
		sum += len(doc.Content)
	}
	return float64(sum)
}

// cloneDocuments returns a deep copy of documents.
func cloneDocuments(documents []intent.Document) []intent.Document {
	copies := make([]intent.Document, 0, len(documents))
	for _, doc := range documents {
		copies = append(copies, intent.Document{
			Name:    doc.Name,
			Content: append([]byte(nil), doc.Content...),
		})
	}
	return copies
}

// mustCompile compiles documents as version 1 and panics on an error.
func mustCompile(documents []intent.Document) *intent.Configuration {
	compiled, err := intent.Compile(1, documents)
	if err != nil {
		panic("compile the measured documents: " + err.Error())
	}
	return compiled
}

// mustApply applies a delta to the configuration of a keeper and panics on an
// error.
func mustApply(keeper *configuration.Keeper, delta *teaselv1.Delta) {
	if err := keeper.Apply([]*teaselv1.Delta{delta}, "measurement"); err != nil {
		panic("apply the measured change: " + err.Error())
	}
}

// countPublishCalls counts the platform calls of publishing a change of one site,
// including those that read the current version first.
func countPublishCalls() *platformCalls {
	calls := &platformCalls{}
	counted := calls.Wrap((&memory.Store{}).Platform())
	publisher := &publication.Publisher{
		Platform: counted,
		Author:   "measurement",
	}
	size := fleet.HundredthOfTarget()
	mustPublish(publisher, size.Documents())
	calls.reset()
	documents := size.Documents()
	documents[1] = size.ServiceDocument(0, 2)
	mustPublish(publisher, documents)
	return calls
}

// mustPublish publishes documents as the next version and panics on an error.
func mustPublish(publisher *publication.Publisher, documents []intent.Document) {
	ctx := context.Background()
	current, err := publisher.ReadState(ctx)
	if err != nil {
		panic("read the measured publication: " + err.Error())
	}
	if _, err := publisher.Publish(ctx, current, publication.Change{
		Documents: documents,
	}); err != nil {
		panic("publish the measured documents: " + err.Error())
	}
}
