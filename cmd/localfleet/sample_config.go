package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctl"
)

// sampleTeam is the team of the sample requests.
const sampleTeam = "skippers"

// sampleObjects is the part of the sample configuration that does not depend on the fleet.
const sampleObjects = `kind: template
name: boats
models:
  - model: logreader
routes: [lines, declarations]
priority: 1
retire: move
limits: {}
---
kind: team
name: skippers
template: boats
weight: 2
---
kind: route
name: lines
pool: quayside
---
kind: route
name: declarations
pool: quayside
`

// sampleConfiguration returns the sample configuration in YAML, with the fleet's endpoints.
func (f *fleet) sampleConfiguration() string {
	var b strings.Builder
	b.WriteString(sampleObjects)
	b.WriteString("---\nkind: pool\nname: logreader\npool_kind: engine\nmodel: logreader\nversion: \"1\"\nendpoints:\n")
	writeEndpoints(&b, f.engines)
	b.WriteString("---\nkind: pool\nname: quayside\npool_kind: service\nendpoints:\n")
	writeEndpoints(&b, f.services)
	return b.String()
}

// writeEndpoints writes endpoints as a YAML list.
func writeEndpoints(b *strings.Builder, endpoints []apitypes.Endpoint) {
	for _, e := range endpoints {
		fmt.Fprintf(b, "  - {name: %s, addr: %q, failure_domain: %s, class: %s, checks_fence: %v}\n",
			e.Name, e.Addr, e.FailureDomain, e.Class, e.ChecksFence)
	}
}

// configure applies the sample configuration, issues a key for the sample team and waits until all gateways accept it. It returns the key.
func (f *fleet) configure(ctx context.Context) (string, error) {
	path := filepath.Join(f.workDir, "sample.yaml")
	if err := os.WriteFile(path, []byte(f.sampleConfiguration()), 0o600); err != nil {
		return "", errors.Wrap(err, "write sample configuration")
	}
	if err := f.ctl(ctx, os.Stdout, "apply", path); err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := f.ctl(ctx, &out, "key", "issue", "-o", "json", sampleTeam); err != nil {
		return "", err
	}
	var key ctl.IssuedKey
	if err := json.Unmarshal(out.Bytes(), &key); err != nil {
		return "", errors.Wrap(err, "decode issued key")
	}
	return key.Key, f.awaitKey(ctx, key.Key)
}

// ctl runs crocusgladectl with the first controller as server.
func (f *fleet) ctl(ctx context.Context, stdout io.Writer, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(f.binDir, "crocusgladectl"),
		append([]string{"--server=http://" + f.vms[0].ControllerAddr}, args...)...)
	cmd.Env = append(os.Environ(), "CROCUSGLADE_CREDENTIAL="+f.credential)
	cmd.Stdout, cmd.Stderr = stdout, os.Stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == ctl.ExitUnconfirmed {
		return nil // awaitKey waits for the gateways
	}
	if err != nil {
		return errors.Wrapf(err, "crocusgladectl %s", args[0])
	}
	return nil
}

// awaitKey waits until all gateways accept a key, since a change of the configuration takes up to a few seconds to reach them.
func (f *fleet) awaitKey(ctx context.Context, key string) error {
	startCtx, cancel := context.WithTimeout(ctx, f.settings.StartLimit)
	defer cancel()
	for _, vm := range f.vms {
		for !f.accepts(startCtx, vm.GatewayAddr, key) {
			select {
			case <-startCtx.Done():
				return errors.Errorf("gateway %s did not accept the new key before the start limit; see its log", vm.Name)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// accepts reports whether a gateway accepts a key and serves the sample model to its team.
func (f *fleet) accepts(ctx context.Context, gateway, key string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/v1/models", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && bytes.Contains(body, []byte("logreader"))
}

// printCurl prints commands that send a request and list the endpoints. The printed credential is random and valid only until the fleet is
// stopped.
func (f *fleet) printCurl(key string) {
	fmt.Printf("\ntry it:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '%s'\n", f.vms[0].GatewayAddr, key, chatBody(1))
	fmt.Printf("  CROCUSGLADE_CREDENTIAL=%s %s --server=http://%s endpoints\n", f.credential, filepath.Join(f.binDir, "crocusgladectl"),
		f.vms[0].ControllerAddr)
}
