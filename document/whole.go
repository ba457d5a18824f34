package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Parse reads a document that JSON wrote. Unlike FromObject it keeps the text of each part as it is instead of formatting it again.
func Parse(content []byte) (*Document, error) {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(content))
	read, err := Decode(decoder)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.ReadToken(); err != io.EOF {
		return nil, eris.New("data after the end of the object")
	}
	return read, nil
}

// Decode reads a document from a stream, without a second copy of its text in memory; see Parse.
func Decode(decoder *jsontext.Decoder) (*Document, error) {
	if decoder.PeekKind() != '{' {
		return nil, eris.New("want a JSON object")
	}
	edit := newEditor()
	if err := edit.decode(decoder, "", 1); err != nil {
		return nil, err
	}
	return edit.build(), nil
}

// decode reads an object at a level from a stream and sets its parts.
func (edit *editor) decode(decoder *jsontext.Decoder, parent string, level int) error {
	if _, err := decoder.ReadToken(); err != nil {
		return eris.Wrapf(err, "%s: not JSON", parent)
	}
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return eris.Wrapf(err, "%s: not JSON", parent)
		}
		pointer := parent + "/" + Escape(token.String())
		if level < containerLevels && decoder.PeekKind() == '{' {
			edit.set(pointer, containerValue)
			if err = edit.decode(decoder, pointer, level+1); err != nil {
				return err
			}
			continue
		}
		value, err := decoder.ReadValue()
		if err != nil {
			return eris.Wrapf(err, "%s: not JSON", pointer)
		}
		edit.set(pointer, string(value))
	}
	_, err := decoder.ReadToken()
	return eris.Wrapf(err, "%s: not JSON", parent)
}

// member is one member of a container.
type member struct{ name, pointer, value string }

// JSON returns the whole document. The texts of equal documents are equal.
func (document *Document) JSON() []byte {
	members := map[string][]member{}
	document.VisitPrefix("", func(pointer, value string) bool {
		index := strings.LastIndexByte(pointer, '/')
		parent := pointer[:index]
		members[parent] = append(members[parent], member{name: Unescape(pointer[index+1:]), pointer: pointer, value: value})
		return false
	})
	text := bytes.NewBuffer(make([]byte, 0, document.size))
	writeMembers(text, members, "")
	return text.Bytes()
}

// MarshalJSON returns the same text as JSON.
func (document *Document) MarshalJSON() ([]byte, error) { return document.JSON(), nil }

// writeMembers writes the container at a pointer.
func writeMembers(text *bytes.Buffer, members map[string][]member, parent string) {
	text.WriteByte('{')
	for index, entry := range members[parent] {
		if index > 0 {
			text.WriteByte(',')
		}
		name, _ := json.Marshal(entry.name)
		text.Write(name)
		text.WriteByte(':')
		if entry.value == containerValue && strings.Count(entry.pointer, "/") < containerLevels {
			writeMembers(text, members, entry.pointer)
			continue
		}
		text.WriteString(entry.value)
	}
	text.WriteByte('}')
}
