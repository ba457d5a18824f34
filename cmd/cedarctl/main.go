// cedarctl is the operators' client: any node takes its questions and gives the authority's answer.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/serve"
	"github.com/jessevdk/go-flags"
)

type common struct {
	Nodes     []string      `long:"node" description:"IP:port of any node; more than one are tried in turn" default:"127.0.0.1:7400" env:"CEDAR_NODE" env-delim:","`
	JSON      bool          `long:"json" description:"print the answer as it came"`
	Operation string        `long:"operation" description:"operation key of a write; give the same one to ask again"`
	Patience  time.Duration `long:"patience" description:"how long to wait for an answer" default:"10s"`
	Version   bool          `long:"version" description:"print the version and stop"`
}

type verb struct {
	arguments []string
	about     string
	run       func(client *client, words []string) (int, error)
}

const (
	exitFailed = 1
	exitUsage  = 2
	exitRefuse = 3
	exitLater  = 4
)

func main() {
	var given common
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "cedarctl"
	parser.Usage = "[OPTIONS] COMMAND [WORDS]\n\n" + listing()
	words, mishap := parser.Parse()
	var asked *flags.Error
	if errors.As(mishap, &asked) && asked.Type == flags.ErrHelp {
		fmt.Println(asked.Message)
		return
	}
	if mishap != nil {
		fail(exitUsage, mishap)
	}
	if given.Version {
		fmt.Println("cedarctl", serve.Version)
		return
	}
	if len(words) == 0 {
		fail(exitUsage, errors.New("which command?\n"+listing()))
	}
	command, there := verbs()[words[0]]
	if !there || len(words)-1 != len(command.arguments) {
		fail(exitUsage, fmt.Errorf("no such command with %d words: %s\n%s", len(words)-1, words[0], listing()))
	}
	code, mishap := command.run(&client{common: given, web: &http.Client{Timeout: given.Patience}}, words[1:])
	if mishap != nil {
		fail(code, mishap)
	}
	os.Exit(code)
}

func fail(code int, mishap error) {
	fmt.Fprintln(os.Stderr, "cedarctl:", mishap)
	os.Exit(code)
}

func get(path string) func(*client, []string) (int, error) {
	return func(client *client, words []string) (int, error) {
		for _, word := range words {
			path = strings.Replace(path, "*", url.PathEscape(word), 1)
		}
		return client.ask(http.MethodGet, path, nil)
	}
}

func post(path string) func(*client, []string) (int, error) {
	return func(client *client, words []string) (int, error) {
		return client.ask(http.MethodPost, strings.Replace(path, "*", url.PathEscape(words[0]), 1), nil)
	}
}

func verbs() map[string]verb {
	return map[string]verb{
		"get":         {nil, "the newest accepted manifest", get("/v1/manifest")},
		"revision":    {[]string{"N"}, "an accepted manifest by its revision", get("/v1/manifest?revision=*")},
		"history":     {nil, "the kept revisions", get("/v1/manifest/history")},
		"put":         {[]string{"FILE", "BASE"}, "replace the whole manifest that has this base revision", putFile},
		"patch":       {[]string{"FILE"}, "merge a partial manifest", patchFile},
		"drain":       {[]string{"HALL"}, "take a hall out of service", post("/v1/halls/*/drain")},
		"undrain":     {[]string{"HALL"}, "take a hall back into service", post("/v1/halls/*/undrain")},
		"scale":       {[]string{"POOL", "N"}, "set how many servers a pool has", scale},
		"operation":   {[]string{"KEY"}, "what became of a write", get("/v1/operations/*")},
		"members":     {nil, "the live nodes and the silent ones", get("/v1/members")},
		"shards":      {nil, "owners, epochs and pick lists", get("/v1/shards")},
		"retirements": {nil, "servers that retire or did", get("/v1/retirements")},
		"chain":       {nil, "the core's view and chain", get("/v1/chain")},
		"why":         {[]string{"CALL"}, "why a call went where it went", get("/v1/why/*")},
		"call":        {[]string{"CALLER", "KEY"}, "what became of a call; the node must be a cedardp", callOf},
		"gone":        {[]string{"MACHINE"}, "say that a core machine will never return", post("/v1/machines/*/gone")},
		"metrics":     {nil, "one node's own counters", get("/metrics")},
	}
}

func listing() string {
	lines := []string{"Commands:"}
	for _, name := range []string{"get", "revision", "history", "put", "patch", "drain", "undrain", "scale", "operation", "members", "shards", "retirements", "chain", "why", "call", "gone", "metrics"} {
		command := verbs()[name]
		lines = append(lines, fmt.Sprintf("  %-24s %s", strings.Join(append([]string{name}, command.arguments...), " "), command.about))
	}
	return strings.Join(lines, "\n")
}

func putFile(client *client, words []string) (int, error) {
	content, mishap := os.ReadFile(words[0])
	if mishap != nil {
		return exitUsage, mishap
	}
	return client.ask(http.MethodPut, "/v1/manifest?base="+url.QueryEscape(words[1]), content)
}

func patchFile(client *client, words []string) (int, error) {
	content, mishap := os.ReadFile(words[0])
	if mishap != nil {
		return exitUsage, mishap
	}
	return client.ask(http.MethodPatch, "/v1/manifest", content)
}

func callOf(client *client, words []string) (int, error) {
	client.caller = words[0]
	return client.ask(http.MethodGet, "/v1/calls/"+url.PathEscape(words[1]), nil)
}

func scale(client *client, words []string) (int, error) {
	return client.ask(http.MethodPost, "/v1/pools/"+url.PathEscape(words[0])+"/scale", []byte(words[1]))
}

type client struct {
	common
	web    *http.Client
	caller string
}

// ask tries the nodes in turn; the operation key stays the same, so a lost answer can be asked for again.
func (client *client) ask(method, path string, body []byte) (int, error) {
	if client.Operation == "" && method != http.MethodGet {
		random := make([]byte, 8)
		if _, mishap := rand.Read(random); mishap != nil {
			return exitFailed, mishap
		}
		client.Operation = hex.EncodeToString(random)
	}
	var last error
	for _, node := range client.Nodes {
		request, mishap := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
		if mishap != nil {
			return exitUsage, mishap
		}
		request.Header.Set("Operation-Key", client.Operation)
		request.Header.Set("Cedar-Caller", client.caller)
		response, mishap := client.web.Do(request)
		if mishap != nil {
			last = fmt.Errorf("%w (operation key %s)", mishap, client.Operation)
			continue
		}
		defer response.Body.Close()
		content, mishap := io.ReadAll(response.Body)
		if mishap != nil {
			return exitFailed, mishap
		}
		client.print(content)
		return code(response.StatusCode), nil
	}
	return exitFailed, last
}

func code(status int) int {
	switch {
	case status == http.StatusOK || status == http.StatusAccepted:
		return 0
	case status >= 500:
		return exitLater
	}
	return exitRefuse
}

func (client *client) print(content []byte) {
	var pretty bytes.Buffer
	if client.JSON || json.Indent(&pretty, content, "", "  ") != nil {
		fmt.Print(string(content))
		return
	}
	fmt.Print(plain(content))
}
