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
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Operation-Key", operation)
	response, err := rig.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// Write carries a write through any node and notes it if it was accepted.
func (rig *Rig) Write(node *Node, method, path, operation string, body []byte) (int, contract.WriteResult, error) {
	accepted := contract.WriteResult{}
	status, content, err := rig.Operate(node.Settings.Control, method, path, operation, body)
	if err != nil {
		return 0, accepted, err
	}
	_ = json.Unmarshal(content, &accepted)
	if status == 200 || status == 202 {
		rig.Ledger.ManifestAccepted(accepted.Revision, "", rig.now())
	}
	if status >= 300 {
		err = fmt.Errorf("%s %s: %d %s", method, path, status, strings.TrimSpace(string(content)))
	}
	return status, accepted, err
}

// Adopt writes the site's manifest as soon as the core has been founded.
func (rig *Rig) Adopt(limit time.Duration) error {
	var last error
	err := rig.Await("the first manifest", limit, func() bool {
		status, _, err := rig.Write(rig.Nodes[len(rig.Nodes)-1], http.MethodPut, "/v1/manifest?base=0", "first", rig.Site.Manifest)
		last = err
		return status == 200
	})
	if err != nil {
		return fmt.Errorf("%w: %v", err, last)
	}
	return nil
}

// Gauge reads one figure of a node's metrics page.
func (rig *Rig) Gauge(address, name string) (int64, bool) {
	response, err := rig.looker.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(content), "\n") {
		if text, fine := strings.CutPrefix(line, "cedarreel_"+name+" "); fine {
			value, err := strconv.ParseInt(text, 10, 64)
			return value, err == nil
		}
	}
	return 0, false
}
