// Package document decodes the TOML files that operators write. It reports each
// error with its file, line and key, so that an editor can jump to it.
package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is an error in a document, or a warning about one.
type Error struct {
	File string `json:"file"`
	// Line is the line number, counted from 1; 0 means that the error has no line.
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// Error returns the error as "file:line: key: problem".
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return position + ": " + e.Problem
	}
	return position + ": " + e.Key + ": " + e.Problem
}

// Errors is a list of errors in one or more documents, in the order in which they were
// found.
type Errors []*Error

// Error returns the errors, one per line.
func (es Errors) Error() string {
	lines := make([]string, 0, len(es))
	for _, e := range es {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if the list is empty.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Decode decodes a TOML document into target. The file name is used in errors only.
// The error is always of type Errors. It lists all unknown keys, or only the first
// invalid syntax or value.
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
		line, _ := decode.Position()
		return Errors{{
			File:    file,
			Line:    line,
			Key:     strings.Join(decode.Key(), "."),
			Problem: strings.TrimPrefix(decode.Error(), "toml: "),
		}}
	}
	return Errors{{
		File:    file,
		Problem: strings.TrimPrefix(err.Error(), "toml: "),
	}}
}

// unknownKeys converts the decoder's error about unknown keys.
func unknownKeys(file string, strict *toml.StrictMissingError) Errors {
	var all Errors
	for i := range strict.Errors {
		missing := &strict.Errors[i]
		line, _ := missing.Position()
		all = append(all, &Error{
			File:    file,
			Line:    line,
			Key:     strings.Join(missing.Key(), "."),
			Problem: "unknown key",
		})
	}
	return all
}

// KeyLine returns the line number of a key or table in a document, counted from 1,
// or 0 if the document does not contain it. An index, counted from 0, selects a
// table of an array: "region[1].max-rate".
func KeyLine(content []byte, key string) int {
	var parser unstable.Parser
	parser.Reset(content)
	tableCounts := make(map[string]int)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, offset := keyPath(node)
		switch node.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, tableCounts[path])
			tableCounts[path]++
		case unstable.KeyValue:
			path = strings.TrimPrefix(table+"."+path, ".")
		default:
			continue
		}
		if path == key || table == key {
			return bytes.Count(content[:offset], []byte("\n")) + 1
		}
	}
	return 0
}

// keyPath returns the dotted key of a node and the key's offset in the document.
func keyPath(node *unstable.Node) (string, uint32) {
	var parts []string
	offset := uint32(0)
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		if len(parts) == 0 {
			offset = part.Raw.Offset
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), offset
}
