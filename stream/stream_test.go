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

func piece(call string, number int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"number\":%d,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", call, number, text)
}

func finish(reason string) string {
	return fmt.Sprintf("data: {\"id\":\"c\",\"choices\":[{\"delta\":{},\"finish_reason\":%q}]}\n\n", reason)
}

const end = "data: [DONE]\n\n"

var _ = It("gives whole pieces however the bytes are cut, and is finished only by finish and end", func() {
	whole := piece("c", 0, "one") + ": a comment\n" + piece("c", 1, "two") + finish("stop") + end
	for size := 1; size < len(whole); size += 7 {
		relay, pieces := New("c", 1<<20), []string{}
		for begin := 0; begin < len(whole); begin += size {
			if begin+size < len(whole) {
				Expect(relay.Finished()).To(BeFalse())
			}
			pieces = append(pieces, relay.Feed([]byte(whole[begin:min(begin+size, len(whole))]))...)
		}
		Expect(pieces).To(Equal([]string{"one", "two"}))
		Expect(relay.Finished()).To(BeTrue())
	}
})

var _ = DescribeTable("is never finished by what is not the whole reply", func(content string) {
	relay := New("c", 1<<12)
	relay.Feed([]byte(content))
	Expect(relay.Finished()).To(BeFalse())
},
	Entry("no finish", piece("c", 0, "a")+end),
	Entry("no end", piece("c", 0, "a")+finish("stop")),
	Entry("an aborted run", piece("c", 0, "a")+finish("abort")+end),
	Entry("an empty finish", piece("c", 0, "a")+finish("")+end),
	Entry("a piece skipped", piece("c", 0, "a")+piece("c", 2, "b")+finish("stop")+end),
	Entry("a piece repeated", piece("c", 0, "a")+piece("c", 0, "a")+finish("stop")+end),
	Entry("another call's piece", piece("c", 0, "a")+piece("d", 1, "b")+finish("stop")+end),
	Entry("a piece after the finish", piece("c", 0, "a")+finish("stop")+piece("c", 1, "b")+end),
	Entry("data after the end", piece("c", 0, "a")+finish("stop")+end+piece("c", 1, "b")),
	Entry("no event stream", "<html>\n\n"),
	Entry("larger than its bound", piece("c", 0, strings.Repeat("a", 1<<13))+finish("stop")+end),
	Entry("half a terminator", piece("c", 0, "a")+finish("stop")+"data: [DO"),
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
	f.Add([]byte(piece("c", 0, "a")+finish("stop")+end), 3)
	f.Add([]byte(finish("stop")+end+end), 1)
	f.Add([]byte("data:\n\ndata: {}\n\n"), 2)
	f.Fuzz(func(t *testing.T, content []byte, size int) {
		if size < 1 || size > 1<<16 {
			return
		}
		once, cut := New("c", 1<<16), New("c", 1<<16)
		pieces, parts := once.Feed(content), []string{}
		for begin := 0; begin < len(content); begin += size {
			parts = append(parts, cut.Feed(content[begin:min(begin+size, len(content))])...)
		}
		if strings.Join(pieces, "\x00") != strings.Join(parts, "\x00") && once.Err() == nil {
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
