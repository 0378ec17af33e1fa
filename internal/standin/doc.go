// Package standin implements small HTTP stand-ins (fakes) of the platform, a model engine and a plain HTTP service, with fault injection.
// It is for tests and demos only.
package standin
