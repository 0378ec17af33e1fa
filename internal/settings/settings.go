// Package settings reads and checks the settings of the programs from flags and environment variables.
package settings
