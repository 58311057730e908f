// Package golden compares encoded values with golden files that an earlier version of the program wrote. A golden
// file represents data that is in use, stored or on a wire: it is never rewritten to make a test pass.
package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	bolt "go.etcd.io/bbolt"
)

var createFlag = flag.Bool("golden.create", false, "write missing golden files; existing ones are never changed")

// Read returns the content of the golden file testdata/golden/name.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Bytes fails the test unless got equals the content of the golden file with the name.
func Bytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if err := createMissing(name, got); err != nil {
		t.Fatal(err)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: encoded as\n%s\nwant\n%s", name, got, want)
	}
}

// JSON fails the test unless the JSON form of value equals the golden file with the name, and the file decodes to
// value. Every exported field of value must be set, so that the comparison covers all fields.
func JSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	CheckAllFieldsSet(t, name, value)
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, b)
	var decoded T
	if err := json.Unmarshal(Read(t, name), &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: decoded as\n%+v\nwant\n%+v", name, decoded, value)
	}
}

// CheckAllFieldsSet fails the test if an exported field in value, at any depth, has the zero value of its type.
// Fields with the tag json:"-" are exempt.
func CheckAllFieldsSet(t *testing.T, name string, value any) {
	t.Helper()
	checkFields(t, name, reflect.ValueOf(value))
}

func checkFields(t *testing.T, where string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			t.Errorf("%s is not set", where)
			return
		}
		checkFields(t, where, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if !f.IsExported() || f.Tag.Get("json") == "-" {
				continue
			}
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s is not set", where, f.Name)
			}
			checkFields(t, where+"."+f.Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			checkFields(t, where+"[]", v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			checkFields(t, where+"[]", v.MapIndex(k))
		}
	}
}

// DumpStore returns the content of a bbolt file as text, with one line for each key: its bucket, the key and the
// value in the given fmt format.
func DumpStore(t *testing.T, path, format string) []byte {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}()
	var text bytes.Buffer
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return dumpBucket(&text, string(name), bucket, format)
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// dumpBucket writes the lines of a bucket and of the buckets in it.
func dumpBucket(w io.Writer, name string, bucket *bolt.Bucket, format string) error {
	return bucket.ForEach(func(key, value []byte) error {
		if value == nil {
			return dumpBucket(w, fmt.Sprintf("%s/%q", name, key), bucket.Bucket(key), format)
		}
		_, err := fmt.Fprintf(w, "%s/%q "+format+"\n", name, key, value)
		return err
	})
}

// createMissing writes a golden file that does not exist, if the flag golden.create is set.
func createMissing(name string, b []byte) error {
	if _, err := os.Stat(path(name)); !errors.Is(err, os.ErrNotExist) || !*createFlag {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path(name), b, 0o644)
}

func path(name string) string { return filepath.Join("testdata", "golden", name) }
