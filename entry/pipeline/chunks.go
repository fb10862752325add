package pipeline

// chunkScanner finds the end of a body in chunks. It knows bodies without chunk extensions and
// trailers only, of which all parsers make the same.
type chunkScanner struct {
	state chunkState
	// size is the size of the current chunk, or what is left of it, and digits the number of
	// digits of the size.
	size   int64
	digits int
	// last is true within the last chunk, which is empty.
	last bool
}

// chunkState is what a chunkScanner expects next.
type chunkState uint8

const (
	// chunkSize is a digit of a chunk's size, or the CR behind it.
	chunkSize chunkState = iota
	// chunkSizeLF is the LF behind a chunk's size.
	chunkSizeLF
	// chunkData is a byte of a chunk.
	chunkData
	// chunkCR and chunkLF are the end of the line behind a chunk.
	chunkCR
	chunkLF
)

// maxChunkDigits is the maximum number of digits of a chunk's size.
const maxChunkDigits = 8

// scan returns how many of the next bytes of the body, and of what follows, belong to the body,
// and whether the body is complete with them. If known is false, it is a body whose end the
// chunkScanner can't find.
func (s *chunkScanner) scan(data []byte) (count int, complete, known bool) {
	for count < len(data) {
		if s.state == chunkData {
			taken := min(s.size, int64(len(data)-count))
			count += int(taken)
			s.size -= taken
			if s.size == 0 {
				s.state = chunkCR
			}
			continue
		}
		complete, known = s.scanByte(data[count])
		count++
		if complete || !known {
			return count, complete, known
		}
	}
	return count, false, true
}

// scanByte does the same as scan for one byte that isn't of a chunk's data.
func (s *chunkScanner) scanByte(char byte) (complete, known bool) {
	switch s.state {
	case chunkSize:
		if char == '\r' && s.digits > 0 {
			s.state = chunkSizeLF
			return false, true
		}
		digit, ok := hexDigit(char)
		s.size = s.size<<4 + digit
		s.digits++
		return false, ok && s.digits <= maxChunkDigits
	case chunkSizeLF:
		s.state, s.last = chunkData, s.size == 0
		if s.last {
			s.state = chunkCR
		}
		return false, char == '\n'
	case chunkCR:
		s.state = chunkLF
		return false, char == '\r'
	default:
		s.state, s.digits = chunkSize, 0
		return s.last, char == '\n'
	}
}

// hexDigit returns the value of a hexadecimal digit, and whether the character is one.
func hexDigit(char byte) (value int64, ok bool) {
	switch {
	case '0' <= char && char <= '9':
		return int64(char - '0'), true
	case 'a' <= char && char <= 'f':
		return int64(char-'a') + 10, true
	case 'A' <= char && char <= 'F':
		return int64(char-'A') + 10, true
	}
	return 0, false
}
