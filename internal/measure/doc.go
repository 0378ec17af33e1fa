// Package measure compares the decisions of crocusglade with simpler rules in virtual time. It runs the real decision packages
// against small simulations of engines. `make measure` writes the results to docs/measurements.md; an ordinary test run checks
// properties on short runs with fixed seeds. The package consists of tests only.
package measure
