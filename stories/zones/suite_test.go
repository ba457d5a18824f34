package zones

import (
	"testing"

	"github.com/cedarreel/cedarreel/stories/told"
)

func TestStories(t *testing.T) { told.Run(t, "zones") }
