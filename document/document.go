// Package document stores a configuration as an immutable set of parts. Applying a change makes a new document that shares all other parts
// with the former one, so that the memory and processor time of a new version depend on the size of the change only.
//
// A part is identified by a JSON Pointer (RFC 6901). Objects of the upper three levels are containers, whose members are parts of their
// own; a value below these levels belongs to its part. So "/gateway/routes/r1" is a part, and so are the containers "/gateway" and
// "/gateway/routes", whose own value is "{}".
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
	// containerLevels is how many levels of objects are split into parts. The document itself is the first level.
	containerLevels = 3
	// containerValue is the own value of a part that contains others.
	containerValue = "{}"
)

// Document is an immutable configuration. The zero value is not usable; start from Empty.
type Document struct {
	parts  *immutable.SortedMap[string, string]
	digest hashSum
	size   int
}

// emptyDocument is shared by all callers of Empty.
var emptyDocument = &Document{parts: immutable.NewSortedMap[string, string](nil)}

// Empty returns the document without parts.
func Empty() *Document { return emptyDocument }

// Len returns the number of parts, containers included.
func (document *Document) Len() int { return document.parts.Len() }

// Size returns the length of all pointers and values in bytes.
func (document *Document) Size() int { return document.size }

// Part returns the JSON text of one part, and whether there is one.
func (document *Document) Part(pointer string) (string, bool) { return document.parts.Get(pointer) }

// Has reports whether there is a part with this pointer.
func (document *Document) Has(pointer string) bool {
	_, found := document.Part(pointer)
	return found
}

// VisitPrefix calls visit for each part whose pointer has a prefix, in ascending order, until visit returns true.
func (document *Document) VisitPrefix(prefix string, visit func(pointer, value string) bool) {
	document.visitFrom(prefix, func(pointer, value string) bool { return !strings.HasPrefix(pointer, prefix) || visit(pointer, value) })
}

// visitFrom calls visit for each part from a pointer on, in ascending order, until visit returns true.
func (document *Document) visitFrom(first string, visit func(pointer, value string) bool) {
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

// WithoutRange returns a document without the parts from one pointer, inclusive, to another, exclusive. Its cost doesn't depend on the size
// of the range.
func (document *Document) WithoutRange(first, after string) *Document {
	edit := newEditor()
	document.visitFrom("", func(pointer, value string) bool {
		if pointer >= first {
			return true
		}
		edit.set(pointer, value)
		return false
	})
	document.visitFrom(after, func(pointer, value string) bool {
		edit.set(pointer, value)
		return false
	})
	return edit.build()
}

// Digest returns a hexadecimal digest of the parts. It is a sum of the parts' hashes, so that a change costs only the hashes of what changed.
// It detects damage and mistakes, but does not resist an attacker who can choose the parts.
func (document *Document) Digest() string {
	return hex.EncodeToString(document.digest.bytes())
}

// Apply returns the document after a change.
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
	return edit.build()
}

// editor builds a document, either from an existing one, whose parts it copies on write, or from nothing, in place.
type editor struct {
	parts *immutable.SortedMap[string, string]
	// builder collects the parts of a document that is built from nothing; it is nil otherwise.
	builder *immutable.SortedMapBuilder[string, string]
	digest  hashSum
	size    int
}

// edit returns an editor that starts with the parts of a document.
func (document *Document) edit() *editor {
	return &editor{parts: document.parts, digest: document.digest, size: document.size}
}

// newEditor returns an editor that starts without parts.
func newEditor() *editor {
	return &editor{builder: immutable.NewSortedMapBuilder[string, string](nil)}
}

func (edit *editor) get(pointer string) (string, bool) {
	if edit.builder != nil {
		return edit.builder.Get(pointer)
	}
	return edit.parts.Get(pointer)
}

func (edit *editor) set(pointer, value string) {
	if former, found := edit.get(pointer); found {
		edit.discount(pointer, former)
	}
	if edit.builder != nil {
		edit.builder.Set(pointer, value)
	} else {
		edit.parts = edit.parts.Set(pointer, value)
	}
	edit.digest.add(partHash(pointer, value))
	edit.size += len(pointer) + len(value)
}

func (edit *editor) remove(pointer string) {
	if former, found := edit.get(pointer); found {
		edit.discount(pointer, former)
		edit.parts = edit.parts.Delete(pointer)
	}
}

// discount takes a part out of the digest and the size.
func (edit *editor) discount(pointer, value string) {
	edit.digest.subtract(partHash(pointer, value))
	edit.size -= len(pointer) + len(value)
}

// build returns the document. The editor must not be used afterwards.
func (edit *editor) build() *Document {
	if edit.builder != nil {
		edit.parts = edit.builder.Map()
	}
	return &Document{parts: edit.parts, digest: edit.digest, size: edit.size}
}

// partHash returns the hash of one part. Pointer and value are separated by a zero byte, which no pointer contains.
func partHash(pointer, value string) hashSum {
	content := make([]byte, 0, len(pointer)+1+len(value))
	content = append(content, pointer...)
	content = append(content, 0)
	content = append(content, value...)
	return newHashSum(sha256.Sum256(content))
}

// Escape returns a member's name in the form that it has in a JSON Pointer.
func Escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

// Unescape reverses Escape.
func Unescape(token string) string {
	return strings.ReplaceAll(strings.ReplaceAll(token, "~1", "/"), "~0", "~")
}

// Pointer joins the names of nested members to a JSON Pointer.
func Pointer(names ...string) string {
	text := strings.Builder{}
	for _, name := range names {
		text.WriteByte('/')
		text.WriteString(Escape(name))
	}
	return text.String()
}

// FromObject makes a document of a JSON object as ParseObject reads it.
func FromObject(tree map[string]any) (*Document, error) {
	edit := newEditor()
	if err := edit.split("", tree, 1); err != nil {
		return nil, err
	}
	return edit.build(), nil
}

// split sets the parts of an object at a level, and those of the objects in it.
func (edit *editor) split(parent string, tree map[string]any, level int) error {
	for name, value := range tree {
		pointer := parent + "/" + Escape(name)
		object, isObject := value.(map[string]any)
		if isObject && level < containerLevels {
			edit.set(pointer, containerValue)
			if err := edit.split(pointer, object, level+1); err != nil {
				return err
			}
			continue
		}
		content, err := json.Marshal(value)
		if err != nil {
			return eris.Wrapf(err, "%s cannot be written as JSON", pointer)
		}
		edit.set(pointer, string(content))
	}
	return nil
}
