// cedardp is the data plane: it takes calls and carries them to servers.
package main

import (
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
)

func main() {
	if platform.Present() {
		serve.MainWithAdapter("cedardp", platform.Face{}, serve.Gateway)
		return
	}
	serve.Main("cedardp", serve.Data)
}
