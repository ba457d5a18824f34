// cedarcp is the control-plane program. It tracks nodes and model servers and stores the manifest.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
)

func main() {
	if platform.StartedByPlatform() {
		serve.MainWithAdapter("cedarcp", platform.Adapter{}, serve.ControlWithAdapter)
		return
	}
	serve.Main("cedarcp", serve.Control)
}
