package presence

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/routing"
)

// datagramConn is a net.PacketConn that receives the given datagrams and is then closed.
type datagramConn struct {
	net.PacketConn
	datagrams [][]byte
}

func (c *datagramConn) ReadFrom(p []byte) (int, net.Addr, error) {
	if len(c.datagrams) == 0 {
		return 0, nil, net.ErrClosed
	}
	count := copy(p, c.datagrams[0])
	c.datagrams = c.datagrams[1:]
	return count, &net.UDPAddr{}, nil
}

// FuzzDatagrams lets an entry receive arbitrary datagrams, each twice, between two good ones of
// a peer. The entry must go on, place requests, and know the peer.
func FuzzDatagrams(f *testing.F) {
	good, err := proto.Marshal(&teaselv1.Presence{
		Name:          "peer",
		Region:        "north",
		FailureDomain: "north-a",
		Callers:       "10.0.0.1:80",
		Peers:         "10.0.0.1:90",
		Serving:       true,
		Servers:       []uint32{1, 2, 3},
		InFlight:      []uint32{1, 2, 3},
		Failing:       []uint32{4},
	})
	assert.NilError(f, err)
	for _, message := range []*teaselv1.Presence{
		{},
		{
			Name: "peer",
		},
		{
			Name:     "other",
			Peers:    "no address",
			Servers:  []uint32{1, 2, 3},
			InFlight: []uint32{1 << 31},
		},
		{
			Name:    "self",
			Serving: true,
			Peers:   "10.0.0.2:90",
		},
	} {
		data, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Add(good[:len(good)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet := placement.New("north", func() (int, int) { return 0, 1 })
		fleet.Update([]routing.Server{
			{
				ID:      "a",
				Service: "desk",
				Region:  "north",
				Slots:   3,
			},
		})
		var suspects quarantine.List
		tracker := &Tracker{
			Self: func() Entry {
				return Entry{
					Name:   "self",
					Region: "north",
				}
			},
			ApplyPresence: func(message *teaselv1.Presence) {
				fleet.ApplyPresence(message)
				suspects.Merge(message.GetSuspects())
			},
			Logger: &log.Logger{
				Writer: log.IOWriter{
					Writer: io.Discard,
				},
			},
			peers: make(map[string]*peer),
		}
		tracker.receive(&datagramConn{
			datagrams: [][]byte{good, data, data, good},
		})
		_, refusal := fleet.Choose(&placement.Request{
			Service:  "desk",
			TimeLeft: time.Minute,
		})
		assert.Equal(t, refusal, placement.RefusalNone)
		assert.Assert(t, len(tracker.peers) <= 2 && tracker.peers["peer"] != nil)
	})
}
