// cedarctl is the operators' command-line client. Any node accepts its requests and returns the answer of the control plane.
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

// options are the command-line options.
type options struct {
	Nodes     []string      `long:"node" description:"IP:port of any node; more than one are tried in turn" default:"127.0.0.1:7400" env:"CEDAR_NODE" env-delim:","`
	JSON      bool          `long:"json" description:"print the answer as it came"`
	Operation string        `long:"operation" description:"operation key of a write; give the same one to ask again"`
	Patience  time.Duration `long:"patience" description:"how long to wait for an answer" default:"10s"`
	Version   bool          `long:"version" description:"print the version and stop"`
}

// subcommand is a command with the names of its parameters, for the help text. run returns the exit code of the program.
type subcommand struct {
	parameters []string
	summary    string
	run        func(session *session, arguments []string) (int, error)
}

// Exit codes: the request failed without an answer, the command line is wrong, the request was refused, or it may succeed later.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitRefused    = 3
	exitRetryLater = 4
)

func main() {
	var parsed options
	parser := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "cedarctl"
	parser.Usage = "[OPTIONS] COMMAND [WORDS]\n\n" + commandList()
	arguments, err := parser.Parse()
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return
	}
	if err != nil {
		fail(exitUsage, err)
	}
	if parsed.Version {
		fmt.Println("cedarctl", serve.Version)
		return
	}
	if len(arguments) == 0 {
		fail(exitUsage, errors.New("a command is missing\n"+commandList()))
	}
	command, found := subcommands()[arguments[0]]
	if !found || len(arguments)-1 != len(command.parameters) {
		fail(exitUsage, fmt.Errorf("no such command with %d arguments: %s\n%s", len(arguments)-1, arguments[0], commandList()))
	}
	exitCode, err := command.run(&session{options: parsed, client: client.New(parsed.Nodes, client.WithHTTPClient(&http.Client{Timeout: parsed.Patience}))}, arguments[1:])
	if err != nil {
		fail(exitCode, err)
	}
	os.Exit(exitCode)
}

// fail prints an error and ends the program.
func fail(exitCode int, err error) {
	fmt.Fprintln(os.Stderr, "cedarctl:", err)
	os.Exit(exitCode)
}

// withoutArgument returns the run function of a read without arguments.
func withoutArgument(call func(*client.Client, context.Context) (client.Response, error)) func(*session, []string) (int, error) {
	return func(session *session, _ []string) (int, error) {
		return session.printResponse(call(session.client, context.Background()))
	}
}

// withArgument returns the run function of a read with one argument.
func withArgument(call func(*client.Client, context.Context, string) (client.Response, error)) func(*session, []string) (int, error) {
	return func(session *session, arguments []string) (int, error) {
		return session.printResponse(call(session.client, context.Background(), arguments[0]))
	}
}

// writeWithArgument returns the run function of a write with one argument and the operation key.
func writeWithArgument(call func(*client.Client, context.Context, string, string) (client.Response, error)) func(*session, []string) (int, error) {
	return func(session *session, arguments []string) (int, error) {
		return session.printResponse(call(session.client, context.Background(), arguments[0], session.operationKey()))
	}
}

// subcommands returns all commands by name.
func subcommands() map[string]subcommand {
	return map[string]subcommand{
		"get":         {nil, "the newest accepted manifest", getManifest},
		"revision":    {[]string{"N"}, "an accepted manifest by its revision", withArgument((*client.Client).Manifest)},
		"history":     {nil, "the kept revisions", withoutArgument((*client.Client).History)},
		"put":         {[]string{"FILE", "BASE"}, "replace the whole manifest that has this base revision", putFile},
		"patch":       {[]string{"FILE"}, "merge a partial manifest", patchFile},
		"drain":       {[]string{"HALL"}, "take a zone out of service", writeWithArgument((*client.Client).Drain)},
		"undrain":     {[]string{"HALL"}, "take a zone back into service", writeWithArgument((*client.Client).Undrain)},
		"scale":       {[]string{"POOL", "N"}, "set how many servers a pool has", scalePool},
		"operation":   {[]string{"KEY"}, "the outcome of a write", withArgument((*client.Client).Operation)},
		"members":     {nil, "the live and the unreachable nodes", withoutArgument((*client.Client).Members)},
		"start":       {nil, "what the start of the asked process waits for, at its own port or at the status port that its log names", withoutArgument((*client.Client).Start)},
		"shards":      {nil, "owners, epochs and pick lists", withoutArgument((*client.Client).Shards)},
		"retirements": {nil, "servers that are being retired or were", withoutArgument((*client.Client).Retirements)},
		"cache":       {nil, "the servers' caches as calls have observed them", withoutArgument((*client.Client).Cache)},
		"chain":       {nil, "the core's view and chain", withoutArgument((*client.Client).Chain)},
		"why":         {[]string{"CALL"}, "why a call was sent to its server", withArgument((*client.Client).Why)},
		"call":        {[]string{"CALLER", "KEY"}, "the outcome of a call; the node must be a cedardp", getCall},
		"gone":        {[]string{"MACHINE"}, "declare that a core machine will never return", writeWithArgument((*client.Client).Gone)},
		"metrics":     {nil, "the metrics of one node", withoutArgument((*client.Client).Metrics)},
	}
}

// commandList returns the list of commands for the help text.
func commandList() string {
	lines := []string{"Commands:"}
	for _, name := range []string{"get", "revision", "history", "put", "patch", "drain", "undrain", "scale", "operation", "members", "shards", "retirements", "cache", "chain", "why", "call", "gone", "metrics"} {
		command := subcommands()[name]
		lines = append(lines, fmt.Sprintf("  %-24s %s", strings.Join(append([]string{name}, command.parameters...), " "), command.summary))
	}
	return strings.Join(lines, "\n")
}

func getManifest(session *session, _ []string) (int, error) {
	return session.printResponse(session.client.Manifest(context.Background(), ""))
}

func putFile(session *session, arguments []string) (int, error) {
	content, err := os.ReadFile(arguments[0])
	if err != nil {
		return exitUsage, err
	}
	return session.printResponse(session.client.Replace(context.Background(), arguments[1], session.operationKey(), content))
}

func patchFile(session *session, arguments []string) (int, error) {
	content, err := os.ReadFile(arguments[0])
	if err != nil {
		return exitUsage, err
	}
	return session.printResponse(session.client.Merge(context.Background(), session.operationKey(), content))
}

func getCall(session *session, arguments []string) (int, error) {
	return session.printResponse(session.client.Call(context.Background(), arguments[1], arguments[0], ""))
}

func scalePool(session *session, arguments []string) (int, error) {
	return session.printResponse(session.client.Scale(context.Background(), arguments[0], session.operationKey(), []byte(arguments[1])))
}

// session is one run of the program.
type session struct {
	options
	client *client.Client
}

// operationKey returns the key of a write, a random one unless the user gave one. It is the same for all nodes, so that a write whose answer
// was lost can be sent again without taking effect twice.
func (session *session) operationKey() string {
	if session.Operation == "" {
		random := make([]byte, 8)
		if _, err := rand.Read(random); err != nil {
			panic(err)
		}
		session.Operation = hex.EncodeToString(random)
	}
	return session.Operation
}

// printResponse prints an answer and returns the exit code. An error names the operation key, so that the user can retry with it.
func (session *session) printResponse(response client.Response, err error) (int, error) {
	if err != nil && session.Operation != "" {
		return exitFailed, fmt.Errorf("%w (operation key %s)", err, session.Operation)
	}
	if err != nil {
		return exitFailed, err
	}
	session.printBody(response.Body)
	return exitCodeFor(response.Status), nil
}

// exitCodeFor returns the exit code for an HTTP status.
func exitCodeFor(status int) int {
	switch {
	case status == http.StatusOK || status == http.StatusAccepted:
		return 0
	case status >= 500:
		return exitRetryLater
	}
	return exitRefused
}

// printBody prints a JSON body for reading, or as it is with the option for JSON. Text that is not JSON is printed as it is.
func (session *session) printBody(content []byte) {
	var pretty bytes.Buffer
	if session.JSON || json.Indent(&pretty, content, "", "  ") != nil {
		fmt.Print(string(content))
		return
	}
	fmt.Print(formatBody(content))
}
