package lines

import (
	"errors"
	"slices"
	"testing"
)

func TestReadInFragmentsOfAnySize(t *testing.T) {
	text := []byte("one\ntwo\r\n\n\r\nthree\nrest")
	want := []string{"one", "two", "", "", "three"}
	for size := 1; size <= len(text); size++ {
		var reader Reader
		var got []string
		for fragment := range slices.Chunk(text, size) {
			err := reader.Read(fragment, 10, func(line []byte) { got = append(got, string(line)) })
			if err != nil {
				t.Fatalf("fragments of %d bytes: %v", size, err)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("fragments of %d bytes: read %q, want %q", size, got, want)
		}
	}
}

func TestReadRejectsLongLines(t *testing.T) {
	for _, text := range []string{"12345\n", "12345", "1\n12345"} {
		for _, size := range []int{1, len(text)} {
			var reader Reader
			var err error
			for fragment := range slices.Chunk([]byte(text), size) {
				if err == nil {
					err = reader.Read(fragment, 4, func([]byte) {})
				}
			}
			if !errors.Is(err, ErrTooLong) {
				t.Errorf("%q in fragments of %d bytes: error %v, want ErrTooLong", text, size, err)
			}
		}
	}
}
