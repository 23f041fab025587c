package logs

import (
	"bytes"
	"slices"
	"unicode/utf8"
)

// appendLine renders a flat JSON object of the logging library as key=value pairs: the
// time, the level and the event first, the rest by name. What it cannot read it
// leaves as it is.
func appendLine(dst, object []byte) []byte {
	start := len(dst)
	rest := make([]pair, 0, 24)
	head := [headFields][]byte{}
	for data := bytes.TrimSpace(object); ; {
		key, value, after, ok := nextPair(data)
		if !ok {
			break
		}
		data = after
		if ix := headField(key); ix >= 0 {
			head[ix] = value
			continue
		}
		rest = append(rest, pair{key: key, value: value})
	}
	for ix, value := range head {
		if value != nil {
			dst = appendPair(dst, start, headNames[ix], value)
		}
	}
	slices.SortFunc(rest, func(aa, bb pair) int { return bytes.Compare(aa.key, bb.key) })
	for _, pa := range rest {
		dst = appendPair(dst, start, string(pa.key), pa.value)
	}
	if len(dst) == start {
		dst = append(dst, bytes.TrimSpace(object)...)
	}
	return append(dst, '\n')
}

// pair is one field of a line, both parts as they stand in the JSON object.
type pair struct {
	key   []byte
	value []byte
}

// headFields is the number of fields that open a line.
const headFields = 3

var (
	headKeys  = [headFields]string{"time", "level", "message"}
	headNames = [headFields]string{"time", "level", "event"}
)

// headField returns the place of a field that opens the line, or -1.
func headField(key []byte) int {
	for ix, name := range headKeys {
		if string(key) == name {
			return ix
		}
	}
	return -1
}

// nextPair cuts the next key and value off a JSON object.
func nextPair(data []byte) (key, value, rest []byte, ok bool) {
	quote := bytes.IndexByte(data, '"')
	if quote < 0 {
		return nil, nil, nil, false
	}
	end := stringEnd(data[quote:])
	if end < 0 {
		return nil, nil, nil, false
	}
	key = data[quote+1 : quote+end-1]
	data = data[quote+end:]
	if len(data) < 2 || data[0] != ':' {
		return nil, nil, nil, false
	}
	data = data[1:]
	size := valueEnd(data)
	if size <= 0 {
		return nil, nil, nil, false
	}
	return key, data[:size], data[size:], true
}

// stringEnd returns the length of the JSON string that opens the data, or -1.
func stringEnd(data []byte) int {
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

// valueEnd returns the length of the JSON value that opens the data, or -1.
func valueEnd(data []byte) int {
	if data[0] == '"' {
		return stringEnd(data)
	}
	depth := 0
	for ix := 0; ix < len(data); ix++ {
		switch data[ix] {
		case '"':
			size := stringEnd(data[ix:])
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

// appendPair adds one key=value pair; a string without spaces, quotes or escapes stands bare.
func appendPair(dst []byte, start int, name string, value []byte) []byte {
	if len(dst) > start {
		dst = append(dst, ' ')
	}
	dst = append(dst, name...)
	dst = append(dst, '=')
	if len(value) > 2 && value[0] == '"' && bare(value[1:len(value)-1]) {
		return append(dst, value[1:len(value)-1]...)
	}
	return append(dst, value...)
}

// bare tells whether a text needs no quotes.
func bare(text []byte) bool {
	for _, by := range text {
		if by <= ' ' || by == '"' || by == '\\' || by == '=' || by >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
