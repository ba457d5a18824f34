// cedarcp is the control plane: it knows nodes and servers and keeps the manifest.
package main

import (
	"github.com/cedarreel/cedarreel/serve"
)

func main() { serve.Main("cedarcp", serve.Control) }
