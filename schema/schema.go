// Package schema contains the OpenAPI description of cedarreel's HTTP API and generates the client's code from it.
package schema

import (
	"bytes"
	_ "embed"
	"go/format"
	"sort"
	"strings"
	"text/template"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/rotisserie/eris"
)

//go:embed cedarreel.yaml
var specification []byte

// Operation is an operation of the API. Name is the method of the client, Summary its doc comment without the name; Body tells whether a
// request has a body.
type Operation struct {
	Name, Summary, Method, Path string
	Arguments                   []Argument
	Body                        bool
}

// Argument is a parameter of an operation. In is "path", "query" or "header"; Variable is the name of the method's argument.
type Argument struct {
	Name, Variable, In string
	IsRequired         bool
}

// Load validates the schema and returns its operations in the order of their names.
func Load() ([]Operation, error) {
	document, err := openapi3.NewLoader().LoadFromData(specification)
	if err != nil {
		return nil, eris.Wrap(err, "schema")
	}
	if err = document.Validate(openapi3.NewLoader().Context); err != nil {
		return nil, eris.Wrap(err, "schema")
	}
	operations := []Operation{}
	for path, item := range document.Paths.Map() {
		for method, operation := range item.Operations() {
			next := Operation{Name: exportedName(operation.OperationID), Summary: operation.Summary, Method: method, Path: path, Body: operation.RequestBody != nil}
			for _, parameter := range operation.Parameters {
				argument := Argument{Name: parameter.Value.Name, Variable: variableName(parameter.Value.Name), In: parameter.Value.In, IsRequired: parameter.Value.Required}
				next.Arguments = append(next.Arguments, argument)
			}
			operations = append(operations, next)
		}
	}
	sort.Slice(operations, func(left, right int) bool { return operations[left].Name < operations[right].Name })
	return operations, nil
}

// exportedName returns a name with its first letter in upper case.
func exportedName(name string) string { return strings.ToUpper(name[:1]) + name[1:] }

// variableName returns the Go variable for a parameter of the schema.
func variableName(name string) string {
	name = strings.TrimSuffix(strings.TrimPrefix(name, "Cedar-"), "-Ms")
	switch name {
	case "Idempotency-Key":
		return "key"
	case "Operation-Key":
		return "operation"
	}
	return strings.ToLower(name)
}

// clientTemplate is the template of client/operations.go.
const clientTemplate = `// Code generated from the schema; DO NOT EDIT.

package client

import "context"
{{range .}}
// {{.Name}} {{.Summary}}.
func (client *Client) {{.Name}}(ctx context.Context{{range .Arguments}}, {{.Variable}} string{{end}}{{if .Body}}, body []byte{{end}}) (Response, error) {
	return client.do(ctx, apiCall{method: "{{.Method}}", path: "{{.Path}}"{{if .Body}}, body: body{{end}}{{if .Arguments}}, parameters: []parameter{
		{{range .Arguments}}{"{{.In}}", "{{.Name}}", {{.Variable}}},
		{{end}} }{{end}}})
}
{{end}}`

// GenerateClient returns the Go code of the client's operations.
func GenerateClient() ([]byte, error) {
	operations, err := Load()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err = template.Must(template.New("client").Parse(clientTemplate)).Execute(&out, operations); err != nil {
		return nil, eris.Wrap(err, "client")
	}
	generated, err := format.Source(out.Bytes())
	return generated, eris.Wrap(err, "client")
}
