// Package gateway is the caller-facing server: discovery, authentication, admission, routing, streaming, claims and usage.
package gateway
