// cedarcp is the control plane: it knows nodes and servers and keeps the manifest.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
)

func main() {
	if platform.Present() {
		serve.MainWithAdapter("cedarcp", platform.Face{}, serve.ControlWithAdapter)
		return
	}
	serve.Main("cedarcp", serve.Control)
}
