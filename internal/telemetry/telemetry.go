// Package telemetry sets up logs, metrics and health endpoints.
package telemetry
