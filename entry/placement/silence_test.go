package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/placement"
)

// TestSilentServer: a server that has given no answer to anyone while a request
// waited for long is left out; one that answered others is only slow.
func TestSilentServer(t *testing.T) {
	for name, test := range map[string]struct {
		wait     time.Duration
		answered bool
		out      bool
	}{
		"silent": {
			wait: 4 * time.Second,
			out:  true,
		},
		"answers others": {
			wait:     4 * time.Second,
			answered: true,
		},
		"had no time": {
			wait: 300 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(newServer("a"), newServer("b"), newServer("c"))
				first, refusal := fleet.Choose(askFor(1))
				assert.Equal(t, refusal, placement.RefusalNone)
				time.Sleep(test.wait / 2)
				if test.answered {
					other, refusal := fleet.Choose(askFor(1))
					for other.Server.ID != first.Server.ID {
						fleet.Done(&other, placement.SignNone, nil, 0)
						other, refusal = fleet.Choose(&placement.Request{
							Service: "desk",
							Object:  placement.Object("browse", "1"),
							Tried:   append([]string{"a", "b", "c"}[:0:0], others(first.Server.ID)...),
						})
					}
					assert.Equal(t, refusal, placement.RefusalNone)
					fleet.Done(&other, placement.SignAnswered, nil, 0)
				}
				time.Sleep(test.wait / 2)
				fleet.Done(&first, placement.SignSilent, nil, 0)
				next, refusal := fleet.Choose(askFor(1))
				assert.Equal(t, refusal, placement.RefusalNone)
				assert.Equal(t, next.Server.ID != first.Server.ID, test.out)
			})
		})
	}
}

// others returns the servers of the test but one.
func others(but string) []string {
	var ids []string
	for _, id := range []string{"a", "b", "c"} {
		if id != but {
			ids = append(ids, id)
		}
	}
	return ids
}
