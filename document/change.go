package document

import (
	"encoding/json"
	"slices"
)

// Change makes one document out of another: parts that are removed, then parts that are set, by JSON Pointer.
type Change struct {
	Set    map[string]json.RawMessage `json:"set,omitempty"`
	Remove []string                   `json:"remove,omitempty"`
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
		change.Set = map[string]json.RawMessage{}
	}
	change.Set[pointer] = json.RawMessage(value)
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
