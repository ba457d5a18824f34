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
	peerQueueSize     = 512      // messages that wait for one address
	maxBundleMessages = 64       // messages in one bundle
	maxBodySize       = 32 << 20 // bytes of a bundle or an answer
	// Path is the HTTP path of the endpoint for bundles.
	Path     = "/link"
	maxPeers = 4096 // addresses with a queue, more than a fleet has nodes
	// peerIdleTime is how long the queue of an address is kept without a message, so that nodes that are gone leave room for new ones.
	peerIdleTime = time.Minute
	// largeBundleSize is the size in bytes from which a bundle is logged with the time that it took.
	largeBundleSize = 256 << 10
)

// Bundle is the body that one process posts to another.
type Bundle struct {
	Messages []contract.Message `json:"messages"`
}

// Sender has one goroutine and one bounded queue for each address. Messages that do not fit or do not arrive are lost and counted.
type Sender struct {
	self       contract.Member
	client     *http.Client
	faults     *Faults
	addCounter func(name string, by int64)
	log        func(contract.Log)
	lock       sync.Mutex
	queues     map[string]chan contract.Message
	stop       <-chan struct{}
	// idleTime is how long the queue of an address is kept without a message.
	idleTime time.Duration
}

// NewSender returns a sender for the member self; timeout bounds each post, and closing stop ends its goroutines.
func NewSender(self contract.Member, timeout time.Duration, faults *Faults, stop <-chan struct{}) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: MaxAnswerHeadBytes}
	return &Sender{self: self, client: &http.Client{Transport: transport, Timeout: timeout}, faults: faults,
		addCounter: func(string, int64) {}, log: func(contract.Log) {}, queues: map[string]chan contract.Message{}, stop: stop, idleTime: peerIdleTime}
}

// SetCounter sets the function that counts lost messages.
func (sender *Sender) SetCounter(count func(name string, by int64)) { sender.addCounter = count }

// SetLogger sets the function that logs large bundles.
func (sender *Sender) SetLogger(say func(contract.Log)) { sender.log = say }

// Send queues a message and does not wait; it is dropped and counted if the queue is full.
func (sender *Sender) Send(command contract.Send) {
	body, err := json.Marshal(command.Body)
	if err != nil {
		panic(err)
	}
	message := contract.Message{Kind: command.Kind, From: sender.self.Name, Boot: sender.self.Boot, Body: body}
	sender.lock.Lock()
	defer sender.lock.Unlock()
	queue, found := sender.queues[command.To]
	if !found && len(sender.queues) < maxPeers {
		queue = make(chan contract.Message, peerQueueSize)
		sender.queues[command.To] = queue
		go sender.sendLoop(command.To, queue)
	}
	select {
	case queue <- message:
	default:
		sender.addCounter("messages_dropped", 1)
	}
}

// release forgets the queue of an address if it is empty, and reports whether it was.
func (sender *Sender) release(address string, queue chan contract.Message) bool {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(sender.queues, address)
	return true
}

// sendLoop posts the queued messages of one address in bundles, until none has come for a time.
func (sender *Sender) sendLoop(address string, queue chan contract.Message) {
	post := sender.endpoint(address)
	idle := time.NewTimer(sender.idleTime)
	defer idle.Stop()
	for {
		bundle := Bundle{}
		idle.Reset(sender.idleTime)
		select {
		case <-sender.stop:
			return
		case <-idle.C:
			if sender.release(address, queue) {
				return
			}
			continue
		case message := <-queue:
			bundle.Messages = append(bundle.Messages, message)
		}
		size := len(bundle.Messages[0].Body)
		for len(queue) > 0 && len(bundle.Messages) < maxBundleMessages && size < maxBodySize/4 {
			message := <-queue
			size += len(message.Body)
			bundle.Messages = append(bundle.Messages, message)
		}
		if sender.faults.Cut(address) || sender.faults.DropMessage() {
			sender.addCounter("messages_cut", int64(len(bundle.Messages)))
			continue
		}
		startedAt := time.Now()
		_, err := post(context.Background(), bundle)
		if err != nil {
			sender.addCounter("messages_lost", int64(len(bundle.Messages)))
		}
		if size >= largeBundleSize {
			sender.log(contract.Log{Message: "large bundle", Attributes: []any{"to", address, "kind", bundle.Messages[0].Kind, "bytes", size, "ms", time.Since(startedAt).Milliseconds(), "error", err}})
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
		posted, requestErr := http.NewRequest(http.MethodPost, "http://"+address+Path, io.NopCloser(bytes.NewReader(body)))
		if requestErr != nil {
			return nil, requestErr
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
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodySize))
		return nil, err
	}
	return kithttp.NewExplicitClient(encode, decode, kithttp.SetClient(sender.client)).Endpoint()
}

// Receive returns the HTTP handler that queues the messages of other processes in a loop.
func Receive(loop *Loop) http.Handler {
	decode := func(_ context.Context, request *http.Request) (any, error) {
		var bundle Bundle
		body, err := decompress(request)
		if err != nil {
			return bundle, err
		}
		defer body.Close()
		return bundle, json.NewDecoder(body).Decode(&bundle)
	}
	onAnswer := func(_ context.Context, request any) (any, error) {
		for _, message := range request.(Bundle).Messages {
			loop.TryPost(message)
		}
		return struct{}{}, nil
	}
	return kithttp.NewServer(onAnswer, decode, encodeReceived, kithttp.ServerBefore(withUserAgent))
}

type userAgentKey struct{}

// withUserAgent keeps the User-Agent for encodeReceived.
func withUserAgent(ctx context.Context, request *http.Request) context.Context {
	return context.WithValue(ctx, userAgentKey{}, request.UserAgent())
}

// encodeReceived answers with a status line only: 204 for senders of this version, which send no User-Agent, and 200 for older ones,
// which accept nothing else.
func encodeReceived(ctx context.Context, writer http.ResponseWriter, _ any) error {
	writer.Header()["Date"] = nil
	if ctx.Value(userAgentKey{}) == "" {
		writer.WriteHeader(http.StatusNoContent)
	}
	return nil
}
