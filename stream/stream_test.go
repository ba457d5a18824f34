package stream

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stream")
}

func chunkEvent(callID string, number int, line string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"number\":%d,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", callID, number, line)
}

func finishEvent(reason string) string {
	return fmt.Sprintf("data: {\"id\":\"c\",\"choices\":[{\"delta\":{},\"finish_reason\":%q}]}\n\n", reason)
}

const doneEvent = "data: [DONE]\n\n"

var _ = It("gives whole pieces however the bytes are cut, and is finished only by finish and end", func() {
	whole := chunkEvent("c", 0, "one") + ": a comment\n" + chunkEvent("c", 1, "two") + finishEvent("stop") + doneEvent
	for size := 1; size < len(whole); size += 7 {
		parser, chunks := NewParser("c", 1<<20), []string{}
		for start := 0; start < len(whole); start += size {
			if start+size < len(whole) {
				Expect(parser.Finished()).To(BeFalse())
			}
			chunks = append(chunks, parser.Feed([]byte(whole[start:min(start+size, len(whole))]))...)
		}
		Expect(chunks).To(Equal([]string{"one", "two"}))
		Expect(parser.Finished()).To(BeTrue())
	}
})

var _ = DescribeTable("is never finished by what is not the whole reply", func(content string) {
	parser := NewParser("c", 1<<12)
	parser.Feed([]byte(content))
	Expect(parser.Finished()).To(BeFalse())
},
	Entry("no finish", chunkEvent("c", 0, "a")+doneEvent),
	Entry("no end", chunkEvent("c", 0, "a")+finishEvent("stop")),
	Entry("an aborted run", chunkEvent("c", 0, "a")+finishEvent("abort")+doneEvent),
	Entry("an empty finish", chunkEvent("c", 0, "a")+finishEvent("")+doneEvent),
	Entry("a piece skipped", chunkEvent("c", 0, "a")+chunkEvent("c", 2, "b")+finishEvent("stop")+doneEvent),
	Entry("a piece repeated", chunkEvent("c", 0, "a")+chunkEvent("c", 0, "a")+finishEvent("stop")+doneEvent),
	Entry("another call's piece", chunkEvent("c", 0, "a")+chunkEvent("d", 1, "b")+finishEvent("stop")+doneEvent),
	Entry("a piece after the finish", chunkEvent("c", 0, "a")+finishEvent("stop")+chunkEvent("c", 1, "b")+doneEvent),
	Entry("data after the end", chunkEvent("c", 0, "a")+finishEvent("stop")+doneEvent+chunkEvent("c", 1, "b")),
	Entry("no event stream", "<html>\n\n"),
	Entry("larger than its bound", chunkEvent("c", 0, strings.Repeat("a", 1<<13))+finishEvent("stop")+doneEvent),
	Entry("half a terminator", chunkEvent("c", 0, "a")+finishEvent("stop")+"data: [DO"),
)

var _ = DescribeTable("a unary reply that is not whole is no reply", func(content string) {
	_, err := CompleteReply([]byte(content), "c")
	Expect(err).To(HaveOccurred())
},
	Entry("another's", `{"id":"d","choices":[{"message":{"content":"yes"},"finish_reason":"stop"}]}`),
	Entry("unfinished", `{"id":"c","choices":[{"message":{"content":"yes"}}]}`),
	Entry("aborted", `{"id":"c","choices":[{"message":{"content":"yes"},"finish_reason":"abort"}]}`),
	Entry("without content", `{"id":"c","choices":[{"message":{},"finish_reason":"stop"}]}`),
	Entry("cut short", `{"id":"c","choices":[{"message":{"content":"ye`),
	Entry("empty", ``),
)

func FuzzRelay(f *testing.F) {
	f.Add([]byte(chunkEvent("c", 0, "a")+finishEvent("stop")+doneEvent), 3)
	f.Add([]byte(finishEvent("stop")+doneEvent+doneEvent), 1)
	f.Add([]byte("data:\n\ndata: {}\n\n"), 2)
	f.Fuzz(func(t *testing.T, content []byte, size int) {
		if size < 1 || size > 1<<16 {
			return
		}
		once, cut := NewParser("c", 1<<16), NewParser("c", 1<<16)
		chunks, parts := once.Feed(content), []string{}
		for start := 0; start < len(content); start += size {
			parts = append(parts, cut.Feed(content[start:min(start+size, len(content))])...)
		}
		if strings.Join(chunks, "\x00") != strings.Join(parts, "\x00") && once.Err() == nil {
			t.Fatal("pieces depend on how the bytes are cut")
		}
		if once.Finished() != cut.Finished() {
			t.Fatal("the end depends on how the bytes are cut")
		}
		if once.Finished() && !strings.Contains(string(content), "[DONE]") {
			t.Fatal("finished without the end")
		}
	})
}
