package configuration

import (
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// Bounds of the deltas that an entry keeps for its peers.
const (
	chainSteps = 256
	chainBytes = 1 << 20
)

// chain holds the newest consecutive deltas, oldest first. The zero value is
// empty.
type chain struct {
	steps []*teaselv1.Delta
	bytes int
}

// add appends steps and drops the oldest beyond the bounds. A step without
// parent begins the chain anew.
func (c *chain) add(steps []*teaselv1.Delta) {
	for _, step := range steps {
		if step.GetParent() == 0 {
			*c = chain{}
			continue
		}
		c.steps = append(c.steps, step)
		c.bytes += proto.Size(step)
	}
	for len(c.steps) > chainSteps || c.bytes > chainBytes {
		c.bytes -= proto.Size(c.steps[0])
		c.steps = c.steps[1:]
	}
}

// since returns the steps after a version, or nil where one is missing.
func (c *chain) since(after uint64) []*teaselv1.Delta {
	for i, step := range c.steps {
		if step.GetParent() == after {
			return append([]*teaselv1.Delta(nil), c.steps[i:]...)
		}
	}
	return nil
}
