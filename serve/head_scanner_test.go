package serve

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// TestHeadScannerFindsTheEndOfTheHeadInAnyParts compares parts of all lengths with the head as it is.
func TestHeadScannerFindsTheEndOfTheHeadInAnyParts(t *testing.T) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		head := strings.Join([]string{"HTTP/1.1 200 OK", "X-Server-Seal: a", "X-Empty:", " folded", "r\rr", "", ""}, lineEnd)
		text := head + "\n\nbody\r\n\r\n" + strings.Repeat("\n", 500)
		for seed := range uint64(500) {
			random, scanner := rand.New(rand.NewPCG(seed, 2)), headScanner{}
			bytes, lines := int64(0), int64(0)
			for rest := text; rest != ""; {
				part := rest[:min(len(rest), 1+random.IntN(9))]
				rest = rest[len(part):]
				headBytes, headLines := scanner.scan([]byte(part))
				bytes, lines = bytes+headBytes, lines+headLines
			}
			if bytes != int64(len(head)) || lines != 6 {
				t.Fatalf("seed %d: the head has %d bytes and %d lines, want %d and 6", seed, bytes, lines, len(head))
			}
		}
	}
}
