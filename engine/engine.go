// Package engine estimates what a batching model server has in its prompt cache and still has to read, from the prompts that one node sent there.
package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Part is a section of a prompt. Calls whose leading parts are the same share what a server has read of them.
type Part struct {
	// ID identifies the content of the part.
	ID string
	// Tokens is the length of the part.
	Tokens int64
}

// Prompt describes the work of a call, in tokens. The last part belongs to the call or its session alone; other calls may share the ones before.
type Prompt struct {
	// Model is the name of the model; prompts of different models share nothing.
	Model string
	// Input is the length of the prompt, Output the expected length of the answer.
	Input  int64
	Output int64
	Parts  []Part
	// keyCache holds the keys of the parts if they are already computed.
	keyCache []uint64
}

// WithKeys returns the prompt with the keys of its parts, so that they are not computed again at each use.
func (prompt Prompt) WithKeys() Prompt {
	if len(prompt.Parts) > 0 {
		prompt.keyCache = prompt.keys()
	}
	return prompt
}

// Shared returns the tokens of all parts but the last.
func (prompt Prompt) Shared() int64 {
	sum := int64(0)
	for index := 0; index+1 < len(prompt.Parts); index++ {
		sum += prompt.Parts[index].Tokens
	}
	return sum
}

const (
	// anchorFraction is the part of the shared tokens that ends with the anchor: reading the rest again costs less than a place of its own.
	anchorFraction = 0.9
	// rootFraction is the part of the shared tokens that ends with the root.
	rootFraction = 0.5
)

// Anchor returns the key of the part that decides which server a prompt belongs to: the first part with at least anchorFraction of the shared tokens
// up to its end; 0 if nothing is shared.
func (prompt Prompt) Anchor() uint64 {
	key, _ := prompt.keyAt(anchorFraction)
	return key
}

// Root returns the key of the part that prompts with different anchors have in common, and the tokens up to its end: the first part with at least
// half of the shared tokens up to its end. For prompts that share only one part, it is the anchor.
func (prompt Prompt) Root() (key uint64, tokens int64) { return prompt.keyAt(rootFraction) }

// keyAt returns the key of the first part that ends at a fraction of the shared tokens or later, and the tokens up to its end, or 0 if nothing is
// shared.
func (prompt Prompt) keyAt(fraction float64) (key uint64, tokens int64) {
	minTokens, keys := fraction*float64(prompt.Shared()), prompt.keys()
	for index := 0; index+1 < len(prompt.Parts); index++ {
		if tokens += prompt.Parts[index].Tokens; float64(tokens) >= minTokens {
			return keys[index], tokens
		}
	}
	return 0, 0
}

// keys returns one key for each part, which stands for all parts up to it.
func (prompt Prompt) keys() []uint64 {
	if prompt.keyCache != nil {
		return prompt.keyCache
	}
	keys, digest := make([]uint64, 0, len(prompt.Parts)), xxhash.New()
	_, _ = digest.WriteString(prompt.Model)
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("\x00" + part.ID)
		keys = append(keys, digest.Sum64())
	}
	return keys
}

// cachedPart is an entry of the estimate.
type cachedPart struct {
	key    uint64
	tokens int64
}

// CacheEstimate is the estimate of the parts in a server's prompt cache, up to a limit of tokens. The least recently used parts are evicted first. It
// is not safe for concurrent use.
type CacheEstimate struct {
	limit int64
	used  int64
	parts map[uint64]*list.Element
	order *list.List
}

// maxParts limits the number of parts, since parts may have no tokens.
const maxParts = 4096

// NewCacheEstimate returns an empty estimate of a cache that holds a number of tokens.
func NewCacheEstimate(tokens int64) *CacheEstimate {
	return &CacheEstimate{limit: tokens, parts: map[uint64]*list.Element{}, order: list.New()}
}

// CachedTokens returns the number of tokens at the start of a prompt that need not be read again.
func (estimate *CacheEstimate) CachedTokens(prompt Prompt) int64 {
	cached := int64(0)
	for index, key := range prompt.keys() {
		if _, found := estimate.parts[key]; !found {
			break
		}
		cached += prompt.Parts[index].Tokens
	}
	return cached
}

// Add records that a server reads a prompt.
func (estimate *CacheEstimate) Add(prompt Prompt) {
	for index, key := range prompt.keys() {
		if element, found := estimate.parts[key]; found {
			estimate.order.MoveToFront(element)
			continue
		}
		estimate.parts[key] = estimate.order.PushFront(cachedPart{key, prompt.Parts[index].Tokens})
		estimate.used += prompt.Parts[index].Tokens
	}
	for estimate.order.Len() > 1 && (estimate.used > estimate.limit || estimate.order.Len() > maxParts) {
		last := estimate.order.Back()
		evicted := estimate.order.Remove(last).(cachedPart)
		delete(estimate.parts, evicted.key)
		estimate.used -= evicted.tokens
	}
}

// Remove removes the part with a key, as returned by Prompt.Anchor, so that it and the parts after it no longer count as cached.
func (estimate *CacheEstimate) Remove(key uint64) {
	if element, found := estimate.parts[key]; found {
		estimate.used -= estimate.order.Remove(element).(cachedPart).tokens
		delete(estimate.parts, key)
	}
}

// Clear removes everything, for a server that lost its cache or restarted.
func (estimate *CacheEstimate) Clear() {
	estimate.parts, estimate.order, estimate.used = map[uint64]*list.Element{}, list.New(), 0
}
