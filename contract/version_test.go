package contract

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/document"
)

// series returns versions each of which makes a small change to its predecessor.
func series(t *testing.T, count int) []Version {
	t.Helper()
	parts := []string{}
	for part := range 200 {
		parts = append(parts, fmt.Sprintf(`"p%d":%d`, part, part))
	}
	content, err := document.Parse([]byte(`{"items":{"all":{` + strings.Join(parts, ",") + `}}}`))
	if err != nil {
		t.Fatal(err)
	}
	versions := []Version{NewVersion(Position{View: 1, Revision: 1}, "o1/f", content)}
	for number := 1; number < count; number++ {
		change := document.Change{}
		change.SetPart("/items/all/p7", fmt.Sprint("7", number))
		last := versions[len(versions)-1]
		versions = append(versions, last.Next(Position{View: 1, Revision: last.Position.Revision + 1}, fmt.Sprintf("o%d/f", number+1), change))
	}
	return versions
}

// sent returns records after a round trip through JSON.
func sent(t *testing.T, records []Record) []Record {
	t.Helper()
	content, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	arrived := []Record{}
	if err := json.Unmarshal(content, &arrived); err != nil {
		t.Fatal(err)
	}
	return arrived
}

func TestRecordsRoundTrip(t *testing.T) {
	versions := series(t, 20)
	for base := range versions {
		records := sent(t, EncodeRecords(versions[base], versions[base+1:], MaxRecordBytes))
		decoded, err := DecodeRecords(records, func(index Position) (Version, bool) { return versions[base], index == versions[base].Position })
		if err != nil || len(decoded) != len(versions)-base-1 {
			t.Fatal(base, err, len(decoded))
		}
		for index, version := range decoded {
			if want := versions[base+1+index]; version.Digest != want.Digest || version.Operation != want.Operation || string(version.Document().JSON()) != string(want.Document().JSON()) {
				t.Fatal("decoded a different version")
			}
		}
	}
}

func TestRecordIsDeltaToAnyBaseOrFull(t *testing.T) {
	versions := series(t, 6)
	back := versions[1].RecordRelativeTo(versions[5])
	if back.IsFull() || back.Size() > 100 {
		t.Fatal("want a small delta from a newer version to an older one")
	}
	decoded, err := DecodeRecords(sent(t, []Record{back}), func(Position) (Version, bool) { return versions[5], true })
	if err != nil || decoded[0].Digest != versions[1].Digest {
		t.Fatal(err)
	}
	if !versions[3].RecordRelativeTo(Version{}).IsFull() {
		t.Fatal("want a full record without a base")
	}
}

func TestRecordsWithoutMatchingBaseAreRefused(t *testing.T) {
	versions := series(t, 4)
	none := func(Position) (Version, bool) { return Version{}, false }
	records := EncodeRecords(versions[0], versions[1:], MaxRecordBytes)
	if decoded, err := DecodeRecords(records, none); err == nil || len(decoded) > 0 {
		t.Fatal("decoded a delta without its base")
	}
	wrongBase := func(Position) (Version, bool) { return NewVersion(versions[0].Position, "", document.Empty()), true }
	if decoded, err := DecodeRecords(records, wrongBase); err == nil || len(decoded) > 0 {
		t.Fatal("decoded a delta to different content")
	}
	lookup := func(Position) (Version, bool) { return versions[0], true }
	broken := sent(t, records)
	broken[1].Change.Set["/items/all/p8"] = document.Value("0")
	if decoded, err := DecodeRecords(broken, lookup); err == nil || len(decoded) != 1 {
		t.Fatal("want the record before the altered one only:", err, len(decoded))
	}
	if _, err := DecodeRecords([]Record{{Position: versions[1].Position, Digest: versions[1].Digest, Base: &versions[0].Position}}, lookup); err == nil {
		t.Fatal("decoded a record without a change")
	}
	var version Version
	if content, _ := json.Marshal(records[0]); json.Unmarshal(content, &version) == nil {
		t.Fatal("decoded a delta as a full version")
	}
}

func TestRecordsStayWithinByteLimit(t *testing.T) {
	versions := series(t, 20)
	if records := EncodeRecords(Version{}, versions, 0); len(records) != 1 {
		t.Fatal("want at least one record:", len(records))
	}
	if records := EncodeRecords(versions[0], versions[1:], 100); len(records) == 0 || len(records) > 10 {
		t.Fatal(len(records))
	}
}
