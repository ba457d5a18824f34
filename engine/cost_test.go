package engine_test

import (
	"fmt"
	"testing"

	"github.com/cedarreel/cedarreel/engine"
)

func prompt(parts, index int) engine.Prompt {
	prompt := engine.Prompt{Model: "model-0", Input: 4000, Output: 300}
	for part := range parts {
		prompt.Parts = append(prompt.Parts, engine.Part{ID: fmt.Sprintf("part-%d-%d", part, index%(64<<part)), Tokens: 1000})
	}
	return prompt
}

// BenchmarkMemory measures asking what a server has cached of a prompt, and recording that it reads one.
func BenchmarkMemory(b *testing.B) {
	for _, parts := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("held/parts=%d", parts), func(b *testing.B) {
			estimate, asked := engine.NewCacheEstimate(2000000), prompt(parts, 1)
			estimate.Add(asked)
			b.ReportAllocs()
			for range b.N {
				estimate.CachedTokens(asked)
			}
		})
		b.Run(fmt.Sprintf("take/parts=%d", parts), func(b *testing.B) {
			estimate, prompts := engine.NewCacheEstimate(2000000), []engine.Prompt{}
			for index := range 4096 {
				prompts = append(prompts, prompt(parts, index))
			}
			b.ReportAllocs()
			for index := range b.N {
				estimate.Add(prompts[index%len(prompts)])
			}
		})
	}
}
