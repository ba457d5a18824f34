package document

import (
	"encoding/json"
	"slices"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Change is the difference between two documents: parts to remove and parts to set, by JSON Pointer. Removals are applied first.
type Change struct {
	Set    map[string]Value `json:"set,omitempty"`
	Remove []string         `json:"remove,omitempty"`
}

// Value is the JSON text of a part. A change and the documents that it is applied to share the text in memory.
type Value string

// MarshalJSON returns the text as it is.
func (value Value) MarshalJSON() ([]byte, error) { return []byte(value), nil }

// UnmarshalJSON keeps the text as it is.
func (value *Value) UnmarshalJSON(content []byte) error {
	*value = Value(content)
	return nil
}

// DecodeChange reads a change from a stream, without a second copy of its text in memory.
func DecodeChange(decoder *jsontext.Decoder) (Change, error) {
	change := Change{}
	err := DecodeMembers(decoder, func(name string) error {
		switch name {
		case "set":
			return DecodeMembers(decoder, func(pointer string) error {
				value, err := decoder.ReadValue()
				change.SetPart(pointer, string(value))
				return err
			})
		case "remove":
			value, err := decoder.ReadValue()
			if err != nil {
				return err
			}
			return json.Unmarshal(value, &change.Remove)
		}
		return decoder.SkipValue()
	})
	return change, err
}

// DecodeMembers reads an object from a stream. It calls read for each member, which must consume the member's value.
func DecodeMembers(decoder *jsontext.Decoder, read func(name string) error) error {
	if token, err := decoder.ReadToken(); err != nil || token.Kind() != '{' {
		return eris.Errorf("want an object: %v", err)
	}
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return err
		}
		if err = read(token.String()); err != nil {
			return err
		}
	}
	_, err := decoder.ReadToken()
	return err
}

// Empty reports whether a change has no effect.
func (change Change) Empty() bool { return len(change.Set) == 0 && len(change.Remove) == 0 }

// Size returns the length of all pointers and values of a change in bytes.
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

// SetPart sets one part.
func (change *Change) SetPart(pointer, value string) {
	if change.Set == nil {
		change.Set = map[string]Value{}
	}
	change.Set[pointer] = Value(value)
}

// Pointers returns the pointers of all parts that a change touches, in ascending order.
func (change Change) Pointers() []string {
	pointers := slices.Clone(change.Remove)
	for pointer := range change.Set {
		pointers = append(pointers, pointer)
	}
	slices.Sort(pointers)
	return pointers
}

// Diff returns the change that turns one document into another. Its cost is linear in the size of both.
func Diff(from, to *Document) Change {
	return DiffPrefix("", from, to)
}

// DiffPrefix returns the change that gives the parts of one document whose pointers have a prefix the values they have in another.
func DiffPrefix(prefix string, from, to *Document) Change {
	change := Change{}
	if from == to {
		return change
	}
	to.VisitPrefix(prefix, func(pointer, value string) bool {
		if former, found := from.Part(pointer); !found || former != value {
			change.SetPart(pointer, value)
		}
		return false
	})
	from.VisitPrefix(prefix, func(pointer, _ string) bool {
		if !to.Has(pointer) {
			change.Remove = append(change.Remove, pointer)
		}
		return false
	})
	return change
}

// Rebase returns a document that is equal to this one and shares its common parts with another one.
func (document *Document) Rebase(onto *Document) *Document {
	return onto.Apply(Diff(onto, document))
}
