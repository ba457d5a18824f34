// Package engine estimates what a batching model server keeps and still has to read, from what one node sent there.
package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt: calls whose leading parts are the same share what a server has read of them.
type Part struct {
	ID     string
	Tokens int64
}

// Prompt is what a call tells of its work, in tokens; the last part is its own or its session's.
type Prompt struct {
	Model  string
	Input  int64
	Output int64
	Parts  []Part
	// hashes are the keys of the parts, if they are known already.
	hashes []uint64
}

// Hashed gives the prompt with the keys of its parts, so that they are not worked out at every look.
func (prompt Prompt) Hashed() Prompt {
	if len(prompt.Parts) > 0 {
		prompt.hashes = prompt.keys()
	}
	return prompt
}

// Shared gives the tokens of all parts but the last.
func (prompt Prompt) Shared() int64 {
	sum := int64(0)
	for index := 0; index+1 < len(prompt.Parts); index++ {
		sum += prompt.Parts[index].Tokens
	}
	return sum
}

const (
	// anchorPart is the part of the shared tokens that ends with the anchor: reading the rest again costs less than a place of its own.
	anchorPart = 0.9
	// rootPart is the part of the shared tokens that ends with the root.
	rootPart = 0.5
)

// Anchor names the part that decides where a prompt belongs: the first one with nearly all that is shared before its end.
func (prompt Prompt) Anchor() uint64 {
	key, _ := prompt.keyAt(anchorPart)
	return key
}

// Root names the part that prompts with other anchors have in common, and the tokens up to its end: the first one with half of what is
// shared before its end. Where prompts share one part only, it is the anchor.
func (prompt Prompt) Root() (key uint64, tokens int64) { return prompt.keyAt(rootPart) }

// keyAt gives the key of the first part that ends at a share of the shared tokens or later, and the tokens up to its end, or 0 where
// nothing is shared.
func (prompt Prompt) keyAt(share float64) (key uint64, tokens int64) {
	least, keys := share*float64(prompt.Shared()), prompt.keys()
	for index := 0; index+1 < len(prompt.Parts); index++ {
		if tokens += prompt.Parts[index].Tokens; float64(tokens) >= least {
			return keys[index], tokens
		}
	}
	return 0, 0
}

// keys gives one key a part, each of them standing for all parts up to it.
func (prompt Prompt) keys() []uint64 {
	if prompt.hashes != nil {
		return prompt.hashes
	}
	keys, digest := make([]uint64, 0, len(prompt.Parts)), xxhash.New()
	_, _ = digest.WriteString(prompt.Model)
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("\x00" + part.ID)
		keys = append(keys, digest.Sum64())
	}
	return keys
}

type kept struct {
	key    uint64
	tokens int64
}

// Memory is the estimate of the parts that a server keeps: those unused for the longest give way.
type Memory struct {
	most  int64
	used  int64
	parts map[uint64]*list.Element
	order *list.List
}

const mostParts = 4096

func NewMemory(tokens int64) *Memory {
	return &Memory{most: tokens, parts: map[uint64]*list.Element{}, order: list.New()}
}

// Held gives the tokens at the start of a prompt that need not be read again.
func (memory *Memory) Held(prompt Prompt) int64 {
	held := int64(0)
	for index, key := range prompt.keys() {
		if _, there := memory.parts[key]; !there {
			break
		}
		held += prompt.Parts[index].Tokens
	}
	return held
}

// Take notes that a server reads a prompt.
func (memory *Memory) Take(prompt Prompt) {
	for index, key := range prompt.keys() {
		if element, there := memory.parts[key]; there {
			memory.order.MoveToFront(element)
			continue
		}
		memory.parts[key] = memory.order.PushFront(kept{key, prompt.Parts[index].Tokens})
		memory.used += prompt.Parts[index].Tokens
	}
	for memory.order.Len() > 1 && (memory.used > memory.most || memory.order.Len() > mostParts) {
		last := memory.order.Back()
		gone := memory.order.Remove(last).(kept)
		delete(memory.parts, gone.key)
		memory.used -= gone.tokens
	}
}

// Lose drops the part with a key, as Prompt.Anchor gives it, so that it and what follows it are not held.
func (memory *Memory) Lose(key uint64) {
	if element, there := memory.parts[key]; there {
		memory.used -= memory.order.Remove(element).(kept).tokens
		delete(memory.parts, key)
	}
}

// Forget drops everything: the server began anew.
func (memory *Memory) Forget() {
	memory.parts, memory.order, memory.used = map[uint64]*list.Element{}, list.New(), 0
}
