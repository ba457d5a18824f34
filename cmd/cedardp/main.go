// cedardp is the data-plane program. It accepts calls and forwards them to model servers.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
	"github.com/cedarreel/cedarreel/signals"
)

func main() {
	caught := serve.Signals{Stop: signals.Stop, Reload: signals.Reload}
	if platform.StartedByPlatform() {
		serve.MainWithAdapter("cedardp", caught, platform.Adapter{}, serve.Gateway)
		return
	}
	serve.Main("cedardp", caught, serve.Data)
}
