package contract

import (
	"encoding/json"
	"io"

	"github.com/cedarreel/cedarreel/document"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// WriteRecords writes records as a stream of JSON objects.
func WriteRecords(writer io.Writer, records []Record) error {
	encoder := json.NewEncoder(writer)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return eris.Wrap(err, "record cannot be written as JSON")
		}
	}
	return nil
}

// ReadRecords reads what WriteRecords wrote until the end of the stream. It parses documents while reading, so that their text is never
// held in memory beside the parsed form.
func ReadRecords(reader io.Reader) ([]Record, error) {
	decoder, records := jsontext.NewDecoder(reader), []Record{}
	for {
		if kind := decoder.PeekKind(); kind != '{' {
			break
		}
		record, err := readRecord(decoder)
		if err != nil {
			return nil, eris.Wrap(err, "record cannot be read")
		}
		records = append(records, record)
	}
	if _, err := decoder.ReadToken(); err != io.EOF {
		return nil, eris.Wrap(err, "records end in something else")
	}
	return records, nil
}

func readRecord(decoder *jsontext.Decoder) (Record, error) {
	record := Record{}
	err := document.DecodeMembers(decoder, func(name string) error {
		switch name {
		case "change":
			change, err := document.DecodeChange(decoder)
			record.Change = &change
			return err
		case "manifest":
			content, err := document.Decode(decoder)
			record.content = content
			return err
		}
		value, err := decoder.ReadValue()
		if err != nil {
			return err
		}
		switch name {
		case "place":
			return json.Unmarshal(value, &record.Position)
		case "operation":
			return json.Unmarshal(value, &record.Operation)
		case "digest":
			return json.Unmarshal(value, &record.Digest)
		case "base":
			return json.Unmarshal(value, &record.Base)
		}
		return nil
	})
	return record, err
}
