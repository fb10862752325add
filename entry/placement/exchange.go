package placement

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// hearsay holds what peers told of backend servers, and its sums by server.
type hearsay struct {
	peers    map[string]*told
	inFlight map[uint32]int
	failing  map[uint32]int
	expired  time.Time
}

// told is what one peer said.
type told struct {
	at       time.Time
	servers  []uint32
	inFlight []uint32
	failing  []uint32
}

// toldLifetime is how long a peer's word counts: it is renewed several times in
// that time, and a request takes about as long.
const toldLifetime = 1200 * time.Millisecond

// add counts what a peer said once more, or takes it back with a sign of -1.
func (h *hearsay) add(each *told, sign int) {
	for i, server := range each.servers {
		h.inFlight[server] += sign * int(each.inFlight[i])
	}
	for _, server := range each.failing {
		h.failing[server] += sign
	}
}

// replace takes a peer's new word for its old one, or forgets it if it is nil.
func (h *hearsay) replace(peer string, news *told) {
	if h.peers == nil {
		h.peers = make(map[string]*told)
		h.inFlight = make(map[uint32]int)
		h.failing = make(map[uint32]int)
	}
	if known := h.peers[peer]; known != nil {
		h.add(known, -1)
	}
	if news == nil {
		delete(h.peers, peer)
		return
	}
	h.peers[peer] = news
	h.add(news, 1)
}

// expire forgets peers that are silent.
func (h *hearsay) expire(now time.Time) {
	if now.Sub(h.expired) < toldLifetime/4 {
		return
	}
	h.expired = now
	for peer, each := range h.peers {
		if now.Sub(each.at) > toldLifetime {
			h.replace(peer, nil)
		}
	}
}

// FillPresence adds this entry's requests in flight and the servers that failed it to a
// message for its peers.
func (f *Fleet) FillPresence(message *teaselv1.Presence) {
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

// ApplyPresence takes over what a peer told.
func (f *Fleet) ApplyPresence(message *teaselv1.Presence) {
	count := min(len(message.GetServers()), len(message.GetInFlight()))
	news := &told{
		at:       time.Now(),
		servers:  message.GetServers()[:count],
		inFlight: message.GetInFlight()[:count],
		failing:  message.GetFailing(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearsay.replace(message.GetName(), news)
}
