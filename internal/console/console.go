// Package console writes text to a terminal. Write errors are ignored, because they cannot be reported anywhere else.
package console

import (
	"fmt"
	"io"
)

// Printf formats its arguments like fmt.Fprintf and writes the result.
func Printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// Println writes its arguments, separated by spaces, and a newline.
func Println(w io.Writer, args ...any) {
	_, _ = fmt.Fprintln(w, args...)
}
