// Package capacity measures what each role costs as its load grows, and works out from these
// slopes what it costs at the size that the design is for.
package capacity
