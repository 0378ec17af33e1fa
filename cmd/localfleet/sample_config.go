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

// sampleTeam is the team that the sample requests run for.
const sampleTeam = "skippers"

const sampleHead = `kind: template
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

// sampleConfiguration returns the YAML of the sample, with the fleet's endpoints.
func (f *fleet) sampleConfiguration() string {
	var b strings.Builder
	b.WriteString(sampleHead)
	b.WriteString("---\nkind: pool\nname: logreader\npool_kind: engine\nmodel: logreader\nversion: \"1\"\nendpoints:\n")
	writeEndpoints(&b, f.engines)
	b.WriteString("---\nkind: pool\nname: quayside\npool_kind: service\nendpoints:\n")
	writeEndpoints(&b, f.services)
	return b.String()
}

func writeEndpoints(b *strings.Builder, endpoints []apitypes.Endpoint) {
	for _, e := range endpoints {
		fmt.Fprintf(b, "  - {name: %s, addr: %q, failure_domain: %s, class: %s, checks_fence: %v}\n",
			e.Name, e.Addr, e.FailureDomain, e.Class, e.ChecksFence)
	}
}

// configure applies the sample configuration and returns a new key.
func (f *fleet) configure(ctx context.Context) (string, error) {
	path := filepath.Join(f.work, "sample.yaml")
	if err := os.WriteFile(path, []byte(f.sampleConfiguration()), 0o600); err != nil {
		return "", errors.Wrap(err, "write the sample configuration")
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
		return "", errors.Wrap(err, "read the issued key")
	}
	return key.Key, f.awaitKey(ctx, key.Key)
}

// ctl runs crocusgladectl against the first controller.
func (f *fleet) ctl(ctx context.Context, stdout io.Writer, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(f.programs, "crocusgladectl"),
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

// awaitKey waits until all gateways accept a key, since configuration takes up to seconds to be in force.
func (f *fleet) awaitKey(ctx context.Context, key string) error {
	limited, cancel := context.WithTimeout(ctx, f.settings.StartLimit)
	defer cancel()
	for _, vm := range f.vms {
		for !f.accepts(limited, vm.GatewayAddr, key) {
			select {
			case <-limited.Done():
				return errors.Errorf("gateway %s did not accept the new key in time; see its log", vm.Name)
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

// accepts says whether a gateway serves the sample model to the key's team.
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

// printCurl prints lines that send a request and look at the fleet by hand. The credential is random and ends with the fleet.
func (f *fleet) printCurl(key string) {
	fmt.Printf("\ntry it:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '%s'\n", f.vms[0].GatewayAddr, key, chatBody(1))
	fmt.Printf("  CROCUSGLADE_CREDENTIAL=%s %s --server=http://%s endpoints\n", f.credential, filepath.Join(f.programs, "crocusgladectl"),
		f.vms[0].ControllerAddr)
}
