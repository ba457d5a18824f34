package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Operate asks a node as an operator would.
func (rig *Rig) Operate(address, method, path, operation string, body []byte) (int, []byte, error) {
	request, mishap := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if mishap != nil {
		return 0, nil, mishap
	}
	request.Header.Set("Operation-Key", operation)
	response, mishap := rig.client.Do(request)
	if mishap != nil {
		return 0, nil, mishap
	}
	defer response.Body.Close()
	content, mishap := io.ReadAll(response.Body)
	return response.StatusCode, content, mishap
}

// Write carries a write through any node and notes it if it was accepted.
func (rig *Rig) Write(node *Node, method, path, operation string, body []byte) (int, contract.Accepted, error) {
	accepted := contract.Accepted{}
	status, content, mishap := rig.Operate(node.Settings.Control, method, path, operation, body)
	if mishap != nil {
		return 0, accepted, mishap
	}
	_ = json.Unmarshal(content, &accepted)
	if status == 200 || status == 202 {
		rig.Ledger.Accepted(accepted.Revision, "", rig.now())
	}
	if status >= 300 {
		mishap = fmt.Errorf("%s %s: %d %s", method, path, status, strings.TrimSpace(string(content)))
	}
	return status, accepted, mishap
}

// Adopt writes the site's manifest as soon as the core has been founded.
func (rig *Rig) Adopt(limit time.Duration) error {
	var last error
	mishap := rig.Await("the first manifest", limit, func() bool {
		status, _, mishap := rig.Write(rig.Nodes[len(rig.Nodes)-1], http.MethodPut, "/v1/manifest?base=0", "first", rig.Site.Manifest)
		last = mishap
		return status == 200
	})
	if mishap != nil {
		return fmt.Errorf("%w: %v", mishap, last)
	}
	return nil
}

// Gauge reads one figure of a node's metrics page.
func (rig *Rig) Gauge(address, name string) (int64, bool) {
	response, mishap := rig.client.Get("http://" + address + "/metrics")
	if mishap != nil {
		return 0, false
	}
	defer response.Body.Close()
	content, mishap := io.ReadAll(response.Body)
	if mishap != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(content), "\n") {
		if text, fine := strings.CutPrefix(line, "cedarreel_"+name+" "); fine {
			value, mishap := strconv.ParseInt(text, 10, 64)
			return value, mishap == nil
		}
	}
	return 0, false
}
