package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// RequestKind is the kind of a request, which determines its method, its size and
// whether it is idempotent.
type RequestKind string

// Kinds of requests. Only KindBrowse is idempotent.
const (
	// KindBrowse is a GET request without a body, whose response has padding.
	KindBrowse RequestKind = "browse"
	// KindDecision is a POST request with a body of decisionBodyBytes.
	KindDecision RequestKind = "decision"
	// KindUpload is a PUT request with a body of one of uploadSizes.
	KindUpload RequestKind = "upload"
)

// requestKinds are all kinds in the order of the report's columns.
var requestKinds = []RequestKind{KindBrowse, KindDecision, KindUpload}

// request is one request of the mix.
type request struct {
	kind    RequestKind
	service string
	method  string
	// tag identifies the request; backend servers echo and count it.
	tag string
	// key is the idempotency key that the caller chose. If it is empty, the caller
	// requests a ticket, unless the method is GET.
	key string
	// workTime is the time that a backend server takes to run the request.
	workTime time.Duration
	// timeout limits the time for all attempts together.
	timeout time.Duration
	// bodyBytes is the length of the request's body, and paddingBytes that of
	// backend.Response.Padding.
	bodyBytes    int
	paddingBytes int
}

const (
	// uploadShare and decisionShare are the shares of uploads and decisions among
	// all requests. The other requests are of KindBrowse.
	uploadShare   = 0.08
	decisionShare = 0.25
	// callerKeyShare is the share of non-idempotent requests with an idempotency key
	// that the caller chose instead of a ticket.
	callerKeyShare = 0.5

	// interactiveTimeout is the timeout of all requests but uploads, and uploadTimeout
	// that of uploads.
	interactiveTimeout = 10 * time.Second
	uploadTimeout      = 60 * time.Second

	// minWorkTime and maxWorkTime bound the work time of a request, which is drawn
	// uniformly.
	minWorkTime = 5 * time.Millisecond
	maxWorkTime = 60 * time.Millisecond

	// maxBrowsePaddingBytes bounds the padding in the response to a request of
	// KindBrowse. Responses to other kinds have no padding.
	maxBrowsePaddingBytes = 32 << 10
	decisionBodyBytes     = 600
)

// uploadSizes are the body sizes of uploads in bytes, drawn uniformly; smaller
// sizes are repeated so that they are more frequent.
var uploadSizes = []int{64 << 10, 64 << 10, 64 << 10, 1 << 20, 1 << 20, 8 << 20}

// nextRequest draws a random request. Its tag consists of the random seed and number,
// the index of the request in the load.
func (g *Generator) nextRequest(random *rand.Rand, number int) request {
	next := request{
		kind:         KindBrowse,
		method:       http.MethodGet,
		tag:          fmt.Sprintf("%d-%d", g.randomSeed, number),
		workTime:     minWorkTime + time.Duration(random.Int64N(int64(maxWorkTime-minWorkTime))),
		timeout:      interactiveTimeout,
		paddingBytes: random.IntN(maxBrowsePaddingBytes),
	}
	class := intent.Interactive
	switch share := random.Float64(); {
	case share < uploadShare:
		class = intent.Bulk
		next.kind = KindUpload
		next.method = http.MethodPut
		next.timeout = uploadTimeout
		next.bodyBytes = uploadSizes[random.IntN(len(uploadSizes))]
		next.paddingBytes = 0
	case share < uploadShare+decisionShare:
		next.kind = KindDecision
		next.method = http.MethodPost
		next.bodyBytes = decisionBodyBytes
		next.paddingBytes = 0
	}
	if next.kind != KindBrowse && random.Float64() < callerKeyShare {
		next.key = "key-" + next.tag
	}
	next.service = g.pickService(random, class)
	return next
}

// pickService returns a random service of a class, or the first service if there is
// none of that class.
func (g *Generator) pickService(random *rand.Rand, class intent.Class) string {
	var names []string
	for _, service := range g.configuration.Services {
		if service.Class == class {
			names = append(names, service.Name)
		}
	}
	if len(names) == 0 {
		return g.configuration.Services[0].Name
	}
	return names[random.IntN(len(names))]
}
