// generate writes the client's code from the schema: go run ./schema/generate > client/operations.go
package main

import (
	"fmt"
	"os"

	"github.com/cedarreel/cedarreel/schema"
)

func main() {
	made, err := schema.Client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
	_, _ = os.Stdout.Write(made)
}
