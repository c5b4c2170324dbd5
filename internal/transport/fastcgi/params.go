package fastcgi

import (
	"encoding/binary"
	"strings"

	"oxbowbridge/internal/transport/frontend"
)

// The parameters of a request, as CGI names them. A field NAME-OF-FIELD of the protocol is the
// parameter HTTP_NAME_OF_FIELD.
const (
	paramPath          = "SCRIPT_NAME"
	paramMethod        = "REQUEST_METHOD"
	paramContentLength = "CONTENT_LENGTH"
	paramHeaderPrefix  = "HTTP_"
)

// managementValues are the answers to GET_VALUES.
var managementValues = map[string]string{
	"FCGI_MAX_CONNS":  "512",
	"FCGI_MAX_REQS":   "16384",
	"FCGI_MPXS_CONNS": "1",
}

// readPairs calls handle for each name-value pair of b.
func readPairs(b []byte, handle func(name, value string)) error {
	for len(b) > 0 {
		nameBytes, rest, err := readLength(b)
		if err != nil {
			return err
		}
		valueBytes, rest, err := readLength(rest)
		if err != nil {
			return err
		}
		if nameBytes > len(rest) || valueBytes > len(rest)-nameBytes {
			return errPairs
		}
		handle(string(rest[:nameBytes]), string(rest[nameBytes:nameBytes+valueBytes]))
		b = rest[nameBytes+valueBytes:]
	}
	return nil
}

// The length of a name or value is one byte, or four with the highest bit set.
const (
	shortLengthLimit = 0x80
	longLengthBit    = 1 << 31
)

func readLength(b []byte) (length int, rest []byte, err error) {
	switch {
	case len(b) >= 1 && b[0] < shortLengthLimit:
		return int(b[0]), b[1:], nil
	case len(b) >= 4:
		return int(binary.BigEndian.Uint32(b) &^ longLengthBit), b[4:], nil
	}
	return 0, nil, errPairs
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

// params are the parameters of one request.
type params map[string]string

// readParams reads the PARAMS stream. A name that stands twice has both values, joined as HTTP
// joins them, and so no single valid one.
func readParams(stream []byte) (params, error) {
	p := params{}
	err := readPairs(stream, func(name, value string) {
		if earlier, twice := p[name]; twice {
			value = earlier + ", " + value
		}
		p[name] = value
	})
	return p, err
}

// request returns the parameters as a request of the frontend.
func (p params) request() frontend.RawRequest {
	return frontend.RawRequest{Path: p[paramPath], Method: p[paramMethod], Header: func(name string) string {
		return p[paramHeaderPrefix+strings.ToUpper(strings.ReplaceAll(name, "-", "_"))]
	}}
}
