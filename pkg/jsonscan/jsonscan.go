// Package jsonscan reads JSON from a byte slice without allocating, so that a decoder can
// check a body of an untrusted client before it builds anything. It accepts the syntax
// that encoding/json accepts, except that nesting is limited to MaxDepth, and it matches
// names of fields as encoding/json does.
package jsonscan

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// MaxDepth is the deepest nesting of arrays and objects in a skipped value.
const MaxDepth = 64

// maxNumberBytes bounds the text of a decoded number. No float64 needs more than 24 bytes
// to be written exactly; strconv copies a number that it cannot parse.
const maxNumberBytes = 100

// ErrInvalid tells where a text is not what the decoder expects, and why.
type ErrInvalid struct {
	Offset int
	Cause  string
}

func (e *ErrInvalid) Error() string { return fmt.Sprintf("offset %d: %s", e.Offset, e.Cause) }

// Scanner reads JSON values in sequence. After the first error all methods return zero
// values, so that only Err has to be checked.
type Scanner struct {
	data []byte
	pos  int
	err  error
}

// New returns a Scanner at the start of a text, which must not change while it is used.
func New(data []byte) Scanner { return Scanner{data: data} }

// Err returns the first error.
func (s *Scanner) Err() error { return s.err }

// Fail sets the error, unless there is one.
func (s *Scanner) Fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// Invalid sets an *ErrInvalid at the present position, unless there is an error.
func (s *Scanner) Invalid(cause string) {
	if s.pos >= len(s.data) {
		cause = "unexpected EOF: " + cause
	}
	if s.err == nil {
		s.err = &ErrInvalid{Offset: s.pos, Cause: cause}
	}
}

// peek skips white space and returns the next byte, or 0 at the end.
func (s *Scanner) peek() byte {
	for s.pos < len(s.data) {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return c
		}
	}
	return 0
}

// End fails if anything follows.
func (s *Scanner) End() {
	s.peek()
	if s.err == nil && s.pos < len(s.data) {
		s.Invalid("text follows the value")
	}
}

// Begin reads the opening bracket of an array or object and reports whether an element
// follows.
func (s *Scanner) Begin(open byte) bool {
	if s.err != nil {
		return false
	}
	if s.peek() != open {
		s.Invalid("a list or an object is expected")
		return false
	}
	s.pos++
	if s.peek() == closing(open) {
		s.pos++
		return false
	}
	return true
}

// More reads what follows an element of an array or object and reports whether another
// element follows.
func (s *Scanner) More(open byte) bool {
	if s.err != nil {
		return false
	}
	switch s.peek() {
	case ',':
		s.pos++
		return true
	case closing(open):
		s.pos++
	default:
		s.Invalid("a comma or the end of the list or object is expected")
	}
	return false
}

func closing(open byte) byte {
	if open == '{' {
		return '}'
	}
	return ']'
}

// Key reads the name of a field of an object.
func (s *Scanner) Key() Text {
	t := s.Text()
	if s.err == nil && s.peek() != ':' {
		s.Invalid("a colon is expected")
	}
	if s.err == nil {
		s.pos++
	}
	return t
}

// Null reads a null and returns true if there is one.
func (s *Scanner) Null() bool { return s.peek() == 'n' && s.literal("null") }

func (s *Scanner) literal(text string) bool {
	if s.err != nil {
		return false
	}
	if len(s.data)-s.pos < len(text) || string(s.data[s.pos:s.pos+len(text)]) != text {
		s.Invalid("a value is expected")
		return false
	}
	s.pos += len(text)
	return true
}

// Bool reads true or false into the value, or a null, which leaves it as it is.
func (s *Scanner) Bool(value *bool) {
	switch s.peek() {
	case 't':
		*value = s.literal("true") || *value
	case 'f':
		*value = !s.literal("false") && *value
	case 'n':
		s.literal("null")
	default:
		s.Invalid("true or false is expected")
	}
}

// Int reads an integer into the value, or a null, which leaves it as it is.
func (s *Scanner) Int(value *int) {
	var wide int64
	if text := s.decodedNumber(); text != nil {
		var ok bool
		if wide, ok = parseInt(text); !ok || int64(int(wide)) != wide {
			s.Invalid("an integer is expected")
			return
		}
		*value = int(wide)
	}
}

// Int64 reads an integer into the value, or a null, which leaves it as it is.
func (s *Scanner) Int64(value *int64) {
	if text := s.decodedNumber(); text != nil {
		wide, ok := parseInt(text)
		if !ok {
			s.Invalid("an integer is expected")
			return
		}
		*value = wide
	}
}

// Float reads a number into the value, or a null, which leaves it as it is.
func (s *Scanner) Float(value *float64) {
	text := s.decodedNumber()
	if text == nil {
		return
	}
	if wide, ok := parseInt(text); ok && wide > 0 && wide < 1<<53 {
		*value = float64(wide)
		return
	}
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		s.Invalid("a number in the range of float64 is expected")
		return
	}
	*value = f
}

// decodedNumber returns the text of a number, or nil if there is a null or an error.
func (s *Scanner) decodedNumber() []byte {
	if s.Null() || s.err != nil {
		return nil
	}
	text := s.number()
	if len(text) > maxNumberBytes {
		s.Invalid("the number is too long")
	}
	if s.err != nil {
		return nil
	}
	return text
}

// parseInt parses the text of a JSON number without fraction and exponent.
func parseInt(text []byte) (int64, bool) {
	digits := text
	if text[0] == '-' {
		digits = text[1:]
	}
	if len(digits) > len("9223372036854775808") {
		return 0, false
	}
	var n uint64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	switch {
	case len(digits) < len(text) && n <= -math.MinInt64:
		return -int64(n), true
	case len(digits) == len(text) && n <= math.MaxInt64:
		return int64(n), true
	}
	return 0, false
}

func (s *Scanner) number() []byte {
	if s.err != nil {
		return nil
	}
	s.peek()
	start := s.pos
	if s.at('-') {
		s.pos++
	}
	if s.at('0') {
		s.pos++
	} else {
		s.digits()
	}
	if s.at('.') {
		s.pos++
		s.digits()
	}
	if s.at('e') || s.at('E') {
		s.pos++
		if s.at('+') || s.at('-') {
			s.pos++
		}
		s.digits()
	}
	return s.data[start:s.pos]
}

func (s *Scanner) at(c byte) bool { return s.pos < len(s.data) && s.data[s.pos] == c }

func (s *Scanner) digits() {
	start := s.pos
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' {
		s.pos++
	}
	if s.pos == start {
		s.Invalid("a value is expected")
	}
}

// Text reads a string.
func (s *Scanner) Text() Text {
	if s.err != nil {
		return Text{}
	}
	if s.peek() != '"' {
		s.Invalid("a string is expected")
		return Text{}
	}
	s.pos++
	t := Text{plain: true}
	for start := s.pos; s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; {
		case c == '"':
			t.raw = s.data[start:s.pos]
			s.pos++
			return t
		case c == '\\':
			t.plain = false
			if s.escape(); s.err != nil {
				return Text{}
			}
		case c < ' ':
			s.Invalid("a control character is in a string")
			return Text{}
		case c >= utf8.RuneSelf:
			t.plain = false
		}
	}
	s.Invalid("the end of a string is missing")
	return Text{}
}

// escape moves to the last byte of an escape sequence.
func (s *Scanner) escape() {
	s.pos++
	if s.pos >= len(s.data) || !strings.ContainsRune(`"\/bfnrtu`, rune(s.data[s.pos])) {
		s.Invalid("an escape sequence is expected")
		return
	}
	if s.data[s.pos] != 'u' {
		return
	}
	if hex4(s.data[s.pos+1:]) < 0 {
		s.Invalid("four hexadecimal digits are expected")
		return
	}
	s.pos += 4
}

// hex4 returns the value of the first four hexadecimal digits, or -1.
func hex4(b []byte) rune {
	if len(b) < 4 {
		return -1
	}
	var r rune
	for _, c := range b[:4] {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return -1
		}
		r = r*16 + rune(c)
	}
	return r
}

// Skip reads a value of any kind. It fails if the value is nested too deeply.
func (s *Scanner) Skip() {
	var open [MaxDepth]byte
	for depth := 0; s.err == nil; {
		switch c := s.peek(); c {
		case '{', '[':
			if depth == MaxDepth {
				s.Invalid("the value is nested too deeply")
				return
			}
			if s.Begin(c) {
				open[depth] = c
				depth++
				s.keyIn(c)
				continue
			}
		case '"':
			s.Text()
		case 't':
			s.literal("true")
		case 'f':
			s.literal("false")
		case 'n':
			s.literal("null")
		default:
			s.number()
		}
		for depth > 0 && !s.More(open[depth-1]) && s.err == nil {
			depth--
		}
		if depth == 0 {
			return
		}
		s.keyIn(open[depth-1])
	}
}

func (s *Scanner) keyIn(open byte) {
	if open == '{' {
		s.Key()
	}
}

// Raw reads a value of any kind and returns its text.
func (s *Scanner) Raw() []byte {
	s.peek()
	start := s.pos
	s.Skip()
	if s.err != nil {
		return nil
	}
	return s.data[start:s.pos]
}

// Text is a string of the text that is read, still in its encoded form.
type Text struct {
	raw   []byte
	plain bool // ASCII without escape sequences
}

// Len returns the length of the decoded string.
func (t Text) Len() int {
	if t.plain {
		return len(t.raw)
	}
	n := 0
	for rest := t.raw; len(rest) > 0; {
		r, size := next(rest)
		n += utf8.RuneLen(r)
		rest = rest[size:]
	}
	return n
}

// ASCII returns the string without a copy if it is ASCII without escape sequences.
func (t Text) ASCII() ([]byte, bool) { return t.raw, t.plain }

// String returns a copy of the decoded string. As in encoding/json, what is not valid
// UTF-8 or UTF-16 becomes U+FFFD.
func (t Text) String() string {
	if t.plain {
		return string(t.raw)
	}
	var b strings.Builder
	b.Grow(t.Len())
	for rest := t.raw; len(rest) > 0; {
		r, size := next(rest)
		b.WriteRune(r)
		rest = rest[size:]
	}
	return b.String()
}

// Is reports whether the string is this name of a field, under Unicode case folding as in
// encoding/json. The name is ASCII.
func (t Text) Is(name string) bool {
	if t.plain {
		return len(t.raw) == len(name) && (string(t.raw) == name || strings.EqualFold(string(t.raw), name))
	}
	var decoded [128]byte
	n := 0
	for rest := t.raw; len(rest) > 0; {
		r, size := next(rest)
		if n+utf8.UTFMax > len(decoded) {
			return false
		}
		n += utf8.EncodeRune(decoded[n:], r)
		rest = rest[size:]
	}
	return strings.EqualFold(string(decoded[:n]), name)
}

var escapes = [256]rune{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// next decodes the first character of the inside of a string that Scanner.Text has
// checked, and returns the number of bytes that encode it.
func next(b []byte) (rune, int) {
	if b[0] != '\\' {
		return utf8.DecodeRune(b)
	}
	if b[1] != 'u' {
		return escapes[b[1]], 2
	}
	r := hex4(b[2:])
	if !utf16.IsSurrogate(r) {
		return r, 6
	}
	if len(b) >= 12 && b[6] == '\\' && b[7] == 'u' {
		if pair := utf16.DecodeRune(r, hex4(b[8:])); pair != utf8.RuneError {
			return pair, 12
		}
	}
	return utf8.RuneError, 6
}
