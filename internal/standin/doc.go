// Package standin holds small HTTP stand-ins for the platform, a model engine and a plain service. It is for tests and demos only.
package standin
