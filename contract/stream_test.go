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

func TestStreamRoundTrip(t *testing.T) {
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
			t.Fatal("decoded a different version")
		}
	}
}

func TestTruncatedStreamIsRefused(t *testing.T) {
	text := streamed(t, EncodeRecords(Version{}, series(t, 3), MaxRecordBytes))
	for _, length := range []int{1, len(text) / 3, len(text) - 2} {
		if records, err := ReadRecords(bytes.NewReader(text[:length])); err == nil {
			t.Errorf("%d of %d bytes gave %d records", length, len(text), len(records))
		}
	}
}

// FuzzReadRecords checks that arbitrary input is either refused or decoded to versions that match their digests.
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
				t.Fatal("decoded a version that does not match its digest")
			}
		}
	})
}
