package link

import "net/http"

// MaxAnswerHeadBytes bounds the heads of answers that a process gets over HTTP from nodes, servers and the platform.
const MaxAnswerHeadBytes = 32 << 10

// NewTransport returns an HTTP transport with the usual settings whose answers have bounded heads.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxAnswerHeadBytes
	return transport
}
