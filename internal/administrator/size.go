package administrator

// maxValues is the most values that the body of a request may hold. A site of 1,100 workers and
// 77 teams has 2,000.
const maxValues = 8192

// countValues returns how many values JSON text separates by commas.
func countValues(body []byte) int {
	n, inText := 1, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inText && c == '\\':
			i++ // the next byte is part of the text
		case c == '"':
			inText = !inText
		case c == ',' && !inText:
			n++
		}
	}
	return n
}
