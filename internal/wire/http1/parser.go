package http1

// Parser parses the messages of a connection, one after the other, as their data arrives. It continues where it stopped, so that
// a message in many small fragments costs no more than one that is received at once. The zero value is ready to use.
//
// Each call is passed all data from the beginning of the current message. The parser starts with the next message when a call has
// returned a length above 0, or after Reset.
type Parser struct {
	headLength int // 0 while the head is incomplete
	body       framing
	chunks     chunkDecoder
	decoded    int    // bytes of the chunked body that have been decoded
	content    []byte // data of the chunks so far
}

// Reset makes the parser start with a new message.
func (p *Parser) Reset() { *p = Parser{} }

// Memory returns the bytes of memory that the parser takes, in addition to the data that it is passed.
func (p *Parser) Memory() int { return cap(p.content) }

// Request parses a request like ParseRequest.
func (p *Parser) Request(data []byte, limits Limits, request *Message) (int, error) {
	if p.headLength == 0 {
		length, body, err := request.parseRequestHead(data, limits)
		if length == 0 || err != nil {
			return 0, err
		}
		p.startBody(length, body, limits)
	}
	return p.parseBody(data, request)
}

// Response parses a response like ParseResponse.
func (p *Parser) Response(data []byte, requestMethod string, limits Limits, response *Message) (int, error) {
	if p.headLength == 0 {
		lines, length, err := splitHead(data, limits)
		if length == 0 || err != nil {
			return 0, err
		}
		body, err := response.parseResponseHead(lines, limits)
		if err != nil {
			return 0, err
		}
		if response.bodyless(requestMethod) {
			return length, nil
		}
		p.startBody(length, body, limits)
	}
	if p.body.kind == unframed {
		response.UntilClose = true
		response.Close = true
		if len(data)-p.headLength > limits.Body {
			return 0, errorf(statusBadGateway, "body exceeds %d bytes", limits.Body)
		}
		return 0, nil
	}
	length, err := p.parseBody(data, response)
	if err != nil {
		return 0, errorf(statusBadGateway, "%v", err)
	}
	return length, nil
}

func (p *Parser) startBody(headLength int, body framing, limits Limits) {
	p.headLength = headLength
	p.body = body
	p.chunks = chunkDecoder{maxBody: limits.Body, maxTrailers: limits.Head}
}

// parseBody parses the body that follows the head. It returns the length of head and body together, or 0 while the body is
// incomplete.
func (p *Parser) parseBody(data []byte, message *Message) (int, error) {
	length := p.headLength
	switch p.body.kind {
	case chunked:
		content, count, err := p.chunks.decode(data[p.headLength+p.decoded:], p.content)
		p.content = content
		p.decoded += count
		if err != nil || p.chunks.state != chunksEnded {
			return 0, err
		}
		length += p.decoded
		message.Body = p.content
		if message.Body == nil {
			message.Body = []byte{} // the body is empty, but present
		}
	case byLength:
		length += p.body.length
		if len(data) < length {
			return 0, nil
		}
		if p.body.length > 0 {
			message.Body = data[p.headLength:length]
		}
	case unframed:
	}
	p.Reset()
	return length, nil
}
