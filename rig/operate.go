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

// Operate sends an operator's request to a node and returns the status and body of the answer. operationKey makes writes idempotent.
func (rig *Rig) Operate(address, method, path, operationKey string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Operation-Key", operationKey)
	response, err := rig.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// Write sends a write through a node and records in the ledger the revision that was accepted. A status of 300 or above is returned with an
// error, a failed connection as status 0.
func (rig *Rig) Write(node *Node, method, path, operationKey string, body []byte) (int, contract.WriteResult, error) {
	result := contract.WriteResult{}
	status, content, err := rig.Operate(node.Settings.Control, method, path, operationKey, body)
	if err != nil {
		return 0, result, err
	}
	_ = json.Unmarshal(content, &result)
	if status == 200 || status == 202 {
		rig.Ledger.ManifestAccepted(result.Revision, "", rig.now())
	}
	if status >= 300 {
		err = fmt.Errorf("%s %s: %d %s", method, path, status, strings.TrimSpace(string(content)))
	}
	return status, result, err
}

// InstallManifest writes the site's manifest as the first revision, retrying until the core of the control plane has formed or the limit is over.
func (rig *Rig) InstallManifest(limit time.Duration) error {
	var lastErr error
	err := rig.Await("the first manifest", limit, func() bool {
		status, _, err := rig.Write(rig.Nodes[len(rig.Nodes)-1], http.MethodPut, "/v1/manifest?base=0", "first", rig.Site.Manifest)
		lastErr = err
		return status == 200
	})
	if err != nil {
		return fmt.Errorf("%w: %v", err, lastErr)
	}
	return nil
}

// Metric reads one value from a node's metrics page. The name comes without the cedarreel_ prefix; false means that it could not be read.
func (rig *Rig) Metric(address, name string) (int64, bool) {
	response, err := rig.metricsClient.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, "cedarreel_"+name+" "); ok {
			value, err := strconv.ParseInt(text, 10, 64)
			return value, err == nil
		}
	}
	return 0, false
}
