package logs

import (
	"bytes"
	"slices"
	"unicode/utf8"
)

// appendLine converts a JSON object from zerolog to a line of key=value pairs and appends it to
// dst. Values that are arrays or objects stay JSON. Time, level and event come first, the other keys
// follow in alphabetical order. It stops at the first part that it cannot parse; if it can parse no
// pair, it appends the object without the white space around it.
func appendLine(dst, object []byte) []byte {
	start := len(dst)
	others := make([]pair, 0, 24)
	leading := [leadingFields][]byte{}
	for data := bytes.TrimSpace(object); ; {
		key, value, remaining, ok := nextPair(data)
		if !ok {
			break
		}
		data = remaining
		if ix := leadingFieldIndex(key); ix >= 0 {
			leading[ix] = value
			continue
		}
		others = append(others, pair{key: key, value: value})
	}
	for ix, value := range leading {
		if value != nil {
			dst = appendPair(dst, start, leadingNames[ix], value)
		}
	}
	slices.SortFunc(others, func(aa, bb pair) int { return bytes.Compare(aa.key, bb.key) })
	for _, pa := range others {
		dst = appendPair(dst, start, string(pa.key), pa.value)
	}
	if len(dst) == start {
		dst = append(dst, bytes.TrimSpace(object)...)
	}
	return append(dst, '\n')
}

// pair is one field of a line, with key and value as encoded in the JSON object.
type pair struct {
	key   []byte
	value []byte
}

// leadingFields is the number of fields at the start of a line.
const leadingFields = 3

var (
	leadingKeys  = [leadingFields]string{"time", "level", "message"}
	leadingNames = [leadingFields]string{"time", "level", "event"}
)

// leadingFieldIndex returns the position of a field at the start of a line, or -1 for other fields.
func leadingFieldIndex(key []byte) int {
	for ix, name := range leadingKeys {
		if string(key) == name {
			return ix
		}
	}
	return -1
}

// nextPair returns the next key and value of a JSON object, and the data after them.
func nextPair(data []byte) (key, value, rest []byte, ok bool) {
	quote := bytes.IndexByte(data, '"')
	if quote < 0 {
		return nil, nil, nil, false
	}
	end := stringLen(data[quote:])
	if end < 0 {
		return nil, nil, nil, false
	}
	key = data[quote+1 : quote+end-1]
	data = data[quote+end:]
	if len(data) < 2 || data[0] != ':' {
		return nil, nil, nil, false
	}
	data = data[1:]
	size := valueLen(data)
	if size <= 0 {
		return nil, nil, nil, false
	}
	return key, data[:size], data[size:], true
}

// stringLen returns the length of the JSON string at the start of the data, quotes included, or -1
// if it is not terminated.
func stringLen(data []byte) int {
	for ix := 1; ix < len(data); ix++ {
		switch data[ix] {
		case '\\':
			ix++
		case '"':
			return ix + 1
		}
	}
	return -1
}

// valueLen returns the length of the JSON value at the start of the data, or -1 if the value or the
// object around it is not terminated.
func valueLen(data []byte) int {
	if data[0] == '"' {
		return stringLen(data)
	}
	depth := 0
	for ix := 0; ix < len(data); ix++ {
		switch data[ix] {
		case '"':
			size := stringLen(data[ix:])
			if size < 0 {
				return -1
			}
			ix += size - 1
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return ix
			}
			depth--
		case ',':
			if depth == 0 {
				return ix
			}
		}
	}
	return -1
}

// appendPair appends one key=value pair to the line that begins at dst[start]. The quotes of a
// string are left out unless it is empty or contains a space, a control character below the space,
// a quote, a backslash, = or a non-ASCII character.
func appendPair(dst []byte, start int, name string, value []byte) []byte {
	if len(dst) > start {
		dst = append(dst, ' ')
	}
	dst = append(dst, name...)
	dst = append(dst, '=')
	if len(value) > 2 && value[0] == '"' && canOmitQuotes(value[1:len(value)-1]) {
		return append(dst, value[1:len(value)-1]...)
	}
	return append(dst, value...)
}

// canOmitQuotes reports whether the text can be written without quotes.
func canOmitQuotes(text []byte) bool {
	for _, by := range text {
		if by <= ' ' || by == '"' || by == '\\' || by == '=' || by >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
