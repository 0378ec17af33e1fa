// Package order writes, sends and takes over orders to endpoints and to the provider.
package order
