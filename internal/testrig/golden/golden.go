// Package golden compares the encoded form of types that reach a disk or another process
// with files under testdata, so that a renamed field or JSON tag fails a test.
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

// Sample is one type to compare. Value is a pointer to it; its content is replaced.
type Sample struct {
	Name  string // in the golden file
	Value any
}

// JSON fills each sample with values that are not zero and compares its JSON with the line
// "NAME JSON" of a golden file, byte for byte. It then decodes that line and compares the
// decoded value with the sample.
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

// Text compares a text with a golden file, byte for byte.
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

// readTimeout is how long ReadBytes waits for all bytes.
const readTimeout = 10 * time.Second

// RequireBytes reads as many bytes from a connection as are wanted, and compares them.
func RequireBytes(t *testing.T, peer net.Conn, want, what string) {
	t.Helper()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(readTimeout)))
	got := make([]byte, len(want))
	n, err := io.ReadFull(peer, got)
	require.Equal(t, want, string(got[:n]), what)
	require.NoError(t, err, what)
}

// Fill sets each exported field that a pointer leads to, to a value that is not zero and
// differs from all others. Slices and maps get one element.
func Fill(pointer any) {
	counter := 0
	fill(reflect.ValueOf(pointer).Elem(), &counter)
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value from a counter, which it increments.
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
		panic(fmt.Sprintf("golden: no sample for %s", v.Type()))
	}
}
