// Package manifest reads, checks and merges the operators' configuration.
package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

const deepest = 32

// Tree reads one JSON object: duplicate keys, trailing data and too deep nesting are refused, numbers stay exact.
func Tree(content []byte) (map[string]any, error) {
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
	return Join(here.above.String(), here.key)
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

func Join(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}

// Merge lays a JSON merge patch over a tree and returns a new tree.
func Merge(tree, patch map[string]any) map[string]any {
	merged := map[string]any{}
	for key, value := range tree {
		merged[key] = value
	}
	for key, value := range patch {
		if value == nil {
			delete(merged, key)
			continue
		}
		under, isTree := value.(map[string]any)
		if !isTree {
			merged[key] = value
			continue
		}
		former, _ := merged[key].(map[string]any)
		merged[key] = Merge(former, under)
	}
	return merged
}

func SortedKeys[Value any](tree map[string]Value) []string {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Reader walks a tree by dotted paths and collects every error it meets.
type Reader struct {
	tree   map[string]any
	prefix string
	errs   *[]string
}

func NewReader(tree map[string]any) *Reader { return &Reader{tree: tree, errs: &[]string{}} }

// Under reads one object below; what it finds wrong is told with the whole path.
func (reader *Reader) Under(path string) *Reader {
	value, _ := reader.at(path)
	tree, fine := value.(map[string]any)
	if !fine {
		reader.Wrong(path, "want an object")
	}
	return &Reader{tree: tree, prefix: Join(reader.prefix, path), errs: reader.errs}
}

func (reader *Reader) Wrong(path, format string, detail ...any) {
	*reader.errs = append(*reader.errs, Join(reader.prefix, path)+": "+fmt.Sprintf(format, detail...))
}

func (reader *Reader) Err() error {
	if len(*reader.errs) == 0 {
		return nil
	}
	return eris.New(strings.Join(*reader.errs, "; "))
}

func (reader *Reader) at(path string) (any, bool) {
	var value any = reader.tree
	if path == "" {
		return value, true
	}
	for rest, more := path, true; more; {
		var key string
		key, rest, more = strings.Cut(rest, ".")
		tree, fine := value.(map[string]any)
		if !fine {
			return nil, false
		}
		if value, fine = tree[key]; !fine {
			return nil, false
		}
	}
	return value, true
}

func (reader *Reader) Keys(path string) []string {
	value, there := reader.at(path)
	if !there {
		return nil
	}
	tree, fine := value.(map[string]any)
	if !fine {
		reader.Wrong(path, "want an object")
		return nil
	}
	for key := range tree {
		if key == "" || len(key) > 64 || strings.ContainsAny(key, ". /\\\"") {
			reader.Wrong(Join(path, key), "a name has 1 to 64 characters without dots, blanks, slashes or quotes")
		}
	}
	return SortedKeys(tree)
}

// renamedFields are names of former versions, with those of today.
var renamedFields = map[string]string{"hall": "zone", "halls": "zones"}

func unknownField(name string) string {
	if renamed, there := renamedFields[name]; there {
		return "renamed, write " + renamed
	}
	return "unknown field"
}

func (reader *Reader) Only(path string, known ...string) {
	for _, key := range reader.Keys(path) {
		found := false
		for _, name := range known {
			found = found || name == key
		}
		if !found {
			reader.Wrong(Join(path, key), "%s", unknownField(key))
		}
	}
}

func (reader *Reader) Text(path, fallback string) string {
	value, there := reader.at(path)
	if !there {
		return fallback
	}
	text, fine := value.(string)
	if !fine {
		reader.Wrong(path, "want text")
	}
	return text
}

func (reader *Reader) Texts(path string) []string {
	value, there := reader.at(path)
	if !there {
		return nil
	}
	items, fine := value.([]any)
	if !fine {
		reader.Wrong(path, "want a list of text")
	}
	texts := []string{}
	for index, item := range items {
		text, fine := item.(string)
		if !fine {
			reader.Wrong(fmt.Sprintf("%s[%d]", path, index), "want text")
		}
		texts = append(texts, text)
	}
	return texts
}

func (reader *Reader) Truth(path string) bool {
	value, there := reader.at(path)
	if !there {
		return false
	}
	truth, fine := value.(bool)
	if !fine {
		reader.Wrong(path, "want true or false")
	}
	return truth
}

func (reader *Reader) Number(path string, fallback, least, most int64) int64 {
	value, there := reader.at(path)
	if !there {
		return fallback
	}
	number, fine := value.(json.Number)
	if !fine {
		reader.Wrong(path, "want a whole number")
		return fallback
	}
	whole, err := number.Int64()
	if real, other := number.Float64(); err != nil && other == nil && real == float64(int64(real)) {
		whole, err = int64(real), nil
	}
	if err != nil {
		reader.Wrong(path, "want a whole number, got %s", number)
		return fallback
	}
	if whole < least || whole > most {
		reader.Wrong(path, "want %d to %d, got %d", least, most, whole)
	}
	return whole
}

// Real reads a number that need not be whole.
func (reader *Reader) Real(path string, fallback, least, most float64) float64 {
	value, there := reader.at(path)
	if !there {
		return fallback
	}
	number, fine := value.(json.Number)
	if !fine {
		reader.Wrong(path, "want a number")
		return fallback
	}
	real, failure := number.Float64()
	if failure != nil || real < least || real > most {
		reader.Wrong(path, "want %v to %v, got %s", least, most, number)
		return fallback
	}
	return real
}

func (reader *Reader) Must(path string) {
	if _, there := reader.at(path); !there {
		reader.Wrong(path, "is missing")
	}
}
