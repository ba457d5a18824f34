// Package client asks any node of cedarreel; its operations are made from the schema.
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

// Client tries its nodes in turn. A call of a model is tried at another node only while no link to the former one was made.
type Client struct {
	nodes []string
	web   *http.Client
}

type Option func(*Client)

func WithWeb(web *http.Client) Option { return func(client *Client) { client.web = web } }

func New(nodes []string, options ...Option) *Client {
	client := &Client{nodes: nodes, web: http.DefaultClient}
	for _, option := range options {
		option(client)
	}
	return client
}

// Given is a node's answer, whatever its status.
type Given struct {
	Status int
	Header http.Header
	Body   []byte
}

type word struct{ in, name, value string }

type question struct {
	method, path string
	words        []word
	body         []byte
}

// request lays the words where the schema has them; an empty one is left out.
func (question question) request(ctx context.Context, node string) (*http.Request, error) {
	path, query := question.path, url.Values{}
	for _, word := range question.words {
		switch {
		case word.in == "path":
			path = strings.Replace(path, "{"+word.name+"}", url.PathEscape(word.value), 1)
		case word.in == "query" && word.value != "":
			query.Set(word.name, word.value)
		}
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, question.method, "http://"+node+path, io.NopCloser(bytes.NewReader(question.body)))
	if err != nil {
		return nil, err
	}
	if request.ContentLength = int64(len(question.body)); question.body == nil {
		request.Body = http.NoBody
	}
	for _, word := range question.words {
		if word.in == "header" && word.value != "" {
			request.Header.Set(word.name, word.value)
		}
	}
	return request, nil
}

// runs holds for a question that makes a server do something, under the caller's own key.
func (question question) runs() bool {
	return slices.ContainsFunc(question.words, func(word word) bool { return word.name == "Idempotency-Key" })
}

func (client *Client) ask(ctx context.Context, question question) (Given, error) {
	last := error(eris.New("no node to ask"))
	for _, node := range client.nodes {
		request, err := question.request(ctx, node)
		if err != nil {
			return Given{}, eris.Wrap(err, "question")
		}
		response, err := client.web.Do(request)
		if err != nil {
			last = fmt.Errorf("%s: %w", node, err)
			var dialed *net.OpError
			if question.runs() && !(errors.As(err, &dialed) && dialed.Op == "dial") {
				return Given{}, last
			}
			continue
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return Given{Status: response.StatusCode, Header: response.Header, Body: body}, eris.Wrap(err, "the answer broke off")
	}
	return Given{}, last
}
