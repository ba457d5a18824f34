package link

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
)

const (
	rowSize   = 512
	batchSize = 64
	mostBody  = 32 << 20
	Path      = "/link"
	mostLinks = 1024
	// largeBundle is the size in bytes from which it is told how long a bundle took.
	largeBundle = 256 << 10
)

// Bundle is what one process posts to another.
type Bundle struct {
	Messages []contract.Message `json:"messages"`
}

// Sender has one goroutine and one bounded ring for each address; what does not fit or does not arrive is lost and counted.
type Sender struct {
	self   contract.Member
	client *http.Client
	faults *Faults
	count  func(name string, by int64)
	say    func(contract.Log)
	lock   sync.Mutex
	rings  map[string]chan contract.Message
	stop   <-chan struct{}
}

func NewSender(self contract.Member, timeout time.Duration, faults *Faults, stop <-chan struct{}) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Sender{self: self, client: &http.Client{Transport: transport, Timeout: timeout}, faults: faults,
		count: func(string, int64) {}, say: func(contract.Log) {}, rings: map[string]chan contract.Message{}, stop: stop}
}

func (sender *Sender) Counting(count func(name string, by int64)) { sender.count = count }

// Saying has the sender tell of large bundles.
func (sender *Sender) Saying(say func(contract.Log)) { sender.say = say }

func (sender *Sender) Send(command contract.Send) {
	body, err := json.Marshal(command.Body)
	if err != nil {
		panic(err)
	}
	message := contract.Message{Kind: command.Kind, From: sender.self.Name, Boot: sender.self.Boot, Body: body}
	sender.lock.Lock()
	ring, there := sender.rings[command.To]
	if !there && len(sender.rings) < mostLinks {
		ring = make(chan contract.Message, rowSize)
		sender.rings[command.To] = ring
		go sender.carry(command.To, ring)
	}
	sender.lock.Unlock()
	select {
	case ring <- message:
	default:
		sender.count("messages_dropped", 1)
	}
}

func (sender *Sender) carry(address string, ring chan contract.Message) {
	post := sender.endpoint(address)
	for {
		bundle := Bundle{}
		select {
		case <-sender.stop:
			return
		case message := <-ring:
			bundle.Messages = append(bundle.Messages, message)
		}
		size := len(bundle.Messages[0].Body)
		for len(ring) > 0 && len(bundle.Messages) < batchSize && size < mostBody/4 {
			message := <-ring
			size += len(message.Body)
			bundle.Messages = append(bundle.Messages, message)
		}
		if sender.faults.Cut(address) || sender.faults.Lost() {
			sender.count("messages_cut", int64(len(bundle.Messages)))
			continue
		}
		began := time.Now()
		_, err := post(context.Background(), bundle)
		if err != nil {
			sender.count("messages_lost", int64(len(bundle.Messages)))
		}
		if size >= largeBundle {
			sender.say(contract.Log{Message: "large bundle", Attributes: []any{"to", address, "kind", bundle.Messages[0].Kind, "bytes", size, "ms", time.Since(began).Milliseconds(), "error", err}})
		}
	}
}

func (sender *Sender) endpoint(address string) endpoint.Endpoint {
	encode := func(_ context.Context, request any) (*http.Request, error) {
		content, err := json.Marshal(request)
		if err != nil {
			return nil, err
		}
		body, encoding := compress(content)
		posted, failure := http.NewRequest(http.MethodPost, "http://"+address+Path, io.NopCloser(bytes.NewReader(body)))
		if failure != nil {
			return nil, failure
		}
		posted.ContentLength = int64(len(body))
		posted.Header["User-Agent"] = nil
		if encoding != "" {
			posted.Header.Set("Content-Encoding", encoding)
		}
		return posted, nil
	}
	decode := func(_ context.Context, response *http.Response) (any, error) {
		if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusOK {
			return nil, eris.Errorf("link answered %d", response.StatusCode)
		}
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostBody))
		return nil, err
	}
	return kithttp.NewExplicitClient(encode, decode, kithttp.SetClient(sender.client)).Endpoint()
}

// Receive is the face that takes messages from other processes.
func Receive(loop *Loop) http.Handler {
	decode := func(_ context.Context, request *http.Request) (any, error) {
		var bundle Bundle
		body, failure := decompress(request)
		if failure != nil {
			return bundle, failure
		}
		defer body.Close()
		return bundle, json.NewDecoder(body).Decode(&bundle)
	}
	take := func(_ context.Context, request any) (any, error) {
		for _, message := range request.(Bundle).Messages {
			loop.Try(message)
		}
		return struct{}{}, nil
	}
	return kithttp.NewServer(take, decode, arrived, kithttp.ServerBefore(noteAgent))
}

type agentKey struct{}

func noteAgent(ctx context.Context, request *http.Request) context.Context {
	return context.WithValue(ctx, agentKey{}, request.UserAgent())
}

// arrived answers with a status line alone. Older senders take only 200 for arrived; they are those that send a User-Agent.
func arrived(ctx context.Context, writer http.ResponseWriter, _ any) error {
	writer.Header()["Date"] = nil
	if ctx.Value(agentKey{}) == "" {
		writer.WriteHeader(http.StatusNoContent)
	}
	return nil
}
