package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Parse reads a document that JSON wrote. Unlike FromTree it keeps the text of each part as it is, so that nothing is formatted anew.
func Parse(content []byte) (*Document, error) {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(content))
	read, failure := Read(decoder)
	if failure != nil {
		return nil, failure
	}
	if _, failure := decoder.ReadToken(); failure != io.EOF {
		return nil, eris.New("data after the end of the object")
	}
	return read, nil
}

// Read reads a document from a stream, without holding its text twice; see Parse.
func Read(decoder *jsontext.Decoder) (*Document, error) {
	if decoder.PeekKind() != '{' {
		return nil, eris.New("want a JSON object")
	}
	edit := editNew()
	if failure := edit.read(decoder, "", 1); failure != nil {
		return nil, failure
	}
	return edit.done(), nil
}

// read sets the parts of the object that a decoder stands before.
func (edit *editor) read(decoder *jsontext.Decoder, above string, level int) error {
	if _, failure := decoder.ReadToken(); failure != nil {
		return eris.Wrapf(failure, "%s: not JSON", above)
	}
	for decoder.PeekKind() != '}' {
		token, failure := decoder.ReadToken()
		if failure != nil {
			return eris.Wrapf(failure, "%s: not JSON", above)
		}
		pointer := above + "/" + Escape(token.String())
		if level < containerLevels && decoder.PeekKind() == '{' {
			edit.set(pointer, container)
			if failure = edit.read(decoder, pointer, level+1); failure != nil {
				return failure
			}
			continue
		}
		value, failure := decoder.ReadValue()
		if failure != nil {
			return eris.Wrapf(failure, "%s: not JSON", pointer)
		}
		edit.set(pointer, string(value))
	}
	_, failure := decoder.ReadToken()
	return eris.Wrapf(failure, "%s: not JSON", above)
}

// member is one member of a container.
type member struct{ name, pointer, value string }

// JSON writes the whole document; equal documents are written alike.
func (document *Document) JSON() []byte {
	members := map[string][]member{}
	document.Under("", func(pointer, value string) bool {
		place := strings.LastIndexByte(pointer, '/')
		above := pointer[:place]
		members[above] = append(members[above], member{name: Unescape(pointer[place+1:]), pointer: pointer, value: value})
		return false
	})
	text := bytes.NewBuffer(make([]byte, 0, document.size))
	write(text, members, "")
	return text.Bytes()
}

// MarshalJSON writes the whole document.
func (document *Document) MarshalJSON() ([]byte, error) { return document.JSON(), nil }

func write(text *bytes.Buffer, members map[string][]member, above string) {
	text.WriteByte('{')
	for place, one := range members[above] {
		if place > 0 {
			text.WriteByte(',')
		}
		name, _ := json.Marshal(one.name)
		text.Write(name)
		text.WriteByte(':')
		if one.value == container && strings.Count(one.pointer, "/") < containerLevels {
			write(text, members, one.pointer)
			continue
		}
		text.WriteString(one.value)
	}
	text.WriteByte('}')
}
