package contract

import (
	"bytes"
	"testing"
)

func streamed(t testing.TB, records []Record) []byte {
	t.Helper()
	text := bytes.Buffer{}
	if failure := WriteRecords(&text, records); failure != nil {
		t.Fatal(failure)
	}
	return text.Bytes()
}

func TestStreamedRecordsAreOpenedAsTheyWereWritten(t *testing.T) {
	versions := series(t, 12)
	records, failure := ReadRecords(bytes.NewReader(streamed(t, Records(Version{}, versions, RecordsMost))))
	if failure != nil {
		t.Fatal(failure)
	}
	opened, failure := OpenRecords(records, nil)
	if failure != nil || len(opened) != len(versions) {
		t.Fatal(len(opened), failure)
	}
	for place, version := range opened {
		if version.Digest != versions[place].Digest || version.Place != versions[place].Place || version.Operation != versions[place].Operation {
			t.Fatal("another version was opened")
		}
	}
}

func TestAStreamThatEndsEarlyGivesNothing(t *testing.T) {
	text := streamed(t, Records(Version{}, series(t, 3), RecordsMost))
	for _, length := range []int{1, len(text) / 3, len(text) - 2} {
		if records, failure := ReadRecords(bytes.NewReader(text[:length])); failure == nil {
			t.Errorf("%d of %d bytes gave %d records", length, len(text), len(records))
		}
	}
}

// FuzzReadRecords wants whatever comes to be refused, or to open only as what has its digest.
func FuzzReadRecords(f *testing.F) {
	versions := series(&testing.T{}, 3)
	f.Add(streamed(f, Records(Version{}, versions, RecordsMost)))
	f.Add([]byte(`{"place":{"view":1,"revision":2},"digest":"","manifest":{}}`))
	f.Add([]byte(`{"change":{"set":{"/a":1},"remove":["/b"]},"base":{"revision":1}}`))
	f.Add([]byte(`{"manifest":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		records, failure := ReadRecords(bytes.NewReader(text))
		if failure != nil {
			return
		}
		opened, _ := OpenRecords(records, func(Place) (Version, bool) { return versions[0], true })
		for _, version := range opened {
			if version.Document().Digest() != version.Digest {
				t.Fatal("a version was opened that does not have its digest")
			}
		}
	})
}
