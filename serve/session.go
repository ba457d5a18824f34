package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/go-kit/kit/endpoint"
)

// replyItem is one thing to write to a caller: the content of a chunk, or the error that ends the reply.
type replyItem struct {
	chunk     string
	errorText string
}

// session is one caller's request from its arrival to its answer. giveUpAt, on the loop's clock, is when writing to the caller ends.
type session struct {
	process     *dataProcess
	callRequest callRequest
	token       int64
	pending     *replyBuffer
	answer      chan contract.Response
	callerGone  <-chan struct{}
	giveUpAt    time.Duration
}

// serveCall returns the endpoint that starts the session of a decoded call.
func (process *dataProcess) serveCall() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		session := &session{process: process, callRequest: request.(callRequest), pending: newReplyBuffer(&process.bufferedBytes, process.Settings.Bounds.ReplyBytes*maxBufferedReplies),
			answer: make(chan contract.Response, 1), callerGone: ctx.Done()}
		bounds := process.Settings.Bounds
		session.giveUpAt = process.Loop.Now() + bounds.Deadline() + bounds.Round()
		if deadline := session.callRequest.call.Deadline; deadline > 0 {
			session.giveUpAt = process.Loop.Now() + deadline + bounds.Round()
		}
		session.token = process.Loop.RegisterAnswer(func(answer contract.Response) { session.answer <- answer })
		process.lock.Lock()
		process.sessions[session.token] = session
		process.lock.Unlock()
		if !process.Loop.TryPost(data.CallArrived{Token: session.token, Call: session.callRequest.call}) {
			session.close()
			return nil, requestError{status: 503, message: "this node is overloaded", retryAfter: process.Settings.Bounds.Round()}
		}
		return session, nil
	}
}

func (session *session) close() {
	session.process.Loop.Forget(session.token)
	session.process.lock.Lock()
	defer session.process.lock.Unlock()
	delete(session.process.sessions, session.token)
	session.pending.close()
}

// encodeCall writes the reply of a session. A streamed reply that can't be completed ends with an error event and an aborted connection.
func encodeCall(ctx context.Context, writer http.ResponseWriter, response any) error {
	session := response.(*session)
	defer session.close()
	out := &replyWriter{session: session, writer: writer, control: http.NewResponseController(writer)}
	for {
		select {
		case <-ctx.Done():
			session.process.Loop.Post(data.CallerLeft{Token: session.token})
			return ctx.Err()
		case <-session.pending.ready:
			if err := out.writePending(); err != nil {
				session.process.Loop.Post(data.CallerLeft{Token: session.token})
				return err
			}
		case answer := <-session.answer:
			if err := out.writePending(); err != nil {
				return err
			}
			if target, isForward := answer.Body.(data.HomeForward); isForward {
				return out.forwardHome(ctx, target)
			}
			return out.finish(answer)
		}
	}
}

// writePending writes all buffered items.
func (out *replyWriter) writePending() error {
	for next, exists := out.session.pending.take(); exists; next, exists = out.session.pending.take() {
		if err := out.writeItem(next); err != nil {
			return err
		}
	}
	return nil
}

func (out *replyWriter) writeItem(next replyItem) error {
	if next.errorText != "" {
		out.abort(next.errorText)
	}
	return out.writeChunk(next.chunk)
}

// replyWriter writes a session's reply to the caller. chunks counts the chunks that were written.
type replyWriter struct {
	session *session
	writer  http.ResponseWriter
	control *http.ResponseController
	chunks  int64
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// chunk is one streamed completion chunk, with its delta and choice as in the OpenAI API. Number counts the chunks of a reply from 0.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Number  int64    `json:"number"`
	Choices []choice `json:"choices"`
}

// writeEvent writes a server-sent event with a JSON body; an empty kind omits the event's type.
func (out *replyWriter) writeEvent(kind string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	text := "data: " + string(content) + "\n\n"
	if kind != "" {
		text = "event: " + kind + "\n" + text
	}
	return out.write(text)
}

// writeTimeout returns how long one write to a slow caller may take, which never extends past giveUpAt.
func (out *replyWriter) writeTimeout() time.Duration {
	return min(out.session.process.Settings.Bounds.Return(), out.session.giveUpAt-out.session.process.Loop.Now())
}

func (out *replyWriter) write(text string) error {
	_ = out.control.SetWriteDeadline(deadlineIn(out.writeTimeout()))
	if _, err := out.writer.Write([]byte(text)); err != nil {
		return err
	}
	return out.control.Flush()
}

// writeChunk writes one chunk with the given content.
func (out *replyWriter) writeChunk(text string) error {
	if out.chunks == 0 {
		out.writer.Header().Set("Content-Type", "text/event-stream")
		out.writer.Header().Set("Cache-Control", "no-store")
		out.writer.WriteHeader(http.StatusOK)
	}
	next := chunk{ID: out.session.callRequest.call.Key, Object: "chat.completion.chunk", Number: out.chunks, Choices: []choice{{Delta: delta{Content: text}}}}
	out.chunks++
	return out.writeEvent("", next)
}

// abort writes an error event and breaks the connection, so that the reply can't look complete.
func (out *replyWriter) abort(text string) {
	_ = out.writeEvent("error", contract.ErrorBody{Outcome: string(call.Interrupted), Error: text})
	panic(http.ErrAbortHandler)
}

// finish writes the call's answer, or what remains of it after the chunks that were streamed.
func (out *replyWriter) finish(answer contract.Response) error {
	_ = out.control.SetWriteDeadline(deadlineIn(out.writeTimeout()))
	reply, isReply := answer.Body.(data.Reply)
	if !isReply {
		if out.chunks > 0 {
			out.abort("the call ended early")
		}
		return encodeAnswer(context.Background(), out.writer, answer)
	}
	if out.session.callRequest.call.IsLookup {
		out.writer.Header().Set("Content-Type", "application/json")
		_, err := out.writer.Write([]byte(reply.Chunks[0]))
		return err
	}
	if !out.session.callRequest.stream {
		return out.writeUnary(answer, reply)
	}
	for out.chunks < int64(len(reply.Chunks)) {
		if err := out.writeChunk(reply.Chunks[out.chunks]); err != nil {
			return err
		}
	}
	finishReason := "stop"
	last := chunk{ID: out.session.callRequest.call.Key, Object: "chat.completion.chunk", Number: out.chunks, Choices: []choice{{FinishReason: &finishReason}}}
	if err := out.writeEvent("", last); err != nil {
		return err
	}
	return out.write("data: [DONE]\n\n")
}

// writeUnary writes a reply that is not streamed.
func (out *replyWriter) writeUnary(answer contract.Response, reply data.Reply) error {
	text := ""
	for _, content := range reply.Chunks {
		text += content
	}
	answer.Body = map[string]any{"id": out.session.callRequest.call.Key, "object": "chat.completion", "choices": []any{
		map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": text}}}}
	return encodeAnswer(context.Background(), out.writer, answer)
}
