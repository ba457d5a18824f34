// generate writes the code of the client's operations to standard output: go run ./schema/generate > client/operations.go
package main

import (
	"fmt"
	"os"

	"github.com/cedarreel/cedarreel/schema"
)

func main() {
	generated, err := schema.GenerateClient()
	if err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
	_, _ = os.Stdout.Write(generated)
}
