// Package schema holds the description of cedarreel's faces and makes the client's code from it.
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
var text []byte

// Operation is one question of the faces.
type Operation struct {
	Name, Summary, Method, Path string
	Words                       []Word
	Body                        bool
}

// Word is one thing that a question is asked with.
type Word struct {
	Name, Field, In string
	Must            bool
}

// Read checks the schema and gives its operations in the order of their names.
func Read() ([]Operation, error) {
	document, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return nil, eris.Wrap(err, "schema")
	}
	if err = document.Validate(openapi3.NewLoader().Context); err != nil {
		return nil, eris.Wrap(err, "schema")
	}
	operations := []Operation{}
	for path, item := range document.Paths.Map() {
		for method, operation := range item.Operations() {
			next := Operation{Name: title(operation.OperationID), Summary: operation.Summary, Method: method, Path: path, Body: operation.RequestBody != nil}
			for _, parameter := range operation.Parameters {
				word := Word{Name: parameter.Value.Name, Field: variable(parameter.Value.Name), In: parameter.Value.In, Must: parameter.Value.Required}
				next.Words = append(next.Words, word)
			}
			operations = append(operations, next)
		}
	}
	sort.Slice(operations, func(left, right int) bool { return operations[left].Name < operations[right].Name })
	return operations, nil
}

func title(name string) string { return strings.ToUpper(name[:1]) + name[1:] }

// variable makes a name of Go's from one of the schema's.
func variable(name string) string {
	name = strings.TrimSuffix(strings.TrimPrefix(name, "Cedar-"), "-Ms")
	switch name {
	case "Idempotency-Key":
		return "key"
	case "Operation-Key":
		return "operation"
	}
	return strings.ToLower(name)
}

const source = `// Code generated from the schema; DO NOT EDIT.

package client

import "context"
{{range .}}
// {{.Name}} {{.Summary}}.
func (client *Client) {{.Name}}(ctx context.Context{{range .Words}}, {{.Field}} string{{end}}{{if .Body}}, body []byte{{end}}) (Given, error) {
	return client.ask(ctx, question{method: "{{.Method}}", path: "{{.Path}}"{{if .Body}}, body: body{{end}}{{if .Words}}, words: []word{
		{{range .Words}}{"{{.In}}", "{{.Name}}", {{.Field}}},
		{{end}} }{{end}}})
}
{{end}}`

// Client gives the client's code.
func Client() ([]byte, error) {
	operations, err := Read()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err = template.Must(template.New("client").Parse(source)).Execute(&out, operations); err != nil {
		return nil, eris.Wrap(err, "client")
	}
	made, err := format.Source(out.Bytes())
	return made, eris.Wrap(err, "client")
}
