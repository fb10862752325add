package placement

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// told is what one peer said of backend servers.
type told struct {
	at       time.Time
	inFlight map[uint32]int
	failing  map[uint32]bool
}

// toldLifetime is how long a peer's word counts: it is renewed several times in
// that time, and a request takes about as long.
const toldLifetime = 1200 * time.Millisecond

// Fill adds this entry's requests in flight and the servers that failed it to a
// message for its peers.
func (f *Fleet) Fill(message *teaselv1.Presence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, each := range f.servers {
		if each.inFlight > 0 {
			message.Servers = append(message.Servers, each.short())
			message.InFlight = append(message.InFlight, uint32(each.inFlight))
		}
		if each.health.failing(now) {
			message.Failing = append(message.Failing, each.short())
		}
	}
}

// short identifies a server in messages.
func (s *server) short() uint32 { return uint32(s.hash) }

// Learn takes over what a peer told.
func (f *Fleet) Learn(message *teaselv1.Presence) {
	news := &told{
		at:       time.Now(),
		inFlight: make(map[uint32]int, len(message.GetServers())),
		failing:  make(map[uint32]bool, len(message.GetFailing())),
	}
	counts := message.GetInFlight()
	for i, each := range message.GetServers() {
		if i < len(counts) {
			news.inFlight[each] = int(counts[i])
		}
	}
	for _, each := range message.GetFailing() {
		news.failing[each] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told == nil {
		f.told = make(map[string]*told)
	}
	f.told[message.GetName()] = news
}

// hearsay is the sum of what peers told of a server lately, and how many of them
// it failed.
func (f *Fleet) hearsay(each *server, now time.Time) (inFlight, failed int) {
	short := each.short()
	for peer, news := range f.told {
		if now.Sub(news.at) > toldLifetime {
			delete(f.told, peer)
			continue
		}
		inFlight += news.inFlight[short]
		if news.failing[short] {
			failed++
		}
	}
	return inFlight, failed
}
