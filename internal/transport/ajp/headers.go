package ajp

// Header names and values in messages, in addition to those of package frontend.
const (
	headerContentType      = "Content-Type"
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
	contentTypeOctetStream = "application/octet-stream"
)

// The names of headers in requests to upstreams.
const (
	upstreamHeaderTraceID       = "trace-id" // frontend.HeaderTraceID in lower case, as web servers send it
	upstreamHeaderContentLength = "content-length"
)

// codedHeaderFlag is the high byte of a 16-bit number that replaces the name of a common header in a
// request. The low byte is the index in codedHeaders.
const codedHeaderFlag = 0xA000

// codedHeaders are the header names that a request may encode as a number, in lower case. Numbering starts
// at 1.
var codedHeaders = []string{"", "accept", "accept-charset", "accept-encoding", "accept-language", "authorization",
	"connection", "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent"}

// Method codes of a request. With methodInAttribute, an attribute holds the name of the method.
const (
	methodPost        = 4
	methodInAttribute = 0xFF
)

// methodNames are the methods by their code. Codes start at 1.
var methodNames = []string{"", "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE"}

// Codes of request attributes.
const (
	attributeRequest = 0x0A // followed by a name and a value
	attributeKeySize = 0x0B // followed by a 16-bit number
	attributeSecret  = 0x0C
	attributeMethod  = 0x0D // followed by the name of the method
	attributesEnd    = 0xFF

	firstStringAttribute = 0x01 // each code up to lastStringAttribute is followed by one string
	lastStringAttribute  = 0x09
)
