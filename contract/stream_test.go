package contract

import (
	"bytes"
	"testing"
)

func streamed(t testing.TB, records []Record) []byte {
	t.Helper()
	text := bytes.Buffer{}
	if err := WriteRecords(&text, records); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

func TestStreamedRecordsAreOpenedAsTheyWereWritten(t *testing.T) {
	versions := series(t, 12)
	records, err := ReadRecords(bytes.NewReader(streamed(t, EncodeRecords(Version{}, versions, MaxRecordBytes))))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeRecords(records, nil)
	if err != nil || len(decoded) != len(versions) {
		t.Fatal(len(decoded), err)
	}
	for index, version := range decoded {
		if version.Digest != versions[index].Digest || version.Position != versions[index].Position || version.Operation != versions[index].Operation {
			t.Fatal("another version was opened")
		}
	}
}

func TestAStreamThatEndsEarlyGivesNothing(t *testing.T) {
	text := streamed(t, EncodeRecords(Version{}, series(t, 3), MaxRecordBytes))
	for _, length := range []int{1, len(text) / 3, len(text) - 2} {
		if records, err := ReadRecords(bytes.NewReader(text[:length])); err == nil {
			t.Errorf("%d of %d bytes gave %d records", length, len(text), len(records))
		}
	}
}

// FuzzReadRecords wants whatever comes to be refused, or to open only as what has its digest.
func FuzzReadRecords(f *testing.F) {
	versions := series(&testing.T{}, 3)
	f.Add(streamed(f, EncodeRecords(Version{}, versions, MaxRecordBytes)))
	f.Add([]byte(`{"place":{"view":1,"revision":2},"digest":"","manifest":{}}`))
	f.Add([]byte(`{"change":{"set":{"/a":1},"remove":["/b"]},"base":{"revision":1}}`))
	f.Add([]byte(`{"manifest":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		records, err := ReadRecords(bytes.NewReader(text))
		if err != nil {
			return
		}
		decoded, _ := DecodeRecords(records, func(Position) (Version, bool) { return versions[0], true })
		for _, version := range decoded {
			if version.Document().Digest() != version.Digest {
				t.Fatal("a version was opened that does not have its digest")
			}
		}
	})
}
