// Package measure measures the decisions of crocusglade in virtual time: it drives the real code of the decision packages
// against small fakes of engines and compares it with simpler rules. `make measure` writes docs/measurements.md; the
// ordinary test run checks properties on short runs with fixed seeds. All code is in its tests.
package measure
