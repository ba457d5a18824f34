package document

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// model is a document as a plain tree.
type model map[string]any

func text(t *testing.T, value any) string {
	t.Helper()
	content, failure := json.Marshal(value)
	if failure != nil {
		t.Fatal(failure)
	}
	return string(content)
}

func tree(t *testing.T, content string) map[string]any {
	t.Helper()
	read, failure := ParseObject([]byte(content))
	if failure != nil {
		t.Fatal(content, failure)
	}
	return read
}

func parsed(t *testing.T, content string) *Document {
	t.Helper()
	made, failure := FromObject(tree(t, content))
	if failure != nil {
		t.Fatal(failure)
	}
	return made
}

// drawn gives a value of so many levels at most.
func drawn(random *rand.Rand, levels int) any {
	switch choice := random.IntN(6); {
	case choice < 3 && levels > 0:
		object := map[string]any{}
		for range random.IntN(4) {
			object[drawnName(random)] = drawn(random, levels-1)
		}
		return object
	case choice == 3:
		return []any{json.Number(fmt.Sprint(random.IntN(9)))}
	case choice == 4:
		return json.Number(fmt.Sprint(random.IntN(1000)))
	}
	return fmt.Sprint("text ", random.IntN(5))
}

func drawnName(random *rand.Rand) string {
	return []string{"a", "b", "a-b", "a/b", "~a", "a~1", "c", "é", ""}[random.IntN(9)]
}

func drawnObject(random *rand.Rand, levels int) map[string]any {
	for {
		if object, fine := drawn(random, levels).(map[string]any); fine {
			return object
		}
	}
}

// patchOf is a drawn object in which some values take things away.
func patchOf(random *rand.Rand, levels int) map[string]any {
	patch := drawnObject(random, levels)
	for name, value := range patch {
		if object, fine := value.(map[string]any); fine && random.IntN(2) == 0 {
			for inner := range object {
				object[inner] = nil
			}
		}
		if random.IntN(5) == 0 {
			patch[name] = nil
		}
	}
	return patch
}

func TestPatchesGiveWhatRFC7386Gives(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		held := model(drawnObject(random, 5))
		document, failure := FromObject(held)
		if failure != nil {
			t.Fatal(failure)
		}
		for range 6 {
			patch := patchOf(random, 5)
			change, failure := document.MergePatch(patch)
			if failure != nil {
				t.Fatal(failure)
			}
			held = merge(held, patch)
			document = document.Apply(change)
			if got := tree(t, string(document.JSON())); !reflect.DeepEqual(got, tree(t, text(t, held))) {
				t.Fatalf("seed %d: after %s: got %s, want %s", seed, text(t, patch), document.JSON(), text(t, held))
			}
		}
		whole, failure := FromObject(held)
		if failure != nil || whole.Digest() != document.Digest() || whole.Size() != document.Size() || whole.Len() != document.Len() {
			t.Fatalf("seed %d: the same content made in another way has another digest or size: %v", seed, failure)
		}
	}
}

func TestWhatIsWrittenIsReadBack(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		made, failure := FromObject(drawnObject(random, 5))
		if failure != nil {
			t.Fatal(failure)
		}
		again, failure := Parse(made.JSON())
		if failure != nil || again.Digest() != made.Digest() {
			t.Fatalf("seed %d: %s: %v", seed, made.JSON(), failure)
		}
		if rebased := again.Rebase(made); rebased.Digest() != made.Digest() {
			t.Fatal("a rebased document is another one")
		}
	}
}

func TestDifferencesAndReplacements(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 3))
		former, _ := FromObject(drawnObject(random, 5))
		next, _ := FromObject(drawnObject(random, 5))
		if made := former.Apply(Diff(former, next)); made.Digest() != next.Digest() || text(t, made) != text(t, next) {
			t.Fatalf("seed %d: %s and %s give %s", seed, text(t, former), text(t, next), text(t, made))
		}
		value := drawn(random, 3)
		change, failure := former.Replace(value, "a", "b")
		if failure != nil {
			t.Fatal(failure)
		}
		held := tree(t, text(t, former))
		above, fine := held["a"].(map[string]any)
		if !fine && held["a"] != nil {
			continue
		}
		if above == nil {
			above = map[string]any{}
		}
		above["b"], held["a"] = value, above
		if made := former.Apply(change); !reflect.DeepEqual(tree(t, text(t, made)), tree(t, text(t, held))) {
			t.Fatalf("seed %d: %s with %s: %s", seed, text(t, former), text(t, value), text(t, made))
		}
	}
}

func TestFormerDocumentsStayAsTheyWere(t *testing.T) {
	former := parsed(t, `{"gateway":{"revision":1,"routes":{"r":{"host":"h"}}}}`)
	before, digest := text(t, former), former.Digest()
	change, _ := former.MergePatch(tree(t, `{"gateway":{"revision":2,"routes":{"r":null,"q":{}}}}`))
	next := former.Apply(change)
	if text(t, former) != before || former.Digest() != digest || next.Digest() == digest {
		t.Fatal("a change reached the document that it was made of")
	}
	back := next.Apply(Diff(next, former))
	if back.Digest() != digest {
		t.Fatal("the digest is not that of the content")
	}
}

func TestPartsBetweenTwoNamesAreLeftOut(t *testing.T) {
	document := parsed(t, `{"a":{"x":{"1":1,"2":2},"y":{"1":1}},"b":1}`)
	if left := string(document.Without("/a/x/", "/a/x0").JSON()); left != `{"a":{"x":{},"y":{"1":1}},"b":1}` {
		t.Fatal(left)
	}
}

func TestWrongTextIsRefused(t *testing.T) {
	for _, content := range []string{``, `[]`, `{"a":1`, `{"a":1}{}`, `{"a":1,"a":2}`, `{"a":{"b":{"c":}}}`, `{"a":{"b":{"c":1}}`} {
		if _, failure := Parse([]byte(content)); failure == nil {
			t.Errorf("%s was taken", content)
		}
	}
}
