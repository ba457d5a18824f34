package contract

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cedarreel/cedarreel/document"
)

// series gives versions of which each is a small change of the one before it.
func series(t *testing.T, count int) []Version {
	t.Helper()
	parts := []string{}
	for part := range 200 {
		parts = append(parts, fmt.Sprintf(`"p%d":%d`, part, part))
	}
	content, failure := document.Parse([]byte(`{"items":{"all":{` + strings.Join(parts, ",") + `}}}`))
	if failure != nil {
		t.Fatal(failure)
	}
	versions := []Version{FirstVersion(Place{View: 1, Revision: 1}, "o1/f", content)}
	for number := 1; number < count; number++ {
		change := document.Change{}
		change.SetPart("/items/all/p7", fmt.Sprint("7", number))
		last := versions[len(versions)-1]
		versions = append(versions, last.Next(Place{View: 1, Revision: last.Place.Revision + 1}, fmt.Sprintf("o%d/f", number+1), change))
	}
	return versions
}

// sent gives records as they arrive.
func sent(t *testing.T, records []Record) []Record {
	t.Helper()
	content, failure := json.Marshal(records)
	if failure != nil {
		t.Fatal(failure)
	}
	arrived := []Record{}
	if failure := json.Unmarshal(content, &arrived); failure != nil {
		t.Fatal(failure)
	}
	return arrived
}

func TestRecordsAreOpenedAsTheyWereSent(t *testing.T) {
	versions := series(t, 20)
	for base := range versions {
		records := sent(t, Records(versions[base], versions[base+1:], RecordsMost))
		opened, failure := OpenRecords(records, func(place Place) (Version, bool) { return versions[base], place == versions[base].Place })
		if failure != nil || len(opened) != len(versions)-base-1 {
			t.Fatal(base, failure, len(opened))
		}
		for place, version := range opened {
			if want := versions[base+1+place]; version.Digest != want.Digest || version.Operation != want.Operation || string(version.Document().JSON()) != string(want.Document().JSON()) {
				t.Fatal("another version was opened")
			}
		}
	}
}

func TestARecordIsTheChangeOfAnyBaseOrWhole(t *testing.T) {
	versions := series(t, 6)
	back := versions[1].RecordFrom(versions[5])
	if back.Whole() || back.Size() > 100 {
		t.Fatal("an older version is no small change of a newer one")
	}
	opened, failure := OpenRecords(sent(t, []Record{back}), func(Place) (Version, bool) { return versions[5], true })
	if failure != nil || opened[0].Digest != versions[1].Digest {
		t.Fatal(failure)
	}
	if !versions[3].RecordFrom(Version{}).Whole() {
		t.Fatal("without a base a record is whole")
	}
}

func TestWhatCannotBePutTogetherIsRefused(t *testing.T) {
	versions := series(t, 4)
	none := func(Place) (Version, bool) { return Version{}, false }
	records := Records(versions[0], versions[1:], RecordsMost)
	if opened, failure := OpenRecords(records, none); failure == nil || len(opened) > 0 {
		t.Fatal("a change was opened without its base")
	}
	wrongBase := func(Place) (Version, bool) { return FirstVersion(versions[0].Place, "", document.Empty()), true }
	if opened, failure := OpenRecords(records, wrongBase); failure == nil || len(opened) > 0 {
		t.Fatal("a change of another content was opened")
	}
	held := func(Place) (Version, bool) { return versions[0], true }
	broken := sent(t, records)
	broken[1].Change.Set["/items/all/p8"] = document.Value("0")
	if opened, failure := OpenRecords(broken, held); failure == nil || len(opened) != 1 {
		t.Fatal("a change that was altered was opened, or the one before it was not:", failure, len(opened))
	}
	if _, failure := OpenRecords([]Record{{Place: versions[1].Place, Digest: versions[1].Digest, Base: &versions[0].Place}}, held); failure == nil {
		t.Fatal("a record without a change was opened")
	}
	var version Version
	if content, _ := json.Marshal(records[0]); json.Unmarshal(content, &version) == nil {
		t.Fatal("a change was read as a whole version")
	}
}

func TestRecordsFitIntoAMessage(t *testing.T) {
	versions := series(t, 20)
	if records := Records(Version{}, versions, 0); len(records) != 1 {
		t.Fatal("at least one record is sent:", len(records))
	}
	if records := Records(versions[0], versions[1:], 100); len(records) == 0 || len(records) > 10 {
		t.Fatal(len(records))
	}
}
