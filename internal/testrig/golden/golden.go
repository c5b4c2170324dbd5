// Package golden compares the encoded form of types that are stored or sent to other processes with files
// under testdata. A test then fails if a field or a JSON tag is renamed.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// Sample is a type to compare.
type Sample struct {
	Name  string // name of the type in the golden file
	Value any    // pointer to a value of the type, which JSON overwrites
}

// JSON fills each sample with nonzero values and compares its JSON with the line "NAME JSON" of a golden
// file, byte for byte. It then decodes that line and compares the decoded value with the sample.
func JSON(t *testing.T, path string, samples ...Sample) {
	t.Helper()
	var lines bytes.Buffer
	for _, sample := range samples {
		Fill(sample.Value)
		text, err := json.Marshal(sample.Value)
		require.NoError(t, err, sample.Name)
		fmt.Fprintf(&lines, "%s %s\n", sample.Name, text)
	}
	Text(t, path, lines.String())
	requireDecoded(t, path, samples)
}

// requireDecoded decodes the lines of a golden file and compares them with the samples.
func requireDecoded(t *testing.T, path string, samples []Sample) {
	t.Helper()
	stored, err := os.ReadFile(path)
	require.NoError(t, err)
	for i, line := range strings.Split(strings.TrimSuffix(string(stored), "\n"), "\n") {
		name, text, _ := strings.Cut(line, " ")
		require.Equal(t, samples[i].Name, name)
		decoded := reflect.New(reflect.TypeOf(samples[i].Value).Elem()).Interface()
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		require.NoError(t, decoder.Decode(decoded), name)
		require.Equal(t, samples[i].Value, decoded, name)
	}
}

// Text compares a string with the content of a golden file, byte for byte.
func Text(t *testing.T, path, text string) {
	t.Helper()
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	stored, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(stored), text, path)
}

// readTimeout is the maximum time that RequireBytes waits for all bytes.
const readTimeout = 10 * time.Second

// RequireBytes reads len(want) bytes from a connection and compares them with want. The parameter what
// describes them in failure messages.
func RequireBytes(t *testing.T, peer net.Conn, want, what string) {
	t.Helper()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(readTimeout)))
	got := make([]byte, len(want))
	n, err := io.ReadFull(peer, got)
	require.Equal(t, want, string(got[:n]), what)
	require.NoError(t, err, what)
}

// Fill sets all exported fields of the value that pointer points to, including those of nested values. Every
// field gets a different nonzero value, except that every bool is true. Slices and maps get one element.
func Fill(pointer any) {
	counter := 0
	fill(reflect.ValueOf(pointer).Elem(), &counter)
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill increments the counter and sets a value that is derived from it.
func fill(v reflect.Value, counter *int) {
	*counter++
	if v.Type() == rawMessage {
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *counter))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *counter))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*counter))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*counter) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), counter)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), counter)
		}
	case reflect.Map:
		key := reflect.New(v.Type().Key()).Elem()
		element := reflect.New(v.Type().Elem()).Elem()
		fill(key, counter)
		fill(element, counter)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				fill(v.Field(i), counter)
			}
		}
	default:
		panic(fmt.Sprintf("golden: Fill does not support type %s", v.Type()))
	}
}
