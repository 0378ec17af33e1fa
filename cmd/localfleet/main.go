// Command localfleet is described in docs/design.md, section 2.
package main

import "C"

func main() {}
