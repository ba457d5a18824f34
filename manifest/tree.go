// Package manifest parses, validates and updates the operators' configuration.
package manifest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// ParseObject reads one JSON object. Duplicate keys, trailing data and too deep nesting are errors; numbers stay exact as json.Number.
func ParseObject(content []byte) (map[string]any, error) { return document.ParseObject(content) }

// JoinPath joins two parts of a dotted path, either of which may be empty.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}

// SortedKeys returns the keys of a map in ascending order, for output and iteration that must not vary between runs.
func SortedKeys[Value any](tree map[string]Value) []string {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Reader reads values of a JSON object by dotted paths. It collects all errors instead of stopping at the first, and returns the fallback or
// a zero value in place of what is missing or wrong; callers use the values only if Err returns nil.
type Reader struct {
	tree   map[string]any
	prefix string
	// errs is shared with the readers of nested objects.
	errs *[]string
}

// NewReader returns a reader of an object from ParseObject.
func NewReader(tree map[string]any) *Reader { return &Reader{tree: tree, errs: &[]string{}} }

// Object returns a reader of a nested object. It shares the list of errors, whose paths start at the outermost object.
func (reader *Reader) Object(path string) *Reader {
	value, _ := reader.lookup(path)
	tree, ok := value.(map[string]any)
	if !ok {
		reader.Errorf(path, "want an object")
	}
	return &Reader{tree: tree, prefix: JoinPath(reader.prefix, path), errs: reader.errs}
}

// Errorf adds an error at a path.
func (reader *Reader) Errorf(path, format string, detail ...any) {
	*reader.errs = append(*reader.errs, JoinPath(reader.prefix, path)+": "+fmt.Sprintf(format, detail...))
}

// Err returns all errors so far as one, or nil.
func (reader *Reader) Err() error {
	if len(*reader.errs) == 0 {
		return nil
	}
	return eris.New(strings.Join(*reader.errs, "; "))
}

// lookup returns the value at a path, and whether there is one. The empty path is the whole object.
func (reader *Reader) lookup(path string) (any, bool) {
	var value any = reader.tree
	if path == "" {
		return value, true
	}
	for rest, more := path, true; more; {
		var key string
		key, rest, more = strings.Cut(rest, ".")
		tree, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		if value, ok = tree[key]; !ok {
			return nil, false
		}
	}
	return value, true
}

// maxNameLength is the most bytes of a name, invalidName the error for a name that is not valid.
const (
	maxNameLength = 64
	invalidName   = "a name has 1 to 64 characters without dots, blanks, slashes or quotes"
)

// validName reports whether a name can be used in dotted paths, JSON pointers and URLs without escapes.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && !strings.ContainsAny(name, ". /\\\"")
}

// Keys returns the sorted keys of an object of named items. A key that is not a valid name is an error; a missing object has no keys.
func (reader *Reader) Keys(path string) []string {
	value, found := reader.lookup(path)
	if !found {
		return nil
	}
	tree, ok := value.(map[string]any)
	if !ok {
		reader.Errorf(path, "want an object")
		return nil
	}
	for key := range tree {
		if !validName(key) {
			reader.Errorf(JoinPath(path, key), "%s", invalidName)
		}
	}
	return SortedKeys(tree)
}

// renamedFields maps field names of former versions to the current ones.
var renamedFields = map[string]string{"hall": "zone", "halls": "zones"}

// unknownField returns the error for a key that is not known.
func unknownField(name string) string {
	if renamed, found := renamedFields[name]; found {
		return "renamed, write " + renamed
	}
	return "unknown field"
}

// AllowOnly adds an error for each key of an object that is not among the known ones.
func (reader *Reader) AllowOnly(path string, known ...string) {
	for _, key := range reader.Keys(path) {
		found := false
		for _, name := range known {
			found = found || name == key
		}
		if !found {
			reader.Errorf(JoinPath(path, key), "%s", unknownField(key))
		}
	}
}

// Text reads a string.
func (reader *Reader) Text(path, fallback string) string {
	value, found := reader.lookup(path)
	if !found {
		return fallback
	}
	text, ok := value.(string)
	if !ok {
		reader.Errorf(path, "want text")
	}
	return text
}

// Texts reads a list of strings.
func (reader *Reader) Texts(path string) []string {
	value, found := reader.lookup(path)
	if !found {
		return nil
	}
	items, ok := value.([]any)
	if !ok {
		reader.Errorf(path, "want a list of text")
	}
	texts := []string{}
	for index, item := range items {
		text, ok := item.(string)
		if !ok {
			reader.Errorf(fmt.Sprintf("%s[%d]", path, index), "want text")
		}
		texts = append(texts, text)
	}
	return texts
}

// Bool reads a boolean; a missing one is false.
func (reader *Reader) Bool(path string) bool {
	value, found := reader.lookup(path)
	if !found {
		return false
	}
	boolean, ok := value.(bool)
	if !ok {
		reader.Errorf(path, "want true or false")
	}
	return boolean
}

// Integer reads an integer within bounds. A number like 4.0 is an integer, too.
func (reader *Reader) Integer(path string, fallback, minimum, maximum int64) int64 {
	value, found := reader.lookup(path)
	if !found {
		return fallback
	}
	number, ok := value.(json.Number)
	if !ok {
		reader.Errorf(path, "want a whole number")
		return fallback
	}
	integer, err := number.Int64()
	if float, other := number.Float64(); err != nil && other == nil && float == float64(int64(float)) {
		integer, err = int64(float), nil
	}
	if err != nil {
		reader.Errorf(path, "want a whole number, got %s", number)
		return fallback
	}
	if integer < minimum || integer > maximum {
		reader.Errorf(path, "want %d to %d, got %d", minimum, maximum, integer)
	}
	return integer
}

// Float reads a number within bounds.
func (reader *Reader) Float(path string, fallback, minimum, maximum float64) float64 {
	value, found := reader.lookup(path)
	if !found {
		return fallback
	}
	number, ok := value.(json.Number)
	if !ok {
		reader.Errorf(path, "want a number")
		return fallback
	}
	float, err := number.Float64()
	if err != nil || float < minimum || float > maximum {
		reader.Errorf(path, "want %v to %v, got %s", minimum, maximum, number)
		return fallback
	}
	return float
}

// Require adds an error if there is no value at a path.
func (reader *Reader) Require(path string) {
	if _, found := reader.lookup(path); !found {
		reader.Errorf(path, "is missing")
	}
}
