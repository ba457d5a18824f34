// cedardp is the data-plane program. It accepts calls and forwards them to model servers.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
)

func main() {
	if platform.StartedByPlatform() {
		serve.MainWithAdapter("cedardp", platform.Adapter{}, serve.Gateway)
		return
	}
	serve.Main("cedardp", serve.Data)
}
