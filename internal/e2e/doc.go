// Package e2e holds end-to-end tests. Gateways and controllers run as separate processes; engines, services and the platform are
// stand-ins in the test process. The tests kill and freeze processes, cut network links and take the platform down, record what
// callers and endpoints observe, and check the record with package history. G1 to G12 are the guarantees of docs/design.md.
package e2e
