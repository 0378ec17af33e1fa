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
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/settings"
)

// maxResponseBytes bounds a response body in bytes. The list of 3,500 teams is about 1 MB.
const maxResponseBytes = 64 << 20

// Client calls the administration API. Errors returned by the server are *apierror.Error.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// NewClient returns a client for the controller that the settings name.
func NewClient(s *settings.Ctl) (*Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if s.TLS.CA != "" {
		pem, err := os.ReadFile(s.TLS.CA)
		if err != nil {
			return nil, errors.Wrap(err, "read the CA certificate of the server")
		}
		config.RootCAs = x509.NewCertPool()
		config.RootCAs.AppendCertsFromPEM(pem)
	}
	if s.TLS.Cert != "" {
		pair, err := tls.LoadX509KeyPair(s.TLS.Cert, s.TLS.Key)
		if err != nil {
			return nil, errors.Wrap(err, "load the client certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	transport := &http.Transport{TLSClientConfig: config, Proxy: nil}
	return &Client{base: s.Server + "/admin/v1", credential: s.Credential,
		http: &http.Client{Transport: httpresponse.NewTransport(transport), Timeout: s.Timeout}}, nil
}

// apiCall is one request to the administration API.
type apiCall struct {
	method string
	path   string
	// expectedVersion is the object version that a write replaces; 0 means that the object must not exist, nil that the write is
	// unconditional.
	expectedVersion *uint64
	body            any
}

// do sends a request and decodes the response body into result, unless result is nil.
func (c *Client) do(ctx context.Context, call apiCall, result any) error {
	var body io.Reader
	if call.body != nil {
		data, err := json.Marshal(call.body)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, body)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set("Content-Type", "application/json")
	if call.expectedVersion != nil && *call.expectedVersion == 0 {
		request.Header.Set("If-None-Match", "*")
	} else if call.expectedVersion != nil {
		request.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(*call.expectedVersion)))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the controller (check --server and that the controller is running)")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the response (the call may have taken effect; check with get or status)")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	return nil
}

// responseError returns the typed error in an error response, or an Internal error when the body holds none.
func responseError(status int, data []byte) error {
	var body errorBody
	var apiError apierror.Error
	if json.Unmarshal(data, &body) == nil && json.Unmarshal(body.Error, &apiError) == nil && apiError.Kind != "" {
		return &apiError
	}
	return apierror.New(apierror.Internal, "check that --server is a controller's administration API",
		"the server returned status %d without an error body", status)
}

func configPath(kind, name string) string {
	return "/config/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListObjects returns all objects of a kind.
func (c *Client) ListObjects(ctx context.Context, kind string) (ConfigList, error) {
	var list ConfigList
	err := c.do(ctx, apiCall{method: http.MethodGet, path: "/config/" + url.PathEscape(kind)}, &list)
	return list, err
}

// GetObject returns an object. found is false, without an error, when the object does not exist.
func (c *Client) GetObject(ctx context.Context, kind, name string) (o apitypes.Object, found bool, err error) {
	err = c.do(ctx, apiCall{method: http.MethodGet, path: configPath(kind, name)}, &o)
	var apiError *apierror.Error
	if errors.As(err, &apiError) && apiError.Kind == apierror.NotFound {
		return apitypes.Object{}, false, nil
	}
	return o, err == nil, err
}

// PutObject writes an object on condition that the server still has version o.Version; 0 means that it must not exist.
func (c *Client) PutObject(ctx context.Context, o apitypes.Object) (Confirmation, error) {
	var confirmation Confirmation
	err := c.do(ctx, apiCall{method: http.MethodPut, path: configPath(o.Kind, o.Name), expectedVersion: &o.Version, body: o.Data}, &confirmation)
	return confirmation, err
}
