package serve

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestEventBufferFindsWhatAWholeSearchFinds compares the buffer with a search of all that it holds, over streams in random parts.
func TestEventBufferFindsWhatAWholeSearchFinds(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		buffer, held := eventBuffer{}, []byte{}
		for range 40 {
			part := make([]byte, random.IntN(6))
			for index := range part {
				part[index] = "\r\n\r\nab"[random.IntN(6)]
			}
			buffer.add(part)
			held = append(held, part...)
			complete := 0
			for _, separator := range [][]byte{emptyLine, emptyLineWithReturn} {
				if index := bytes.LastIndex(held, separator); index >= 0 {
					complete = max(complete, index+len(separator))
				}
			}
			if !bytes.Equal(buffer.complete(), held[:complete]) || buffer.size() != len(held) {
				t.Fatalf("seed %d: of %q the buffer has %q complete, want %q", seed, held, buffer.complete(), held[:complete])
			}
			if random.IntN(3) == 0 {
				buffer.drop()
				held = held[complete:]
			}
		}
	}
}

func TestLastIDIsThatOfTheLastEventThatHasOne(t *testing.T) {
	for content, want := range map[string]string{"": "", "data: x\n\n": "", "id: 1\ndata: x\n\nid:2\r\ndata: id: 9\r\n\r\n": "2", "id: 1\ndata: y\n\ndata: z\n\n": "1",
		"id: 7": "7", "\n\n": "", "id: 1\n\nid:\n\n": ""} {
		if got := lastID([]byte(content)); got != want {
			t.Errorf("of %q the last ID is %q, want %q", content, got, want)
		}
	}
}

// BenchmarkEventWithoutEnd reads one event of the largest size in small parts.
func BenchmarkEventWithoutEnd(b *testing.B) {
	part := []byte(strings.Repeat("x", 4<<10))
	for b.Loop() {
		buffer := eventBuffer{}
		for buffer.size() < maxEventBytes {
			buffer.add(part)
		}
	}
}
