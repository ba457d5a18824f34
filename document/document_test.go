package document

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// model is a document as a plain JSON object.
type model map[string]any

func marshal(t *testing.T, value any) string {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func parseTree(t *testing.T, content string) map[string]any {
	t.Helper()
	read, err := ParseObject([]byte(content))
	if err != nil {
		t.Fatal(content, err)
	}
	return read
}

func newDocument(t *testing.T, content string) *Document {
	t.Helper()
	made, err := FromObject(parseTree(t, content))
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// randomValue returns a value with at most so many levels.
func randomValue(random *rand.Rand, levels int) any {
	switch choice := random.IntN(6); {
	case choice < 3 && levels > 0:
		object := map[string]any{}
		for range random.IntN(4) {
			object[randomName(random)] = randomValue(random, levels-1)
		}
		return object
	case choice == 3:
		return []any{json.Number(fmt.Sprint(random.IntN(9)))}
	case choice == 4:
		return json.Number(fmt.Sprint(random.IntN(1000)))
	}
	return fmt.Sprint("text ", random.IntN(5))
}

func randomName(random *rand.Rand) string {
	return []string{"a", "b", "a-b", "a/b", "~a", "a~1", "c", "é", ""}[random.IntN(9)]
}

func randomObject(random *rand.Rand, levels int) map[string]any {
	for {
		if object, ok := randomValue(random, levels).(map[string]any); ok {
			return object
		}
	}
}

// randomPatch returns a merge patch with some null values, which delete members.
func randomPatch(random *rand.Rand, levels int) map[string]any {
	patch := randomObject(random, levels)
	for name, value := range patch {
		if object, ok := value.(map[string]any); ok && random.IntN(2) == 0 {
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

func TestMergePatchFollowsRFC7386(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		current := model(randomObject(random, 5))
		document, err := FromObject(current)
		if err != nil {
			t.Fatal(err)
		}
		for range 6 {
			patch := randomPatch(random, 5)
			change, err := document.MergePatch(patch)
			if err != nil {
				t.Fatal(err)
			}
			current = merge(current, patch)
			document = document.Apply(change)
			if got := parseTree(t, string(document.JSON())); !reflect.DeepEqual(got, parseTree(t, marshal(t, current))) {
				t.Fatalf("seed %d: after %s: got %s, want %s", seed, marshal(t, patch), document.JSON(), marshal(t, current))
			}
		}
		whole, err := FromObject(current)
		if err != nil || whole.Digest() != document.Digest() || whole.Size() != document.Size() || whole.Len() != document.Len() {
			t.Fatalf("seed %d: equal documents that were made in different ways differ in digest or size: %v", seed, err)
		}
	}
}

func TestJSONRoundTrip(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		made, err := FromObject(randomObject(random, 5))
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(made.JSON())
		if err != nil || again.Digest() != made.Digest() {
			t.Fatalf("seed %d: %s: %v", seed, made.JSON(), err)
		}
		if rebased := again.Rebase(made); rebased.Digest() != made.Digest() {
			t.Fatal("a rebased document has another digest")
		}
	}
}

func TestDiffAndReplace(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 3))
		former, _ := FromObject(randomObject(random, 5))
		next, _ := FromObject(randomObject(random, 5))
		if made := former.Apply(Diff(former, next)); made.Digest() != next.Digest() || marshal(t, made) != marshal(t, next) {
			t.Fatalf("seed %d: %s and %s give %s", seed, marshal(t, former), marshal(t, next), marshal(t, made))
		}
		value := randomValue(random, 3)
		change, err := former.Replace(value, "a", "b")
		if err != nil {
			t.Fatal(err)
		}
		current := parseTree(t, marshal(t, former))
		parent, ok := current["a"].(map[string]any)
		if !ok && current["a"] != nil {
			continue
		}
		if parent == nil {
			parent = map[string]any{}
		}
		parent["b"], current["a"] = value, parent
		if made := former.Apply(change); !reflect.DeepEqual(parseTree(t, marshal(t, made)), parseTree(t, marshal(t, current))) {
			t.Fatalf("seed %d: %s with %s: %s", seed, marshal(t, former), marshal(t, value), marshal(t, made))
		}
	}
}

func TestApplyLeavesTheFormerDocumentUnchanged(t *testing.T) {
	former := newDocument(t, `{"gateway":{"revision":1,"routes":{"r":{"host":"h"}}}}`)
	before, digest := marshal(t, former), former.Digest()
	change, _ := former.MergePatch(parseTree(t, `{"gateway":{"revision":2,"routes":{"r":null,"q":{}}}}`))
	next := former.Apply(change)
	if marshal(t, former) != before || former.Digest() != digest || next.Digest() == digest {
		t.Fatal("a change modified the document that it was applied to")
	}
	back := next.Apply(Diff(next, former))
	if back.Digest() != digest {
		t.Fatal("the digest depends on more than the content")
	}
}

func TestWithoutRange(t *testing.T) {
	document := newDocument(t, `{"a":{"x":{"1":1,"2":2},"y":{"1":1}},"b":1}`)
	if left := string(document.WithoutRange("/a/x/", "/a/x0").JSON()); left != `{"a":{"x":{},"y":{"1":1}},"b":1}` {
		t.Fatal(left)
	}
}

func TestParseRefusesInvalidText(t *testing.T) {
	for _, content := range []string{``, `[]`, `{"a":1`, `{"a":1}{}`, `{"a":1,"a":2}`, `{"a":{"b":{"c":}}}`, `{"a":{"b":{"c":1}}`} {
		if _, err := Parse([]byte(content)); err == nil {
			t.Errorf("%s was accepted", content)
		}
	}
}
