package ctl

import (
	"encoding/json"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/burn"
)

// The types below are the bodies of the administration API (docs/design.md, section 5.5).

// Confirmation says how many live gateways have confirmed a change.
type Confirmation struct {
	Version uint64 `json:"version,omitempty"`
	// Confirmed is the number of live gateways that have confirmed the revision, Gateways the number of live gateways.
	Confirmed int `json:"confirmed"`
	Gateways  int `json:"gateways"`
}

// requireMajority returns errUnconfirmed unless a majority of the live gateways confirmed the change or no gateway is live.
func (c Confirmation) requireMajority() error {
	if c.Gateways > 0 && 2*c.Confirmed <= c.Gateways {
		return errUnconfirmed
	}
	return nil
}

// ConfigList is a list of configuration objects.
type ConfigList struct {
	Revision uint64            `json:"revision"`
	Items    []apitypes.Object `json:"items"`
}

// KeyInfo describes an issued key without its value. Times are Unix milliseconds.
type KeyInfo struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	IssuedAt    int64  `json:"issued_at"`
	WithdrawnAt int64  `json:"withdrawn_at,omitempty"`
}

// KeyList is a list of keys.
type KeyList struct {
	Keys []KeyInfo `json:"keys"`
}

// IssuedKey is a new key with its value, which the server returns only once.
type IssuedKey struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Key  string `json:"key"`
}

// WithdrawnKey is the response to the withdrawal of a key.
type WithdrawnKey struct {
	ID string `json:"id"`
	Confirmation
}

// GatewayStatus is the state of a VM's gateway. PlatformAgeMS is the time in milliseconds since the platform last confirmed its
// configuration.
type GatewayStatus struct {
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Revision      uint64 `json:"revision"`
	PlatformAgeMS int64  `json:"platform_age_ms"`
	InFlight      int    `json:"in_flight"`
}

// ControllerStatus is the state of a VM's controller.
type ControllerStatus struct {
	Reachable bool `json:"reachable"`
}

// VMStatus is the state of a VM.
type VMStatus struct {
	Name          string           `json:"name"`
	FailureDomain string           `json:"failure_domain"`
	State         apitypes.VMState `json:"state"`
	Gateway       GatewayStatus    `json:"gateway"`
	Controller    ControllerStatus `json:"controller"`
}

// DutyStatus is the holder of a duty and its fencing token.
type DutyStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Status is the state of the deployment. PlatformAgeMS is the time in milliseconds since the platform last confirmed the
// controller's configuration.
type Status struct {
	Revision      uint64       `json:"revision"`
	PlatformAgeMS int64        `json:"platform_age_ms"`
	VMs           []VMStatus   `json:"vms"`
	Duties        []DutyStatus `json:"duties"`
	// BadObjects holds, by object, the reason why the object's latest version could not be parsed.
	BadObjects map[string]string `json:"bad_objects,omitempty"`
}

// EndpointStatus is the state of an endpoint.
type EndpointStatus struct {
	Name          string                 `json:"name"`
	Pool          string                 `json:"pool"`
	Addr          string                 `json:"addr"`
	FailureDomain string                 `json:"failure_domain"`
	Class         apitypes.EndpointClass `json:"class"`
	State         apitypes.EndpointState `json:"state"`
	NoNewWork     bool                   `json:"no_new_work"`
	Reason        string                 `json:"reason,omitempty"`
	Load          *apitypes.Load         `json:"load,omitempty"`
}

// EndpointList is a list of endpoints.
type EndpointList struct {
	Endpoints []EndpointStatus `json:"endpoints"`
}

// ClaimList is a list of unresolved claims.
type ClaimList struct {
	Claims []apitypes.Claim `json:"claims"`
}

// WindowList is a list of sealed usage windows.
type WindowList struct {
	Windows []apitypes.UsageWindow `json:"windows"`
	// Next is the start of the next page in Unix seconds; 0 on the last page.
	Next int64 `json:"next,omitempty"`
}

// BurnSeries is the response of GET /admin/v1/burn.
type BurnSeries struct {
	Series []burn.Series `json:"series"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error json.RawMessage `json:"error"`
}
