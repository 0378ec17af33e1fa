// Package e2e tests the whole path with gateways and controllers as separate processes, stand-ins in the test process, and
// failures in between: processes killed and frozen, links cut, the platform out. Histories are checked by package history.
package e2e
