// Package framing splits a byte stream into frames: messages whose header contains their length. The protocols of
// the frontends and of the AJP upstreams use it.
package framing

// Format describes the frames of a protocol.
type Format struct {
	// HeaderBytes is the length of a header.
	HeaderBytes int
	// FrameBytes returns the length of a frame, header included, from its header. An error ends the stream.
	FrameBytes func(header []byte) (int, error)
}

// maxSpareFactor limits the buffer of a partial frame: a buffer with more than this multiple of the buffered bytes
// is replaced by a smaller one.
const maxSpareFactor = 4

// Splitter splits a byte stream into frames. A frame may arrive in several reads, and one read may contain several
// frames. It buffers only a partial frame.
type Splitter struct {
	format Format
	buf    []byte // the partial frame
	skip   int    // bytes of a discarded frame that have not arrived
}

// NewSplitter returns a Splitter at the start of a stream.
func NewSplitter(format Format) Splitter { return Splitter{format: format} }

// HasPartialFrame reports whether part of a frame is buffered or was discarded.
func (s *Splitter) HasPartialFrame() bool { return len(s.buf) > 0 || s.skip > 0 }

// HeldBytes returns the size of the buffer in bytes.
func (s *Splitter) HeldBytes() int { return cap(s.buf) }

// Feed appends received bytes to the stream and calls handle for each complete frame, until a call or
// Format.FrameBytes fails. The frame is valid only during the call. Feed must not be called again after an error.
func (s *Splitter) Feed(received []byte, handle func(frame []byte) error) error {
	skipped := min(s.skip, len(received))
	s.skip -= skipped
	received = received[skipped:]
	rest := received
	if len(s.buf) > 0 {
		s.buf = append(s.buf, received...)
		rest = s.buf
	}
	rest, err := s.handleFrames(rest, handle)
	if err != nil {
		s.buf = nil
		return err
	}
	s.keep(rest)
	return nil
}

// handleFrames calls handle for each complete frame and returns the bytes after the last one.
func (s *Splitter) handleFrames(b []byte, handle func(frame []byte) error) (rest []byte, err error) {
	for len(b) >= s.format.HeaderBytes {
		frameBytes, err := s.format.FrameBytes(b[:s.format.HeaderBytes])
		if err != nil {
			return nil, err
		}
		if len(b) < frameBytes {
			break
		}
		frame := b[:frameBytes]
		b = b[frameBytes:]
		if err := handle(frame); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// keep buffers the bytes of a partial frame.
func (s *Splitter) keep(rest []byte) {
	switch {
	case len(rest) == 0:
		s.buf = nil
	case cap(s.buf) > maxSpareFactor*len(rest):
		s.buf = append([]byte(nil), rest...)
	default:
		s.buf = append(s.buf[:0], rest...)
	}
}

// DiscardPartialFrame frees the buffer of a partial frame whose header has arrived. The rest of the frame is skipped when it
// arrives, and handle is not called for the frame.
func (s *Splitter) DiscardPartialFrame() {
	if len(s.buf) < s.format.HeaderBytes {
		return
	}
	frameBytes, _ := s.format.FrameBytes(s.buf[:s.format.HeaderBytes]) // has succeeded in Feed
	s.skip = frameBytes - len(s.buf)
	s.buf = nil
}
