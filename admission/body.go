package admission

const (
	// MaxBodyPart bounds one part of a body in bytes. A body up to this size is one part, and goes to a server in one write with its head.
	MaxBodyPart = 64 << 10
	// firstBodyPart is the size of the first part of a body of unknown length.
	firstBodyPart = 4 << 10
)

// NextBodyPart returns the size of the next part of a body of which so many bytes were read. announced is its length, or less than 0 if that is
// unknown; such a body may turn out to be one byte over the limit.
func NextBodyPart(announced, read, limit int64) int64 {
	if announced >= 0 {
		return max(1, min(announced-read, MaxBodyPart))
	}
	return min(max(firstBodyPart, read), MaxBodyPart, limit-read+1)
}

// BodyPartMemory returns the memory that a part takes. The first one is copied behind the head when the request is sent.
func BodyPartMemory(size int64, isFirst bool) int64 {
	if isFirst {
		return 2 * size
	}
	return size
}
