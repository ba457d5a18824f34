package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

const deepest = 32

// Tree reads one JSON object: duplicate keys, trailing data and too deep nesting are refused, numbers stay exact.
func ParseObject(content []byte) (map[string]any, error) {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(content), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	value, err := branch(decoder, nil)
	if err != nil {
		return nil, err
	}
	if _, err = decoder.ReadToken(); err != io.EOF {
		return nil, eris.New("data after the end of the object")
	}
	tree, fine := value.(map[string]any)
	if !fine {
		return nil, eris.New("want a JSON object")
	}
	return tree, nil
}

// step is one step of the way to a value; the way becomes text only when something there is wrong.
type step struct {
	above *step
	key   string
	index int
	depth int
}

func (here *step) under(key string, index int) *step {
	depth := 1
	if here != nil {
		depth = here.depth + 1
	}
	return &step{above: here, key: key, index: index, depth: depth}
}

func (here *step) String() string {
	switch {
	case here == nil:
		return ""
	case here.index >= 0:
		return here.above.String() + "[" + strconv.Itoa(here.index) + "]"
	}
	return join(here.above.String(), here.key)
}

func branch(decoder *jsontext.Decoder, here *step) (any, error) {
	if here != nil && here.depth > deepest {
		return nil, eris.Errorf("%s: nested too deep", here)
	}
	token, err := decoder.ReadToken()
	if err != nil {
		return nil, eris.Wrapf(err, "%s: not JSON", here)
	}
	switch token.Kind() {
	case '{':
		return object(decoder, here)
	case '[':
		items := []any{}
		for decoder.PeekKind() != ']' {
			item, err := branch(decoder, here.under("", len(items)))
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		return items, closed(decoder, here)
	case '0':
		return json.Number(token.String()), nil
	case '"':
		return token.String(), nil
	case 't', 'f':
		return token.Bool(), nil
	}
	return nil, nil
}

func object(decoder *jsontext.Decoder, here *step) (any, error) {
	tree := map[string]any{}
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return nil, eris.Wrapf(err, "%s: not JSON", here)
		}
		key := token.String()
		inside := here.under(key, -1)
		if _, double := tree[key]; double {
			return nil, eris.Errorf("%s: key given twice", inside)
		}
		if tree[key], err = branch(decoder, inside); err != nil {
			return nil, err
		}
	}
	return tree, closed(decoder, here)
}

// closed reads the end of a list or an object.
func closed(decoder *jsontext.Decoder, here *step) error {
	_, err := decoder.ReadToken()
	return eris.Wrapf(err, "%s: not JSON", here)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
