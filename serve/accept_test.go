package serve_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/serve"
	. "github.com/onsi/gomega"
)

// failingListener fails the first calls of Accept with errors of the machine.
type failingListener struct {
	net.Listener
	errs chan error
}

func (listener *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-listener.errs:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	default:
		return listener.Listener.Accept()
	}
}

func TestErrorsOfAcceptDoNotEndServing(t *testing.T) {
	expect := NewWithT(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(HaveOccurred())
	failing := &failingListener{Listener: opened, errs: make(chan error, 3)}
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETDOWN} {
		failing.errs <- errno
	}
	ended := make(chan error, 1)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { ended <- server.Serve(serve.Admit(failing)) }()
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + opened.Addr().String())
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.Body.Close()).To(Succeed())
	expect.Expect(ended).NotTo(Receive())
	expect.Expect(server.Close()).To(Succeed())
	expect.Eventually(ended).Should(Receive(Equal(http.ErrServerClosed)))
}
