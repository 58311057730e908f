package peer

// maxFirstFrameBytes is the maximum length of the frames that are received before the first valid one. Members send a Hello first,
// and tools send short frames only, so that a peer without the group's key cannot make the receiver buffer more.
const maxFirstFrameBytes = 64 << 10

// Reader splits a byte stream, received in fragments of any size, into frames. The zero value is ready to use.
type Reader struct {
	buffer        []byte
	authenticated bool // a valid frame has been received
}

// Authenticated reports whether a valid frame has been received, so that the peer has the group's key.
func (r *Reader) Authenticated() bool { return r.authenticated }

// Memory returns the bytes of memory that the reader takes.
func (r *Reader) Memory() int { return cap(r.buffer) }

// Feed appends a copy of b to the bytes that have been received.
func (r *Reader) Feed(b []byte) { r.buffer = append(r.buffer, b...) }

// Next returns the next frame; ok is false if more bytes are needed. The frame's Message is valid for as long as it is referred to.
// Errors are those of the function Next.
func (r *Reader) Next(key []byte) (frame Frame, ok bool, err error) {
	maxBytes := maxFrameBytes
	if !r.authenticated {
		maxBytes = maxFirstFrameBytes
	}
	frame, length, err := next(r.buffer, key, maxBytes)
	if err != nil || length == 0 {
		return frame, false, err
	}
	r.authenticated = true
	r.buffer = r.buffer[length:]
	if len(r.buffer) == 0 {
		r.buffer = nil // an idle connection needs no buffer
	}
	return frame, true, nil
}
