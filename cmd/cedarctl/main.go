// cedarctl is the operators' client: any node takes its questions and gives the authority's answer.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/client"
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
	run       func(asker *asker, words []string) (int, error)
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
	words, err := parser.Parse()
	var asked *flags.Error
	if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
		fmt.Println(asked.Message)
		return
	}
	if err != nil {
		fail(exitUsage, err)
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
	code, err := command.run(&asker{common: given, client: client.New(given.Nodes, client.WithHTTPClient(&http.Client{Timeout: given.Patience}))}, words[1:])
	if err != nil {
		fail(code, err)
	}
	os.Exit(code)
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "cedarctl:", err)
	os.Exit(code)
}

// plainly is a question without words of its own.
func plainly(ask func(*client.Client, context.Context) (client.Response, error)) func(*asker, []string) (int, error) {
	return func(asker *asker, _ []string) (int, error) {
		return asker.tell(ask(asker.client, context.Background()))
	}
}

// about is a question about one thing.
func about(ask func(*client.Client, context.Context, string) (client.Response, error)) func(*asker, []string) (int, error) {
	return func(asker *asker, words []string) (int, error) {
		return asker.tell(ask(asker.client, context.Background(), words[0]))
	}
}

// order is a write about one thing, under the operation key.
func order(ask func(*client.Client, context.Context, string, string) (client.Response, error)) func(*asker, []string) (int, error) {
	return func(asker *asker, words []string) (int, error) {
		return asker.tell(ask(asker.client, context.Background(), words[0], asker.operation()))
	}
}

func verbs() map[string]verb {
	return map[string]verb{
		"get":         {nil, "the newest accepted manifest", newest},
		"revision":    {[]string{"N"}, "an accepted manifest by its revision", about((*client.Client).Manifest)},
		"history":     {nil, "the kept revisions", plainly((*client.Client).History)},
		"put":         {[]string{"FILE", "BASE"}, "replace the whole manifest that has this base revision", putFile},
		"patch":       {[]string{"FILE"}, "merge a partial manifest", patchFile},
		"drain":       {[]string{"HALL"}, "take a zone out of service", order((*client.Client).Drain)},
		"undrain":     {[]string{"HALL"}, "take a zone back into service", order((*client.Client).Undrain)},
		"scale":       {[]string{"POOL", "N"}, "set how many servers a pool has", scale},
		"operation":   {[]string{"KEY"}, "what became of a write", about((*client.Client).Operation)},
		"members":     {nil, "the live nodes and the silent ones", plainly((*client.Client).Members)},
		"shards":      {nil, "owners, epochs and pick lists", plainly((*client.Client).Shards)},
		"retirements": {nil, "servers that retire or did", plainly((*client.Client).Retirements)},
		"cache":       {nil, "what calls showed of the servers' caches", plainly((*client.Client).Cache)},
		"chain":       {nil, "the core's view and chain", plainly((*client.Client).Chain)},
		"why":         {[]string{"CALL"}, "why a call went where it went", about((*client.Client).Why)},
		"call":        {[]string{"CALLER", "KEY"}, "what became of a call; the node must be a cedardp", callOf},
		"gone":        {[]string{"MACHINE"}, "say that a core machine will never return", order((*client.Client).Gone)},
		"metrics":     {nil, "one node's own counters", plainly((*client.Client).Metrics)},
	}
}

func listing() string {
	lines := []string{"Commands:"}
	for _, name := range []string{"get", "revision", "history", "put", "patch", "drain", "undrain", "scale", "operation", "members", "shards", "retirements", "cache", "chain", "why", "call", "gone", "metrics"} {
		command := verbs()[name]
		lines = append(lines, fmt.Sprintf("  %-24s %s", strings.Join(append([]string{name}, command.arguments...), " "), command.about))
	}
	return strings.Join(lines, "\n")
}

func newest(asker *asker, _ []string) (int, error) {
	return asker.tell(asker.client.Manifest(context.Background(), ""))
}

func putFile(asker *asker, words []string) (int, error) {
	content, err := os.ReadFile(words[0])
	if err != nil {
		return exitUsage, err
	}
	return asker.tell(asker.client.Replace(context.Background(), words[1], asker.operation(), content))
}

func patchFile(asker *asker, words []string) (int, error) {
	content, err := os.ReadFile(words[0])
	if err != nil {
		return exitUsage, err
	}
	return asker.tell(asker.client.Merge(context.Background(), asker.operation(), content))
}

func callOf(asker *asker, words []string) (int, error) {
	return asker.tell(asker.client.Call(context.Background(), words[1], words[0], ""))
}

func scale(asker *asker, words []string) (int, error) {
	return asker.tell(asker.client.Scale(context.Background(), words[0], asker.operation(), []byte(words[1])))
}

type asker struct {
	common
	client *client.Client
}

// operation is the key of a write; it stays the same at every node, so a lost answer can be asked for again.
func (asker *asker) operation() string {
	if asker.Operation == "" {
		random := make([]byte, 8)
		if _, err := rand.Read(random); err != nil {
			panic(err)
		}
		asker.Operation = hex.EncodeToString(random)
	}
	return asker.Operation
}

func (asker *asker) tell(given client.Response, err error) (int, error) {
	if err != nil && asker.Operation != "" {
		return exitFailed, fmt.Errorf("%w (operation key %s)", err, asker.Operation)
	}
	if err != nil {
		return exitFailed, err
	}
	asker.print(given.Body)
	return code(given.Status), nil
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

func (asker *asker) print(content []byte) {
	var pretty bytes.Buffer
	if asker.JSON || json.Indent(&pretty, content, "", "  ") != nil {
		fmt.Print(string(content))
		return
	}
	fmt.Print(plain(content))
}
