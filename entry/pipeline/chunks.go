package pipeline

// chunkScanner finds the end of a body in chunks, as the http.Server does, which is the only other
// parser of it. It does not know bodies that the http.Server may refuse, or in which a line ends
// otherwise than with CR and LF.
type chunkScanner struct {
	state chunkState
	// size is the size of the current chunk, or what is left of it, and digits the number of
	// digits of the size.
	size   int64
	digits int
	// last is true within the last chunk, which is empty, and behind it.
	last bool
	// lineSize is the size of the current line's chunk extension, or of the trailer so far.
	lineSize int
}

// chunkState is what a chunkScanner expects next.
type chunkState uint8

const (
	// chunkSize is a digit of a chunk's size, or the CR behind it.
	chunkSize chunkState = iota
	// chunkExtension is a byte of the extensions behind a chunk's size, or the CR behind them.
	chunkExtension
	// chunkSizeLF is the LF behind a chunk's size and extensions.
	chunkSizeLF
	// chunkData is a byte of a chunk.
	chunkData
	// chunkCR and chunkLF are the end of the line behind a chunk. Behind the last one, a line of the
	// trailer may come in place of chunkCR.
	chunkCR
	chunkLF
	// chunkTrailer is a byte of a line of the trailer, or the CR behind it, and chunkTrailerLF the LF.
	chunkTrailer
	chunkTrailerLF
)

// maxChunkLineBytes is the maximum size of a line's chunk extensions, and of a trailer. It is less than
// the http.Server takes.
const maxChunkLineBytes = 2 << 10

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
		if char == ';' && s.digits > 0 {
			s.state, s.lineSize = chunkExtension, 0
			return false, true
		}
		digit, ok := hexDigit(char)
		s.size = s.size<<4 + digit
		s.digits++
		return false, ok && s.digits <= maxChunkDigits
	case chunkExtension:
		return false, s.scanLine(char, chunkSizeLF)
	case chunkSizeLF:
		s.state, s.last = chunkData, s.size == 0
		if s.last {
			s.state, s.lineSize = chunkCR, 0
		}
		return false, char == '\n'
	case chunkCR:
		if s.last && char != '\r' {
			s.state = chunkTrailer
			return false, s.scanLine(char, chunkTrailerLF)
		}
		s.state = chunkLF
		return false, char == '\r'
	case chunkTrailer:
		return false, s.scanLine(char, chunkTrailerLF)
	case chunkTrailerLF:
		s.state = chunkCR
		return false, char == '\n'
	default:
		s.state, s.digits = chunkSize, 0
		return s.last, char == '\n'
	}
}

// scanLine scans a byte of a line whose content doesn't matter. At the CR the state becomes next. It
// returns whether the line is known so far.
func (s *chunkScanner) scanLine(char byte, next chunkState) (known bool) {
	if char == '\r' {
		s.state = next
		return true
	}
	s.lineSize++
	return char != '\n' && s.lineSize <= maxChunkLineBytes
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
