// cedarcp is the control-plane program. It tracks nodes and model servers and stores the manifest.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
	"github.com/cedarreel/cedarreel/signals"
)

func main() {
	caught := serve.Signals{Stop: signals.Stop, Reload: signals.Reload}
	if platform.StartedByPlatform() {
		serve.MainWithAdapter("cedarcp", caught, platform.Adapter{}, serve.ControlWithAdapter)
		return
	}
	serve.Main("cedarcp", caught, serve.Control)
}
