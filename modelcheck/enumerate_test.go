package modelcheck

import (
	"testing"
	"time"
)

const (
	enumeratedDepth  = 3
	enumeratedStates = 100_000
	enumeratedTime   = 60 * time.Second
)

func TestEnumeration(t *testing.T) {
	found := Enumerate(Search{Members: 3, Bounds: DefaultBounds(), Depth: enumeratedDepth, States: enumeratedStates, Within: enumeratedTime})
	t.Log(found)
	if found.Violation != "" {
		t.Fatal(found)
	}
}
