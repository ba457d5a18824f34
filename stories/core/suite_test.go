package core

import (
	"testing"

	"github.com/cedarreel/cedarreel/stories/harness"
)

func TestStories(t *testing.T) { harness.RunSuite(t, "core") }
