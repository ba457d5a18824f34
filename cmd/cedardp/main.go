// cedardp is the data plane: it takes calls and carries them to servers.
package main

import (
	"github.com/cedarreel/cedarreel/serve"
)

func main() { serve.Main("cedardp", serve.Data) }
