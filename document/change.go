package document

import (
	"encoding/json"
	"slices"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Change makes one document out of another: parts that are removed, then parts that are set, by JSON Pointer.
type Change struct {
	Set    map[string]Value `json:"set,omitempty"`
	Remove []string         `json:"remove,omitempty"`
}

// Value is the JSON text of a part. A change and the document that it makes share it.
type Value string

// MarshalJSON gives the text as it is.
func (value Value) MarshalJSON() ([]byte, error) { return []byte(value), nil }

// UnmarshalJSON keeps the text as it is.
func (value *Value) UnmarshalJSON(content []byte) error {
	*value = Value(content)
	return nil
}

// ReadChange reads a change from a stream, without holding its text twice.
func ReadChange(decoder *jsontext.Decoder) (Change, error) {
	change := Change{}
	failure := ReadMembers(decoder, func(name string) error {
		switch name {
		case "set":
			return ReadMembers(decoder, func(pointer string) error {
				value, failure := decoder.ReadValue()
				change.Put(pointer, string(value))
				return failure
			})
		case "remove":
			value, failure := decoder.ReadValue()
			if failure != nil {
				return failure
			}
			return json.Unmarshal(value, &change.Remove)
		}
		return decoder.SkipValue()
	})
	return change, failure
}

// ReadMembers reads an object from a stream; read reads the value of each member.
func ReadMembers(decoder *jsontext.Decoder, read func(name string) error) error {
	if token, failure := decoder.ReadToken(); failure != nil || token.Kind() != '{' {
		return eris.Errorf("want an object: %v", failure)
	}
	for decoder.PeekKind() != '}' {
		token, failure := decoder.ReadToken()
		if failure != nil {
			return failure
		}
		if failure = read(token.String()); failure != nil {
			return failure
		}
	}
	_, failure := decoder.ReadToken()
	return failure
}

// Empty tells whether a change changes nothing.
func (change Change) Empty() bool { return len(change.Set) == 0 && len(change.Remove) == 0 }

// Size is the summed length of all that a change names, in bytes.
func (change Change) Size() int {
	size := 0
	for pointer, value := range change.Set {
		size += len(pointer) + len(value)
	}
	for _, pointer := range change.Remove {
		size += len(pointer)
	}
	return size
}

// Put sets one part.
func (change *Change) Put(pointer, value string) {
	if change.Set == nil {
		change.Set = map[string]Value{}
	}
	change.Set[pointer] = Value(value)
}

// Pointers gives the names of all parts that a change touches, in order.
func (change Change) Pointers() []string {
	pointers := slices.Clone(change.Remove)
	for pointer := range change.Set {
		pointers = append(pointers, pointer)
	}
	slices.Sort(pointers)
	return pointers
}

// Diff gives the change that makes one document out of another. Its cost grows with both documents.
func Diff(from, to *Document) Change {
	return DiffUnder("", from, to)
}

// DiffUnder gives the change that makes those parts of one document whose names begin with a prefix like those of another.
func DiffUnder(prefix string, from, to *Document) Change {
	change := Change{}
	if from == to {
		return change
	}
	to.Under(prefix, func(pointer, value string) bool {
		if former, there := from.Part(pointer); !there || former != value {
			change.Put(pointer, value)
		}
		return false
	})
	from.Under(prefix, func(pointer, _ string) bool {
		if !to.Has(pointer) {
			change.Remove = append(change.Remove, pointer)
		}
		return false
	})
	return change
}

// Rebase gives a document that is equal to one and shares with another all that both have in common.
func (document *Document) Rebase(onto *Document) *Document {
	return onto.Apply(Diff(onto, document))
}
