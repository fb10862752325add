package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// RequestKind is what a request is for.
type RequestKind string

// Kinds of requests.
const (
	KindBrowse   RequestKind = "browse"
	KindDecision RequestKind = "decision"
	KindUpload   RequestKind = "upload"
)

// kinds is the order of the report's columns.
var kinds = []RequestKind{KindBrowse, KindDecision, KindUpload}

// request is one request of the mix.
type request struct {
	kind    RequestKind
	service string
	method  string
	mark    string
	// key is the caller's own; "" takes a ticket.
	key string
	// work is how long the backend server runs it.
	work    time.Duration
	timeout time.Duration
	// bodyBytes and answerBytes are the sizes both ways.
	bodyBytes   int
	answerBytes int
}

const (
	uploadShare   = 0.08
	decisionShare = 0.25
	// ownKeyShare is the part of non-idempotent requests under callers' own keys.
	ownKeyShare = 0.5

	interactiveTimeout = 10 * time.Second
	uploadTimeout      = 60 * time.Second

	minWork = 5 * time.Millisecond
	maxWork = 60 * time.Millisecond

	maxAnswerBytes = 32 << 10
	decisionBytes  = 600
)

// uploadSizes are the sizes of uploads, smaller ones more often.
var uploadSizes = []int{64 << 10, 64 << 10, 64 << 10, 1 << 20, 1 << 20, 8 << 20}

func (l *Generator) choose(random *rand.Rand, number int) request {
	next := request{
		kind:        KindBrowse,
		method:      http.MethodGet,
		mark:        fmt.Sprintf("%d-%d", l.seed, number),
		work:        minWork + time.Duration(random.Int64N(int64(maxWork-minWork))),
		timeout:     interactiveTimeout,
		answerBytes: random.IntN(maxAnswerBytes),
	}
	class := intent.Interactive
	switch share := random.Float64(); {
	case share < uploadShare:
		class = intent.Bulk
		next.kind = KindUpload
		next.method = http.MethodPut
		next.timeout = uploadTimeout
		next.bodyBytes = uploadSizes[random.IntN(len(uploadSizes))]
		next.answerBytes = 0
	case share < uploadShare+decisionShare:
		next.kind = KindDecision
		next.method = http.MethodPost
		next.bodyBytes = decisionBytes
		next.answerBytes = 0
	}
	if next.kind != KindBrowse && random.Float64() < ownKeyShare {
		next.key = "key-" + next.mark
	}
	next.service = l.service(random, class)
	return next
}

// service returns a service of a class.
func (l *Generator) service(random *rand.Rand, class intent.Class) string {
	var names []string
	for _, service := range l.configuration.Services {
		if service.Class == class {
			names = append(names, service.Name)
		}
	}
	if len(names) == 0 {
		return l.configuration.Services[0].Name
	}
	return names[random.IntN(len(names))]
}
