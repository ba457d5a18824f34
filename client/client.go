// Package client calls the HTTP API of any node of cedarreel. Its operations are generated from the schema.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Client sends each operation to its nodes in turn until one answers, whatever the status. A call of a model is only sent to another node
// if no connection to the former one could be made, as it might run twice otherwise.
type Client struct {
	nodes []string
	inner *http.Client
}

// Option configures a client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client, http.DefaultClient otherwise.
func WithHTTPClient(inner *http.Client) Option { return func(client *Client) { client.inner = inner } }

// New returns a client of the nodes with these addresses, each as IP:port.
func New(nodes []string, options ...Option) *Client {
	client := &Client{nodes: nodes, inner: http.DefaultClient}
	for _, option := range options {
		option(client)
	}
	return client
}

// Response is a node's answer, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// parameter is a parameter of an operation; in is "path", "query" or "header".
type parameter struct{ in, name, value string }

// apiCall is one use of an operation of the schema.
type apiCall struct {
	method, path string
	parameters   []parameter
	body         []byte
}

// request returns the HTTP request to a node. Empty query and header parameters are left out.
func (apiCall apiCall) request(ctx context.Context, node string) (*http.Request, error) {
	path, query := apiCall.path, url.Values{}
	for _, parameter := range apiCall.parameters {
		switch {
		case parameter.in == "path":
			path = strings.Replace(path, "{"+parameter.name+"}", url.PathEscape(parameter.value), 1)
		case parameter.in == "query" && parameter.value != "":
			query.Set(parameter.name, parameter.value)
		}
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, apiCall.method, "http://"+node+path, io.NopCloser(bytes.NewReader(apiCall.body)))
	if err != nil {
		return nil, err
	}
	if request.ContentLength = int64(len(apiCall.body)); apiCall.body == nil {
		request.Body = http.NoBody
	}
	for _, parameter := range apiCall.parameters {
		if parameter.in == "header" && parameter.value != "" {
			request.Header.Set(parameter.name, parameter.value)
		}
	}
	return request, nil
}

// isModelCall reports whether the call makes a server run something. Such operations have the caller's idempotency key.
func (apiCall apiCall) isModelCall() bool {
	return slices.ContainsFunc(apiCall.parameters, func(parameter parameter) bool { return parameter.name == "Idempotency-Key" })
}

// do sends a call to the nodes in turn.
func (client *Client) do(ctx context.Context, apiCall apiCall) (Response, error) {
	last := error(eris.New("no node to ask"))
	for _, node := range client.nodes {
		request, err := apiCall.request(ctx, node)
		if err != nil {
			return Response{}, eris.Wrap(err, "question")
		}
		response, err := client.inner.Do(request)
		if err != nil {
			last = fmt.Errorf("%s: %w", node, err)
			var dialed *net.OpError
			if apiCall.isModelCall() && !(errors.As(err, &dialed) && dialed.Op == "dial") {
				return Response{}, last
			}
			continue
		}
		defer response.Body.Close()
		body, err := readBody(response.Body)
		return Response{Status: response.StatusCode, Header: response.Header, Body: body}, eris.Wrap(err, "the answer broke off")
	}
	return Response{}, last
}

// maxBodyBytes bounds the body of an answer.
const maxBodyBytes = 64 << 20

// readBody reads the body of an answer.
func readBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err == nil && len(content) > maxBodyBytes {
		err = fmt.Errorf("the body is larger than %d bytes", maxBodyBytes)
	}
	return content, err
}
