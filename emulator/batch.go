package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
)

// batch is the engine of a server: it works in steps, one token for each request that it has read, and a chunk of the prompts that it
// has not. What runs and what is kept share one memory.
type batch struct {
	server *server
	engine *Engine
	parts  map[string]*keptPart
	used   int64
	clock  int64
	awake  bool
	// keeps bounds the tokens of unused kept parts when it is above 0; had are all parts that were ever kept here.
	keeps int64
	had   map[string]bool
	// lost tells that parts were hidden from new requests.
	lost bool
}

type keptPart struct {
	tokens int64
	users  int
	used   int64
	after  string
}

// reading is what a server knows of a request beyond the queue.
type reading struct {
	unread int64
	// reread and fresh are what of the prompt was not kept when the request was let in: shared parts, and the rest.
	reread   int64
	fresh    int64
	reserved int64
	made     int64
	sent     int
	parts    []string
	own      []string
	ready    time.Duration
}

func newBatch(server *server, engine *Engine) *batch {
	return &batch{server: server, engine: engine, parts: map[string]*keptPart{}, had: map[string]bool{}}
}

// fits tells whether a request can ever run here.
func (batch *batch) fits(job *task) bool {
	return job.request.prompt.Input+job.request.prompt.Output <= batch.engine.Tokens
}

// keys gives a key for each part of a prompt that stands for all parts up to it.
func keys(job *task) []string {
	all, key := []string{}, job.request.prompt.Model
	for _, part := range job.request.prompt.Parts {
		key += "/" + part.ID
		all = append(all, key)
	}
	return all
}

// let takes a request in when its memory can be had, pushing out kept parts that nobody uses.
func (batch *batch) let(job *task) bool {
	if job.state == nil {
		job.state = &reading{sent: job.after, made: int64(job.after * batch.engine.Stride)}
	}
	state, held, prompt := job.state, int64(0), job.request.prompt
	all := keys(job)
	state.parts, state.own = nil, nil
	for index, key := range all {
		part, there := batch.parts[key]
		if !there {
			state.own = all[index:]
			break
		}
		part.users++
		state.parts = append(state.parts, key)
		held += prompt.Parts[index].Tokens
	}
	need := prompt.Input - held + state.made + int64(batch.engine.Stride)
	if !batch.room(need) {
		for _, key := range state.parts {
			batch.parts[key].users--
		}
		state.parts, state.own = nil, nil
		return false
	}
	batch.clock++
	for _, key := range state.parts {
		batch.parts[key].used = batch.clock
	}
	batch.used += need
	state.reserved, state.unread = need, prompt.Input-held+state.made
	state.ready = batch.server.day.world.Now + seconds(batch.engine.FirstMs/1000)
	state.reread = max(0, prompt.Shared()-held)
	state.fresh = state.unread - state.reread
	batch.compare(job, held)
	batch.count(job, held)
	return true
}

// count notes what is read, and what of it has been read before at some server.
func (batch *batch) count(job *task, held int64) {
	day, prompt, sum := batch.server.day, job.request.prompt, int64(0)
	for index, key := range keys(job) {
		tokens := prompt.Parts[index].Tokens
		if sum += tokens; sum <= held {
			continue
		}
		if index+1 < len(prompt.Parts) && day.shared[key] {
			day.again += tokens
		}
		day.shared[key] = true
	}
	day.read += job.state.unread
}

// room makes room for tokens out of the kept parts that have been unused for the longest.
func (batch *batch) room(tokens int64) bool {
	for batch.used+tokens > batch.engine.Tokens {
		oldest := ""
		for key, part := range batch.parts {
			if part.users > 0 {
				continue
			}
			if oldest == "" || batch.older(key, oldest) {
				oldest = key
			}
		}
		if oldest == "" {
			return false
		}
		batch.drop(oldest)
	}
	return true
}

// keep turns a prompt that was read whole into parts that others may share.
func (batch *batch) keep(job *task) {
	state, prompt := job.state, job.request.prompt
	first := len(prompt.Parts) - len(state.own)
	for index, key := range state.own {
		tokens := prompt.Parts[first+index].Tokens
		if len(state.parts) > 0 {
			key = besideLost(state.parts[len(state.parts)-1], key)
		}
		if part, there := batch.parts[key]; there {
			part.users++
			state.parts = append(state.parts, key)
			continue
		}
		batch.clock++
		part := &keptPart{tokens: tokens, users: 1, used: batch.clock}
		if len(state.parts) > 0 {
			part.after = state.parts[len(state.parts)-1]
			batch.parts[part.after].users++
		}
		batch.parts[key], batch.had[key] = part, true
		state.parts = append(state.parts, key)
		state.reserved -= tokens
	}
	state.own = nil
}

// release gives back what a request held; its parts are kept.
func (batch *batch) release(job *task) {
	state := job.state
	if state == nil {
		return
	}
	batch.used -= state.reserved
	state.reserved = 0
	for _, key := range state.parts {
		if part := batch.parts[key]; part != nil {
			part.users--
		}
	}
	state.parts, state.own = nil, nil
	batch.trim()
}

func (batch *batch) admit() {
	server := batch.server
	slices.SortStableFunc(server.queue, func(left, right *task) int { return cmp.Compare(left.rank(), right.rank()) })
	for len(server.queue) > 0 && len(server.running) < server.service.Slots {
		job := server.queue[0]
		if !batch.let(job) {
			return
		}
		server.queue = server.queue[1:]
		server.running = append(server.running, job)
	}
}

func (job *task) rank() int {
	if job.urgency < 0 {
		return usualRank
	}
	return job.urgency
}

func (batch *batch) wake() {
	if batch.awake {
		return
	}
	batch.admit()
	if len(batch.server.running) > 0 {
		batch.awake = true
		batch.step()
	}
}

// step takes the time of one pass over all that runs.
func (batch *batch) step() {
	server, engine := batch.server, batch.engine
	chunk, context, read, pairs := engine.Chunk, int64(0), int64(0), 0.0
	decoding := []*task{}
	for _, job := range server.running {
		context += job.request.prompt.Input + job.state.made
		if job.state.unread > 0 {
			part := min(chunk, job.state.unread)
			pairs += float64(part) * (float64(job.request.prompt.Input+job.state.made-job.state.unread) + float64(part)/2)
			job.state.unread, chunk, read = job.state.unread-part, chunk-part, read+part
		}
		if job.state.unread == 0 && job.state.ready <= server.day.world.Now {
			decoding = append(decoding, job)
		}
	}
	span := engine.StepMs + engine.PerRunningMs*float64(len(server.running)) + engine.ContextMsPerK*float64(context)/1000 + float64(read)/engine.TokensPerMs + engine.PairsMsPerM*pairs/1e6
	server.day.world.After(seconds(span*server.speed/1000), func() {
		batch.awake = false
		if !server.up {
			return
		}
		for _, job := range decoding {
			if !job.over && job.state.unread == 0 {
				batch.token(job)
			}
		}
		batch.wake()
	})
}

// token makes one token of a request; every stride of them is a piece of its stream.
func (batch *batch) token(job *task) {
	state, stride := job.state, int64(batch.engine.Stride)
	if state.own != nil {
		batch.keep(job)
	}
	if slices.Index(batch.server.running, job) < 0 {
		return
	}
	if state.reserved < state.made+1 {
		if !batch.room(stride) && !batch.putBack(job) {
			return
		}
		batch.used += stride
		state.reserved += stride
	}
	state.made++
	server, now := batch.server, batch.server.day.world.Now
	if !job.arrival.Executed {
		batch.explain(job)
	}
	server.began(job)
	if state.sent == job.after && state.made == int64(job.after)*stride+1 {
		server.reply(job, head{status: 200})
	}
	for total := job.request.try.TotalPieces; state.sent < total && state.made > int64(state.sent)*stride; {
		state.sent++
		piece, take := rules.Piece{Number: state.sent, ExecutionID: job.arrival.ExecutionID, MadeAt: now}, job.piece
		job.conn.send(far, pieceBytes, func() { take(piece) })
	}
	if state.sent >= job.request.try.TotalPieces {
		job.over, job.arrival.Ended = true, now
		server.remove(job)
		server.finish(job)
	}
}

// putBack frees memory by the newest of the least urgent requests; it tells whether another one gave way.
func (batch *batch) putBack(asking *task) bool {
	server := batch.server
	worst := asking
	for _, job := range server.running {
		if job.rank() > worst.rank() || job.rank() == worst.rank() && job.number > worst.number {
			worst = job
		}
	}
	batch.server.day.putBacks++
	server.running = slices.DeleteFunc(server.running, func(other *task) bool { return other == worst })
	batch.release(worst)
	server.queue = slices.Insert(server.queue, 0, worst)
	return worst != asking && batch.room(int64(batch.engine.Stride))
}
