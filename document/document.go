// Package document holds a configuration as an immutable set of parts. A change makes a new document that shares every other part with
// the former one, so that a version of a configuration costs what its change costs, in memory and in processor time.
//
// A part is named by a JSON Pointer (RFC 6901). Objects of the upper three levels are containers, whose members are parts of their own;
// what lies below is one part. So "/gateway/routes/r1" is a part, and so are the containers "/gateway" and "/gateway/routes", whose own
// value is "{}".
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/benbjohnson/immutable"
	"github.com/rotisserie/eris"
)

const (
	// containerLevels is how many levels of objects, that of the document included, are split into parts.
	containerLevels = 3
	// container is the own value of a part that holds others.
	container = "{}"
)

// Document is an immutable configuration. The zero value is not usable; see Empty.
type Document struct {
	parts  *immutable.SortedMap[string, string]
	digest sum
	size   int
}

var empty = &Document{parts: immutable.NewSortedMap[string, string](nil)}

// Empty gives a document without parts.
func Empty() *Document { return empty }

// Len is how many parts there are, containers included.
func (document *Document) Len() int { return document.parts.Len() }

// Size is the summed length of all parts and their names in bytes.
func (document *Document) Size() int { return document.size }

// Part gives the JSON text of one part.
func (document *Document) Part(pointer string) (string, bool) { return document.parts.Get(pointer) }

// Has tells whether there is a part of this name.
func (document *Document) Has(pointer string) bool {
	_, there := document.Part(pointer)
	return there
}

// Under calls visit for each part whose name begins with a prefix, in the order of names, until visit returns true.
func (document *Document) Under(prefix string, visit func(pointer, value string) bool) {
	document.from(prefix, func(pointer, value string) bool { return !strings.HasPrefix(pointer, prefix) || visit(pointer, value) })
}

// from calls visit for each part from a name on, in the order of names, until visit returns true.
func (document *Document) from(first string, visit func(pointer, value string) bool) {
	if document.parts.Len() == 0 {
		return
	}
	iterator := document.parts.Iterator()
	for iterator.Seek(first); !iterator.Done(); {
		pointer, value, _ := iterator.Next()
		if visit(pointer, value) {
			return
		}
	}
}

// Without gives a document without the parts that lie between two names, the first included and the second not. Those between cost nothing.
func (document *Document) Without(first, after string) *Document {
	edit := editNew()
	document.from("", func(pointer, value string) bool {
		if pointer >= first {
			return true
		}
		edit.set(pointer, value)
		return false
	})
	document.from(after, func(pointer, value string) bool {
		edit.set(pointer, value)
		return false
	})
	return edit.done()
}

// Digest tells documents with different parts apart. It is a sum of the parts' hashes, so that a change costs only the hashes of what
// changed: it guards against damage and mistakes, not against somebody who is free to choose the parts.
func (document *Document) Digest() string {
	return hex.EncodeToString(document.digest.bytes())
}

// Apply gives the document that a change makes of this one.
func (document *Document) Apply(change Change) *Document {
	if change.Empty() {
		return document
	}
	edit := document.edit()
	for _, pointer := range change.Remove {
		edit.remove(pointer)
	}
	for pointer, value := range change.Set {
		edit.set(pointer, string(value))
	}
	return edit.done()
}

// editor builds a document out of another one, or a new one in place.
type editor struct {
	parts *immutable.SortedMap[string, string]
	// fresh collects the parts of a document that is built from nothing, which needs no copies.
	fresh  *immutable.SortedMapBuilder[string, string]
	digest sum
	size   int
}

func (document *Document) edit() *editor {
	return &editor{parts: document.parts, digest: document.digest, size: document.size}
}

func editNew() *editor {
	return &editor{fresh: immutable.NewSortedMapBuilder[string, string](nil)}
}

func (edit *editor) get(pointer string) (string, bool) {
	if edit.fresh != nil {
		return edit.fresh.Get(pointer)
	}
	return edit.parts.Get(pointer)
}

func (edit *editor) set(pointer, value string) {
	if former, there := edit.get(pointer); there {
		edit.forget(pointer, former)
	}
	if edit.fresh != nil {
		edit.fresh.Set(pointer, value)
	} else {
		edit.parts = edit.parts.Set(pointer, value)
	}
	edit.digest.add(hashOf(pointer, value))
	edit.size += len(pointer) + len(value)
}

func (edit *editor) remove(pointer string) {
	if former, there := edit.get(pointer); there {
		edit.forget(pointer, former)
		edit.parts = edit.parts.Delete(pointer)
	}
}

func (edit *editor) forget(pointer, value string) {
	edit.digest.subtract(hashOf(pointer, value))
	edit.size -= len(pointer) + len(value)
}

func (edit *editor) done() *Document {
	if edit.fresh != nil {
		edit.parts = edit.fresh.Map()
	}
	return &Document{parts: edit.parts, digest: edit.digest, size: edit.size}
}

// hashOf gives the hash of one part; a pointer holds no zero byte, so that name and value can't run into each other.
func hashOf(pointer, value string) sum {
	content := make([]byte, 0, len(pointer)+1+len(value))
	content = append(content, pointer...)
	content = append(content, 0)
	content = append(content, value...)
	return sumOf(sha256.Sum256(content))
}

// Escape gives a member's name as it stands in a JSON Pointer.
func Escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

// Unescape gives back what Escape was given.
func Unescape(token string) string {
	return strings.ReplaceAll(strings.ReplaceAll(token, "~1", "/"), "~0", "~")
}

// Pointer joins names of members to a JSON Pointer.
func Pointer(names ...string) string {
	text := strings.Builder{}
	for _, name := range names {
		text.WriteByte('/')
		text.WriteString(Escape(name))
	}
	return text.String()
}

// FromTree makes a document of a JSON object as Tree reads it.
func FromObject(tree map[string]any) (*Document, error) {
	edit := editNew()
	if failure := edit.split("", tree, 1); failure != nil {
		return nil, failure
	}
	return edit.done(), nil
}

// split sets the parts of an object of a level, and those of the objects in it.
func (edit *editor) split(above string, tree map[string]any, level int) error {
	for name, value := range tree {
		pointer := above + "/" + Escape(name)
		object, isObject := value.(map[string]any)
		if isObject && level < containerLevels {
			edit.set(pointer, container)
			if failure := edit.split(pointer, object, level+1); failure != nil {
				return failure
			}
			continue
		}
		content, failure := json.Marshal(value)
		if failure != nil {
			return eris.Wrapf(failure, "%s cannot be written as JSON", pointer)
		}
		edit.set(pointer, string(content))
	}
	return nil
}
