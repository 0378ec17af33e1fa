// Package controller runs the duties of a controller and serves configuration and load to other processes.
package controller
