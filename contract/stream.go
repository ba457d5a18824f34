package contract

import (
	"encoding/json"
	"io"

	"github.com/cedarreel/cedarreel/document"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// WriteRecords writes records one after the other.
func WriteRecords(writer io.Writer, records []Record) error {
	encoder := json.NewEncoder(writer)
	for _, record := range records {
		if failure := encoder.Encode(record); failure != nil {
			return eris.Wrap(failure, "record cannot be written as JSON")
		}
	}
	return nil
}

// ReadRecords reads what WriteRecords wrote, without holding the text of the parts twice.
func ReadRecords(reader io.Reader) ([]Record, error) {
	decoder, records := jsontext.NewDecoder(reader), []Record{}
	for {
		if kind := decoder.PeekKind(); kind != '{' {
			break
		}
		record, failure := readRecord(decoder)
		if failure != nil {
			return nil, eris.Wrap(failure, "record cannot be read")
		}
		records = append(records, record)
	}
	if _, failure := decoder.ReadToken(); failure != io.EOF {
		return nil, eris.Wrap(failure, "records end in something else")
	}
	return records, nil
}

func readRecord(decoder *jsontext.Decoder) (Record, error) {
	record := Record{}
	failure := document.DecodeMembers(decoder, func(name string) error {
		switch name {
		case "change":
			change, failure := document.DecodeChange(decoder)
			record.Change = &change
			return failure
		case "manifest":
			content, failure := document.Decode(decoder)
			record.content = content
			return failure
		}
		value, failure := decoder.ReadValue()
		if failure != nil {
			return failure
		}
		switch name {
		case "place":
			return json.Unmarshal(value, &record.Place)
		case "operation":
			return json.Unmarshal(value, &record.Operation)
		case "digest":
			return json.Unmarshal(value, &record.Digest)
		case "base":
			return json.Unmarshal(value, &record.Base)
		}
		return nil
	})
	return record, failure
}
