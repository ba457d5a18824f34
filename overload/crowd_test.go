package overload

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/rig"
	"golang.org/x/sys/unix"
)

// crowd holds the connections of clients that misbehave.
type crowd struct {
	lock  sync.Mutex
	conns []net.Conn
}

// script is what one client of a crowd sends. It ends early if the connection is closed.
type script func(conn net.Conn)

const (
	dialLimit = 5 * time.Second
	// sendLimit bounds how long one client sends.
	sendLimit = 20 * time.Second
	// endlessBytes is how much a client sends of what has no end.
	endlessBytes = 4 << 20
	blockBytes   = 32 << 10
)

// press opens the connections of all groups at once, and returns when each client has sent all that it wants to, or was closed.
func press(machine *rig.SingleGateway, groups []group) *crowd {
	pressing, senders := &crowd{}, sync.WaitGroup{}
	for _, part := range groups {
		for range part.clients {
			senders.Add(1)
			go func() {
				defer senders.Done()
				pressing.run(machine.Address(part.port), part)
			}()
		}
	}
	senders.Wait()
	return pressing
}

// run is one client: it connects and sends.
func (pressing *crowd) run(address string, part group) {
	dialer := net.Dialer{Timeout: dialLimit, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			if part.receiveBuffer > 0 {
				_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, part.receiveBuffer)
			}
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	pressing.lock.Lock()
	pressing.conns = append(pressing.conns, conn)
	pressing.lock.Unlock()
	_ = conn.SetDeadline(time.Now().Add(sendLimit))
	part.send(conn)
}

// leave closes the connections.
func (pressing *crowd) leave() {
	for _, conn := range pressing.conns {
		_ = conn.Close()
	}
}

// send writes text until the connection fails.
func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

const headStart = "POST /check/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 600000\r\n"

// ordinaryHead begins a request that a server answers.
const ordinaryHead = "POST /check/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 7000\r\nX-Model: m\r\nX-Token-Usage: 400,40\r\n" +
	"X-Prompt-Prefix: 5c1e07a2:100,1:300\r\nX-Pieces: 2\r\nX-Gap-Ms: 1\r\n"

func sendNothing(net.Conn) {}

// shortLine returns a short header with its own name; noLineEnd is part of a line.
func shortLine(number int) string { return strconv.FormatInt(int64(number), 36) + ":\r\n" }

func noLineEnd(int) string { return "0123456789abcdef" }

// endlessHead sends a head made of pieces without end.
func endlessHead(piece func(number int) string) script {
	return func(conn net.Conn) {
		if !send(conn, headStart+"X-First: ") {
			return
		}
		number := 0
		for sent := 0; sent < endlessBytes; sent += blockBytes {
			block := &strings.Builder{}
			for ; block.Len() < blockBytes; number++ {
				block.WriteString(piece(number))
			}
			if !send(conn, block.String()) {
				return
			}
		}
	}
}

// emptyLines sends empty lines in place of a request.
func emptyLines(conn net.Conn) {
	block := strings.Repeat("\r\n", blockBytes/2)
	for sent := 0; sent < endlessBytes && send(conn, block); sent += blockBytes {
	}
}

// fullHeadWithoutBody sends a whole head of many lines inside the limit, and no body.
func fullHeadWithoutBody(conn net.Conn) {
	const headLimit = 16384
	head := &strings.Builder{}
	head.WriteString(headStart + "Content-Length: 10\r\n")
	for number, counted := 0, head.Len()+100; counted < headLimit-20; number++ {
		line := shortLine(number)
		head.WriteString(line)
		counted += len(line) + 2
	}
	send(conn, head.String()+"\r\n")
}

// unreadAnswers sends whole requests, one after the other, until the other end takes no more, and reads no answer.
func unreadAnswers(conn net.Conn) {
	const (
		request    = "GET /none HTTP/1.1\r\nHost: calls.example\r\n\r\n"
		blockedFor = 2 * time.Second
	)
	block := strings.Repeat(request, blockBytes/len(request))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		_ = conn.SetDeadline(time.Now().Add(blockedFor))
		if !send(conn, block) {
			return
		}
	}
}

// largestBody, largestChunks and largestSmallChunks send a whole request with the largest body, largestHead one with the largest head.
func largestBody(conn net.Conn) bool { return sendCall(conn, bodyBytes) }

// sendCall sends a whole request with a body of a size.
func sendCall(conn net.Conn, size int) bool {
	return send(conn, ordinaryHead+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("b", size))
}

func wholeCall(size int) script { return func(conn net.Conn) { sendCall(conn, size) } }

func largestChunks(conn net.Conn) bool {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", blockBytes, strings.Repeat("b", blockBytes))
	return send(conn, ordinaryHead+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, bodyBytes/blockBytes)+"0\r\n\r\n")
}

func largestSmallChunks(conn net.Conn) bool {
	return send(conn, ordinaryHead+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nb\r\n", bodyBytes)+"0\r\n\r\n")
}

func largestHead(conn net.Conn) bool {
	const padding = 16384 - 512
	return send(conn, ordinaryHead+"X-Padding: "+strings.Repeat("p", padding)+"\r\nContent-Length: 1\r\n\r\nb")
}

// unfinishedChunks sends a chunked body of a size without its last chunk.
func unfinishedChunks(size, chunkSize int) script {
	return func(conn net.Conn) {
		if !send(conn, headStart+"Transfer-Encoding: chunked\r\n\r\n") {
			return
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("b", chunkSize))
		perBlock := max(1, blockBytes/len(chunk))
		block := strings.Repeat(chunk, perBlock)
		for sent := 0; sent+chunkSize*perBlock <= size; sent += chunkSize * perBlock {
			if !send(conn, block) {
				return
			}
		}
	}
}

// unfinishedBody sends a body with a length but for its last byte. It begins like a message.
func unfinishedBody(path string, size int) script {
	return func(conn net.Conn) {
		head := strings.Replace(headStart, "/check/x", path, 1)
		if send(conn, head+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n") {
			sendText(conn, `{"messages":[{"kind":"`, size-1)
		}
	}
}

// announcedBody announces a body and sends a part of it.
func announcedBody(announced int64, size int) script {
	return func(conn net.Conn) {
		if send(conn, headStart+"Content-Length: "+strconv.FormatInt(announced, 10)+"\r\n\r\n") {
			sendText(conn, "", size)
		}
	}
}

// sendText sends so many bytes that begin with a text.
func sendText(conn net.Conn, start string, size int) {
	block := strings.Repeat("b", blockBytes)
	if !send(conn, start) {
		return
	}
	for left := size - len(start); left > 0; left -= blockBytes {
		if !send(conn, block[:min(left, blockBytes)]) {
			return
		}
	}
}

// wholeBody sends a whole request with a body, in an encoding if one is named.
func wholeBody(path string, body func() []byte, encoding string) script {
	content := body()
	head := strings.Replace(headStart, "/check/x", path, 1)
	if encoding != "" {
		compressed := &bytes.Buffer{}
		writer := gzip.NewWriter(compressed)
		_, _ = writer.Write(content)
		_ = writer.Close()
		content, head = compressed.Bytes(), head+"Content-Encoding: "+encoding+"\r\n"
	}
	return func(conn net.Conn) {
		if send(conn, head+"X-Base-Revision: 1\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(content))+"\r\n\r\n") {
			_, _ = conn.Write(content)
		}
	}
}

// orderOfNumbers is a valid JSON document that takes many times its size once it is parsed.
func orderOfNumbers() []byte {
	const numbers = 8 << 20
	return []byte(`{"revision":2,"routes":[` + strings.Repeat("0,", numbers) + `0]}`)
}

// expandingMessage is a bundle of messages that compresses well.
func expandingMessage() []byte {
	const size = 31 << 20
	return []byte(`{"messages":[{"kind":"` + strings.Repeat("k", size) + `"}]}`)
}
