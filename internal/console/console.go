// Package console writes text for the people at a terminal. A write that fails is ignored: nobody is left to be told of it.
package console

import (
	"fmt"
	"io"
)

// Printf writes a formatted text.
func Printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// Println writes its operands with spaces between them, and a line end.
func Println(w io.Writer, args ...any) {
	_, _ = fmt.Fprintln(w, args...)
}
