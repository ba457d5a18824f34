package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// maxDepth bounds the nesting of objects and lists, which are read recursively.
const maxDepth = 32

// ParseObject reads one JSON object. Duplicate keys, trailing data and too deep nesting are errors; numbers stay exact as json.Number.
func ParseObject(content []byte) (map[string]any, error) {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(content), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	value, err := decodeValue(decoder, nil)
	if err != nil {
		return nil, err
	}
	if _, err = decoder.ReadToken(); err != io.EOF {
		return nil, eris.New("data after the end of the object")
	}
	tree, ok := value.(map[string]any)
	if !ok {
		return nil, eris.New("want a JSON object")
	}
	return tree, nil
}

// pathStep is one step of the path to a value: a key, or an index if that is not negative. The path is only formatted for errors.
type pathStep struct {
	above *pathStep
	key   string
	index int
	depth int
}

// under returns the step to a member, with an index of -1, or to an item of a list.
func (position *pathStep) under(key string, index int) *pathStep {
	depth := 1
	if position != nil {
		depth = position.depth + 1
	}
	return &pathStep{above: position, key: key, index: index, depth: depth}
}

func (position *pathStep) String() string {
	switch {
	case position == nil:
		return ""
	case position.index >= 0:
		return position.above.String() + "[" + strconv.Itoa(position.index) + "]"
	}
	return joinPath(position.above.String(), position.key)
}

// decodeValue reads one value; position is nil for the outermost one.
func decodeValue(decoder *jsontext.Decoder, position *pathStep) (any, error) {
	if position != nil && position.depth > maxDepth {
		return nil, eris.Errorf("%s: nested too deep", position)
	}
	token, err := decoder.ReadToken()
	if err != nil {
		return nil, eris.Wrapf(err, "%s: not JSON", position)
	}
	switch token.Kind() {
	case '{':
		return decodeObject(decoder, position)
	case '[':
		items := []any{}
		for decoder.PeekKind() != ']' {
			item, err := decodeValue(decoder, position.under("", len(items)))
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		return items, decodeEnd(decoder, position)
	case '0':
		return json.Number(token.String()), nil
	case '"':
		return token.String(), nil
	case 't', 'f':
		return token.Bool(), nil
	}
	return nil, nil
}

// decodeObject reads the members of an object whose start has been read.
func decodeObject(decoder *jsontext.Decoder, position *pathStep) (any, error) {
	tree := map[string]any{}
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return nil, eris.Wrapf(err, "%s: not JSON", position)
		}
		key := token.String()
		inside := position.under(key, -1)
		if _, duplicate := tree[key]; duplicate {
			return nil, eris.Errorf("%s: key given twice", inside)
		}
		if tree[key], err = decodeValue(decoder, inside); err != nil {
			return nil, err
		}
	}
	return tree, decodeEnd(decoder, position)
}

// decodeEnd reads the end of a list or an object.
func decodeEnd(decoder *jsontext.Decoder, position *pathStep) error {
	_, err := decoder.ReadToken()
	return eris.Wrapf(err, "%s: not JSON", position)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
