package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
)

// batch simulates an inference engine with continuous batching. Each step generates one token for every request whose prompt is
// read, and reads a chunk of the prompts that are not. Running requests and the prefix cache share one memory of tokens.
type batch struct {
	server     *server
	engine     *Engine
	cached     map[string]*cachedPart
	usedTokens int64
	useCounter int64
	stepping   bool
	// cacheLimit bounds the tokens of unused cached parts; 0 sets no bound. everCached has the keys of all parts that were ever
	// cached here.
	cacheLimit int64
	everCached map[string]bool
	// hasHidden tells whether parts are hidden from new requests by a simulated cache loss.
	hasHidden bool
}

type cachedPart struct {
	tokens  int64
	users   int
	lastUse int64
	parent  string
}

// progress is the state of a request in the engine.
type progress struct {
	unreadTokens int64
	// rereadTokens and freshTokens split what was not cached when the request was admitted: parts that prompts share, and the rest.
	rereadTokens    int64
	freshTokens     int64
	reservedTokens  int64
	generatedTokens int64
	sentPieces      int
	cachedKeys      []string
	uncachedKeys    []string
	readyAt         time.Duration
}

func newBatch(server *server, engine *Engine) *batch {
	return &batch{server: server, engine: engine, cached: map[string]*cachedPart{}, everCached: map[string]bool{}}
}

// fits tells whether a request is small enough to run here at all.
func (batch *batch) fits(job *task) bool {
	return job.request.prompt.Input+job.request.prompt.Output <= batch.engine.Tokens
}

// prefixKeys gives a cache key for each part of a prompt; a key stands for the whole prefix up to that part.
func prefixKeys(job *task) []string {
	all, key := []string{}, job.request.prompt.Model
	for _, part := range job.request.prompt.Parts {
		key += "/" + part.ID
		all = append(all, key)
	}
	return all
}

// tryAdmit reserves memory for a request and evicts unused cached parts for it. It reports false if memory does
// not suffice.
func (batch *batch) tryAdmit(job *task) bool {
	if job.progress == nil {
		job.progress = &progress{sentPieces: job.resumeAfter, generatedTokens: int64(job.resumeAfter * batch.engine.Stride)}
	}
	state, held, prompt := job.progress, int64(0), job.request.prompt
	all := prefixKeys(job)
	state.cachedKeys, state.uncachedKeys = nil, nil
	for index, key := range all {
		part, there := batch.cached[key]
		if !there {
			state.uncachedKeys = all[index:]
			break
		}
		part.users++
		state.cachedKeys = append(state.cachedKeys, key)
		held += prompt.Parts[index].Tokens
	}
	need := prompt.Input - held + state.generatedTokens + int64(batch.engine.Stride)
	if !batch.makeRoom(need) {
		for _, key := range state.cachedKeys {
			batch.cached[key].users--
		}
		state.cachedKeys, state.uncachedKeys = nil, nil
		return false
	}
	batch.useCounter++
	for _, key := range state.cachedKeys {
		batch.cached[key].lastUse = batch.useCounter
	}
	batch.usedTokens += need
	state.reservedTokens, state.unreadTokens = need, prompt.Input-held+state.generatedTokens
	state.readyAt = batch.server.day.world.Now + seconds(batch.engine.FirstMs/1000)
	state.rereadTokens = max(0, prompt.Shared()-held)
	state.freshTokens = state.unreadTokens - state.rereadTokens
	batch.recordMismatch(job, held)
	batch.countReads(job, held)
	return true
}

// countReads counts the tokens to be read, and those among them that some server has read before.
func (batch *batch) countReads(job *task, held int64) {
	day, prompt, sum := batch.server.day, job.request.prompt, int64(0)
	for index, key := range prefixKeys(job) {
		tokens := prompt.Parts[index].Tokens
		if sum += tokens; sum <= held {
			continue
		}
		if index+1 < len(prompt.Parts) && day.sharedSeen[key] {
			day.rereadTokens += tokens
		}
		day.sharedSeen[key] = true
	}
	day.readTokens += job.progress.unreadTokens
}

// makeRoom evicts the least recently used parts until the tokens fit; it reports false if that is not enough.
func (batch *batch) makeRoom(tokens int64) bool {
	for batch.usedTokens+tokens > batch.engine.Tokens {
		oldest := ""
		for key, part := range batch.cached {
			if part.users > 0 {
				continue
			}
			if oldest == "" || batch.lessRecentlyUsed(key, oldest) {
				oldest = key
			}
		}
		if oldest == "" {
			return false
		}
		batch.evict(oldest)
	}
	return true
}

// cachePrompt turns a prompt that has been read into cached parts that other requests may use.
func (batch *batch) cachePrompt(job *task) {
	state, prompt := job.progress, job.request.prompt
	first := len(prompt.Parts) - len(state.uncachedKeys)
	for index, key := range state.uncachedKeys {
		tokens := prompt.Parts[first+index].Tokens
		if len(state.cachedKeys) > 0 {
			key = hideAfterLost(state.cachedKeys[len(state.cachedKeys)-1], key)
		}
		if part, there := batch.cached[key]; there {
			part.users++
			state.cachedKeys = append(state.cachedKeys, key)
			continue
		}
		batch.useCounter++
		part := &cachedPart{tokens: tokens, users: 1, lastUse: batch.useCounter}
		if len(state.cachedKeys) > 0 {
			part.parent = state.cachedKeys[len(state.cachedKeys)-1]
			batch.cached[part.parent].users++
		}
		batch.cached[key], batch.everCached[key] = part, true
		state.cachedKeys = append(state.cachedKeys, key)
		state.reservedTokens -= tokens
	}
	state.uncachedKeys = nil
}

// release frees the memory of a request; its cached parts stay until they are evicted.
func (batch *batch) release(job *task) {
	state := job.progress
	if state == nil {
		return
	}
	batch.usedTokens -= state.reservedTokens
	state.reservedTokens = 0
	for _, key := range state.cachedKeys {
		if part := batch.cached[key]; part != nil {
			part.users--
		}
	}
	state.cachedKeys, state.uncachedKeys = nil, nil
	batch.trim()
}

func (batch *batch) admit() {
	server := batch.server
	slices.SortStableFunc(server.queue, func(left, right *task) int { return cmp.Compare(left.priority(), right.priority()) })
	for len(server.queue) > 0 && len(server.running) < server.service.Slots {
		job := server.queue[0]
		if !batch.tryAdmit(job) {
			return
		}
		server.queue = server.queue[1:]
		server.running = append(server.running, job)
	}
}

func (job *task) priority() int {
	if job.priorityClass < 0 {
		return defaultPriority
	}
	return job.priorityClass
}

func (batch *batch) resume() {
	if batch.stepping {
		return
	}
	batch.admit()
	if len(batch.server.running) > 0 {
		batch.stepping = true
		batch.step()
	}
}

// step takes the time of one pass over all running requests.
func (batch *batch) step() {
	server, engine := batch.server, batch.engine
	chunk, context, read, pairs := engine.Chunk, int64(0), int64(0), 0.0
	decoding := []*task{}
	for _, job := range server.running {
		context += job.request.prompt.Input + job.progress.generatedTokens
		if job.progress.unreadTokens > 0 {
			part := min(chunk, job.progress.unreadTokens)
			pairs += float64(part) * (float64(job.request.prompt.Input+job.progress.generatedTokens-job.progress.unreadTokens) + float64(part)/2)
			job.progress.unreadTokens, chunk, read = job.progress.unreadTokens-part, chunk-part, read+part
		}
		if job.progress.unreadTokens == 0 && job.progress.readyAt <= server.day.world.Now {
			decoding = append(decoding, job)
		}
	}
	span := engine.StepMs + engine.PerRunningMs*float64(len(server.running)) + engine.ContextMsPerK*float64(context)/1000 + float64(read)/engine.TokensPerMs + engine.PairsMsPerM*pairs/1e6
	server.day.world.After(seconds(span*server.speed/1000), func() {
		batch.stepping = false
		if !server.up {
			return
		}
		for _, job := range decoding {
			if !job.over && job.progress.unreadTokens == 0 {
				batch.generateToken(job)
			}
		}
		batch.resume()
	})
}

// generateToken generates one token of a request; every stride of tokens is sent as a piece of its stream.
func (batch *batch) generateToken(job *task) {
	state, stride := job.progress, int64(batch.engine.Stride)
	if state.uncachedKeys != nil {
		batch.cachePrompt(job)
	}
	if slices.Index(batch.server.running, job) < 0 {
		return
	}
	if state.reservedTokens < state.generatedTokens+1 {
		if !batch.makeRoom(stride) && !batch.preempt(job) {
			return
		}
		batch.usedTokens += stride
		state.reservedTokens += stride
	}
	state.generatedTokens++
	server, now := batch.server, batch.server.day.world.Now
	if !job.arrival.Executed {
		batch.recordLatency(job)
	}
	server.markExecuted(job)
	if state.sentPieces == job.resumeAfter && state.generatedTokens == int64(job.resumeAfter)*stride+1 {
		server.reply(job, serverHead{status: 200})
	}
	for total := job.request.attempt.TotalPieces; state.sentPieces < total && state.generatedTokens > int64(state.sentPieces)*stride; {
		state.sentPieces++
		piece, take := rules.Piece{Number: state.sentPieces, ExecutionID: job.arrival.ExecutionID, MadeAt: now}, job.piece
		job.conn.send(acceptor, pieceBytes, func() { take(piece) })
	}
	if state.sentPieces >= job.request.attempt.TotalPieces {
		job.over, job.arrival.Ended = true, now
		server.remove(job)
		server.finish(job)
	}
}

// preempt returns the newest of the least urgent requests to the queue to free memory. It reports whether that was another request
// than the asking one and made enough room.
func (batch *batch) preempt(asking *task) bool {
	server := batch.server
	worst := asking
	for _, job := range server.running {
		if job.priority() > worst.priority() || job.priority() == worst.priority() && job.number > worst.number {
			worst = job
		}
	}
	batch.server.day.preemptions++
	server.running = slices.DeleteFunc(server.running, func(other *task) bool { return other == worst })
	batch.release(worst)
	server.queue = slices.Insert(server.queue, 0, worst)
	return worst != asking && batch.makeRoom(int64(batch.engine.Stride))
}
