// Package document decodes the TOML files that operators write and reports
// every fault with its file, line and key, so that an editor can jump to it.
package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is a fault in a document. Line counts from 1; 0 means that the fault
// belongs to no line.
type Error struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// Error gives the fault as file:line: key: problem.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return place + ": " + e.Problem
	}
	return place + ": " + e.Key + ": " + e.Problem
}

// Errors is a list of faults, in the order in which they were found.
type Errors []*Error

// Error gives one fault a line.
func (es Errors) Error() string {
	lines := make([]string, 0, len(es))
	for _, e := range es {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Decode reads a TOML document into target. Unknown keys and values of a wrong
// type come back as Errors.
func Decode(file string, content []byte, target any) error {
	dec := toml.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(file, strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return Errors{{
			File:    file,
			Line:    row,
			Key:     strings.Join(decode.Key(), "."),
			Problem: strings.TrimPrefix(decode.Error(), "toml: "),
		}}
	}
	return Errors{{
		File:    file,
		Problem: strings.TrimPrefix(err.Error(), "toml: "),
	}}
}

func unknownKeys(file string, strict *toml.StrictMissingError) Errors {
	var faults Errors
	for i := range strict.Errors {
		missing := &strict.Errors[i]
		row, _ := missing.Position()
		faults = append(faults, &Error{
			File:    file,
			Line:    row,
			Key:     strings.Join(missing.Key(), "."),
			Problem: "unknown key",
		})
	}
	return faults
}

// KeyLine returns the line on which a key stands in content, counted from 1, or 0
// when the document lacks it. Tables of an array are named by their index from
// 0: "region[1].max-rate".
func KeyLine(content []byte, key string) int {
	var parser unstable.Parser
	parser.Reset(content)
	counts := make(map[string]int)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, first := keyPath(node)
		switch node.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			path = strings.TrimPrefix(table+"."+path, ".")
		default:
			continue
		}
		if path == key || table == key {
			return bytes.Count(content[:first], []byte("\n")) + 1
		}
	}
	return 0
}

// keyPath returns a node's key and the offset at which it begins.
func keyPath(node *unstable.Node) (string, uint32) {
	var parts []string
	first := uint32(0)
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		if len(parts) == 0 {
			first = part.Raw.Offset
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), first
}
