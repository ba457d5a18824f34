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

// item is one thing that a session writes to its caller: a piece or a break.
type item struct {
	piece  string
	broken string
}

// session is one caller's connection from its call to its end.
type session struct {
	shell  *dataShell
	caller caller
	token  int64
	box    *outbox
	answer chan contract.Response
	gone   <-chan struct{}
	until  time.Duration
}

func (shell *dataShell) serve() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		session := &session{shell: shell, caller: request.(caller), box: newOutbox(&shell.held, shell.Settings.Bounds.ReplyBytes*heldReplies),
			answer: make(chan contract.Response, 1), gone: ctx.Done()}
		bounds := shell.Settings.Bounds
		session.until = shell.Loop.Now() + bounds.Deadline() + bounds.Round()
		if deadline := session.caller.call.Deadline; deadline > 0 {
			session.until = shell.Loop.Now() + deadline + bounds.Round()
		}
		session.token = shell.Loop.Token(func(answer contract.Response) { session.answer <- answer })
		shell.lock.Lock()
		shell.sessions[session.token] = session
		shell.lock.Unlock()
		if !shell.Loop.TryPost(data.Arrive{Token: session.token, Call: session.caller.call}) {
			session.close()
			return nil, badCall{status: 503, text: "this node is overloaded", after: shell.Settings.Bounds.Round()}
		}
		return session, nil
	}
}

func (session *session) close() {
	session.shell.Loop.Forget(session.token)
	session.shell.lock.Lock()
	defer session.shell.lock.Unlock()
	delete(session.shell.sessions, session.token)
	session.box.close()
}

// encodeCall writes a session out. Whatever is not the whole reply ends in an error event and a broken connection.
func encodeCall(ctx context.Context, writer http.ResponseWriter, response any) error {
	session := response.(*session)
	defer session.close()
	out := &writerOf{session: session, writer: writer, control: http.NewResponseController(writer)}
	for {
		select {
		case <-ctx.Done():
			session.shell.Loop.Post(data.CallerLeft{Token: session.token})
			return ctx.Err()
		case <-session.box.ready:
			if err := out.drain(); err != nil {
				session.shell.Loop.Post(data.CallerLeft{Token: session.token})
				return err
			}
		case answer := <-session.answer:
			if err := out.drain(); err != nil {
				return err
			}
			if pass, away := answer.Body.(data.HomeForward); away {
				return out.passOn(ctx, pass)
			}
			return out.end(answer)
		}
	}
}

func (out *writerOf) drain() error {
	for next, there := out.session.box.take(); there; next, there = out.session.box.take() {
		if err := out.next(next); err != nil {
			return err
		}
	}
	return nil
}

func (out *writerOf) next(next item) error {
	if next.broken != "" {
		out.err(next.broken)
	}
	return out.piece(next.piece)
}

type writerOf struct {
	session *session
	writer  http.ResponseWriter
	control *http.ResponseController
	pieces  int64
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Number  int64    `json:"number"`
	Choices []choice `json:"choices"`
}

func (out *writerOf) event(kind string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	text := "data: " + string(content) + "\n\n"
	if kind != "" {
		text = "event: " + kind + "\n" + text
	}
	return out.raw(text)
}

// patience is how long a slow reader may take for one write: never past the call's own deadline by more than a round.
func (out *writerOf) patience() time.Duration {
	return min(out.session.shell.Settings.Bounds.Return(), out.session.until-out.session.shell.Loop.Now())
}

func (out *writerOf) raw(text string) error {
	_ = out.control.SetWriteDeadline(nowPlus(out.patience()))
	if _, err := out.writer.Write([]byte(text)); err != nil {
		return err
	}
	return out.control.Flush()
}

func (out *writerOf) piece(text string) error {
	if out.pieces == 0 {
		out.writer.Header().Set("Content-Type", "text/event-stream")
		out.writer.Header().Set("Cache-Control", "no-store")
		out.writer.WriteHeader(http.StatusOK)
	}
	next := chunk{ID: out.session.caller.call.Key, Object: "chat.completion.chunk", Number: out.pieces, Choices: []choice{{Delta: delta{Content: text}}}}
	out.pieces++
	return out.event("", next)
}

func (out *writerOf) err(text string) {
	_ = out.event("error", contract.ErrorBody{Outcome: string(call.Interrupted), Error: text})
	panic(http.ErrAbortHandler)
}

func (out *writerOf) end(answer contract.Response) error {
	_ = out.control.SetWriteDeadline(nowPlus(out.patience()))
	reply, whole := answer.Body.(data.Reply)
	if !whole {
		if out.pieces > 0 {
			out.err("the call ended early")
		}
		return encodeAnswer(context.Background(), out.writer, answer)
	}
	if out.session.caller.call.IsLookup {
		out.writer.Header().Set("Content-Type", "application/json")
		_, err := out.writer.Write([]byte(reply.Chunks[0]))
		return err
	}
	if !out.session.caller.stream {
		return out.unary(answer, reply)
	}
	for out.pieces < int64(len(reply.Chunks)) {
		if err := out.piece(reply.Chunks[out.pieces]); err != nil {
			return err
		}
	}
	finish := "stop"
	last := chunk{ID: out.session.caller.call.Key, Object: "chat.completion.chunk", Number: out.pieces, Choices: []choice{{Finish: &finish}}}
	if err := out.event("", last); err != nil {
		return err
	}
	return out.raw("data: [DONE]\n\n")
}

func (out *writerOf) unary(answer contract.Response, reply data.Reply) error {
	text := ""
	for _, piece := range reply.Chunks {
		text += piece
	}
	answer.Body = map[string]any{"id": out.session.caller.call.Key, "object": "chat.completion", "choices": []any{
		map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": text}}}}
	return encodeAnswer(context.Background(), out.writer, answer)
}
