// Package endpoint holds the clients for model engines and plain services.
package endpoint
