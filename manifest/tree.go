// Package manifest reads, checks and merges the operators' configuration.
package manifest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// Tree reads one JSON object: duplicate keys, trailing data and too deep nesting are refused, numbers stay exact.
func Tree(content []byte) (map[string]any, error) { return document.Tree(content) }

func Join(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
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

const (
	nameLength = 64
	nameRule   = "a name has 1 to 64 characters without dots, blanks, slashes or quotes"
)

func validName(name string) bool {
	return name != "" && len(name) <= nameLength && !strings.ContainsAny(name, ". /\\\"")
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
		if !validName(key) {
			reader.Wrong(Join(path, key), "%s", nameRule)
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
