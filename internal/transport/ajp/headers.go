package ajp

// The names of headers in messages, beside those of package frontend.
const (
	headerContentType      = "Content-Type"
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
	contentTypeBytes       = "application/octet-stream"
)

// The names of headers in requests to upstreams.
const (
	upstreamHeaderTraceID       = "trace-id" // frontend.HeaderTraceID, as web servers write it
	upstreamHeaderContentLength = "content-length"
)

// codedHeaderFlag marks a 16-bit number in a request that stands for the name of a header.
const codedHeaderFlag = 0xA000

// codedHeaders are the names that a request may give as codedHeaderFlag and a number, which
// counts from 1, in lower case.
var codedHeaders = []string{"", "accept", "accept-charset", "accept-encoding", "accept-language", "authorization",
	"connection", "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent"}

// The method of a request is a number; methodInAttribute says that an attribute holds its name.
const (
	methodPost        = 4
	methodInAttribute = 0xFF
)

// methodNames are the methods by their number, which counts from 1.
var methodNames = []string{"", "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE"}

// The attributes of a request that matter here.
const (
	attributeRequest = 0x0A // a name and a value
	attributeKeySize = 0x0B // a number
	attributeSecret  = 0x0C
	attributeMethod  = 0x0D // the name of the method
	attributesEnd    = 0xFF

	firstTextAttribute = 0x01 // from this one to the last each has one text
	lastTextAttribute  = 0x09
)
