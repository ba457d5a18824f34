package link

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/go-kit/log"
)

// TestLogAttributesOfEveryKindAreReadable guards against attributes that logfmt replaces by "unsupported value type".
func TestLogAttributesOfEveryKindAreReadable(t *testing.T) {
	epoch := contract.Epoch{Number: 3, Node: "node-a", Incarnation: "b1"}
	for _, attribute := range []any{epoch, &epoch, []string{"a", "b"}, []int64{1}, map[string]int{"a": 1}, struct{ Field []int }{[]int{7}}, [2]int{1, 2}, nil, errors.New("text"),
		time.Second, "text", 7, true, contract.Position{Revision: 3}, []contract.Epoch{epoch}} {
		output := &strings.Builder{}
		loop := NewLoop(nil, time.Hour, nil, log.NewLogfmtLogger(output))
		loop.Execute(contract.Log{Message: "seen", Attributes: []any{"value", attribute}})
		if line := output.String(); strings.Contains(line, "unsupported") || !strings.HasPrefix(line, "what=seen value=") {
			t.Errorf("%T: %s", attribute, line)
		}
	}
}
