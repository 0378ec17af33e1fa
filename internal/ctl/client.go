package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/settings"
)

// maxAnswerBytes bounds an answer. The list of 3,500 teams is about 1 MB.
const maxAnswerBytes = 64 << 20

// Client calls the administration API. Errors of the server are *apierror.Error.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// NewClient returns a client for a controller.
func NewClient(s *settings.Ctl) (*Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if s.TLS.CA != "" {
		pem, err := os.ReadFile(s.TLS.CA)
		if err != nil {
			return nil, errors.Wrap(err, "read the authority of the server's certificate")
		}
		config.RootCAs = x509.NewCertPool()
		config.RootCAs.AppendCertsFromPEM(pem)
	}
	if s.TLS.Cert != "" {
		pair, err := tls.LoadX509KeyPair(s.TLS.Cert, s.TLS.Key)
		if err != nil {
			return nil, errors.Wrap(err, "read the own certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	transport := &http.Transport{TLSClientConfig: config, Proxy: nil}
	return &Client{base: s.Server + "/admin/v1", credential: s.Credential,
		http: &http.Client{Transport: transport, Timeout: s.Timeout}}, nil
}

// call is one call of the API.
type call struct {
	method string
	path   string
	// expected is the version that a write replaces; 0 means that the object must not exist. nil sends no condition.
	expected *uint64
	body     any
}

// do sends a call and decodes the answer into result.
func (c *Client) do(ctx context.Context, one call, result any) error {
	var body io.Reader
	if one.body != nil {
		data, err := json.Marshal(one.body)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, one.method, c.base+one.path, body)
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set("Content-Type", "application/json")
	if one.expected != nil && *one.expected == 0 {
		request.Header.Set("If-None-Match", "*")
	} else if one.expected != nil {
		request.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(*one.expected)))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the controller (check --server and that it runs)")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read the answer; the call may have taken effect, check with get or status")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return answerError(response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	return nil
}

// answerError returns the typed error of an answer.
func answerError(status int, data []byte) error {
	var body errorBody
	var typed apierror.Error
	if json.Unmarshal(data, &body) == nil && json.Unmarshal(body.Error, &typed) == nil && typed.Kind != "" {
		return &typed
	}
	return apierror.New(apierror.Internal, "check that --server is a controller's administration API",
		"the server answered %d without an error body", status)
}

func configPath(kind, name string) string {
	return "/config/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListObjects returns all objects of a kind.
func (c *Client) ListObjects(ctx context.Context, kind string) (ConfigList, error) {
	var list ConfigList
	err := c.do(ctx, call{method: http.MethodGet, path: "/config/" + url.PathEscape(kind)}, &list)
	return list, err
}

// GetObject returns an object; found is false when it does not exist.
func (c *Client) GetObject(ctx context.Context, kind, name string) (o apitypes.Object, found bool, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: configPath(kind, name)}, &o)
	var typed *apierror.Error
	if errors.As(err, &typed) && typed.Kind == apierror.NotFound {
		return apitypes.Object{}, false, nil
	}
	return o, err == nil, err
}

// PutObject writes an object if its version is still expected.
func (c *Client) PutObject(ctx context.Context, o apitypes.Object) (Confirmation, error) {
	var done Confirmation
	err := c.do(ctx, call{method: http.MethodPut, path: configPath(o.Kind, o.Name), expected: &o.Version, body: o.Data}, &done)
	return done, err
}
