package fastcgi

import (
	"encoding/binary"
	"strings"

	"oxbowbridge/internal/transport/frontend"
)

// Names of request parameters, as in CGI. An HTTP header Header-Name is the parameter HTTP_HEADER_NAME.
const (
	paramPath          = "SCRIPT_NAME"
	paramMethod        = "REQUEST_METHOD"
	paramContentLength = "CONTENT_LENGTH"
	paramHeaderPrefix  = "HTTP_"
)

// managementValues are the variables that GET_VALUES can request.
var managementValues = map[string]string{
	"FCGI_MAX_CONNS":  "512",
	"FCGI_MAX_REQS":   "16384",
	"FCGI_MPXS_CONNS": "1",
}

// parsePairs calls handle for each name-value pair in b.
func parsePairs(b []byte, handle func(name, value string)) error {
	for len(b) > 0 {
		name, value, rest, err := parsePair(b)
		if err != nil {
			return err
		}
		handle(string(name), string(value))
		b = rest
	}
	return nil
}

// parsePair parses the name-value pair at the start of b, and returns the bytes after it.
func parsePair(b []byte) (name, value, rest []byte, err error) {
	nameBytes, rest, err := parseLength(b)
	if err != nil {
		return nil, nil, nil, err
	}
	valueBytes, rest, err := parseLength(rest)
	if err != nil {
		return nil, nil, nil, err
	}
	if nameBytes > len(rest) || valueBytes > len(rest)-nameBytes {
		return nil, nil, nil, errMalformedPairs
	}
	return rest[:nameBytes], rest[nameBytes : nameBytes+valueBytes], rest[nameBytes+valueBytes:], nil
}

// The length of a name or value is encoded in one byte, or in four bytes with the highest bit set.
const (
	shortLengthLimit = 0x80
	longLengthBit    = 1 << 31
)

func parseLength(b []byte) (length int, rest []byte, err error) {
	switch {
	case len(b) >= 1 && b[0] < shortLengthLimit:
		return int(b[0]), b[1:], nil
	case len(b) >= 4:
		return int(binary.BigEndian.Uint32(b) &^ longLengthBit), b[4:], nil
	}
	return 0, nil, errMalformedPairs
}

func appendLength(b []byte, length int) []byte {
	if length < shortLengthLimit {
		return append(b, byte(length))
	}
	return binary.BigEndian.AppendUint32(b, uint32(length)|longLengthBit)
}

func appendPair(b []byte, name, value string) []byte {
	b = appendLength(b, len(name))
	b = appendLength(b, len(value))
	b = append(b, name...)
	return append(b, value...)
}

// params are the parameters of one request, as received. A value is searched when it is needed: a head may have thousands
// of parameters, and a request needs few.
type params []byte

// parseParams checks the PARAMS stream and returns its parameters.
func parseParams(stream []byte) (params, error) {
	for rest := stream; len(rest) > 0; {
		var err error
		if _, _, rest, err = parsePair(rest); err != nil {
			return nil, err
		}
	}
	return stream, nil
}

// get returns the value of a parameter, "" if it is absent. The values of a repeated name are joined with a comma, as in
// HTTP, so that no single valid value remains.
func (p params) get(wanted string) string {
	var joined []byte
	found := false
	for rest := []byte(p); len(rest) > 0; {
		var name, value []byte
		name, value, rest, _ = parsePair(rest) // parseParams has checked it
		if string(name) != wanted {
			continue
		}
		if found {
			joined = append(joined, ", "...)
		}
		joined = append(joined, value...)
		found = true
	}
	return string(joined)
}

// toRawRequest converts the parameters to a frontend.RawRequest.
func (p params) toRawRequest() frontend.RawRequest {
	return frontend.RawRequest{Path: p.get(paramPath), Method: p.get(paramMethod), Header: func(name string) string {
		return p.get(paramHeaderPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}}
}
