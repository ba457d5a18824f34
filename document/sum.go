package document

import (
	"encoding/binary"
	"math/bits"
)

// sum is a number of 256 bits, lowest word first; additions carry over its end. Adding the hashes of parts gives a digest of a set of
// parts that doesn't depend on their order (AdHash, Bellare and Micciancio, 1997).
type sum [4]uint64

func sumOf(hash [32]byte) sum {
	made := sum{}
	for word := range made {
		made[word] = binary.LittleEndian.Uint64(hash[word*8:])
	}
	return made
}

func (total *sum) add(other sum) {
	carry := uint64(0)
	for word := range total {
		total[word], carry = bits.Add64(total[word], other[word], carry)
	}
}

func (total *sum) subtract(other sum) {
	borrow := uint64(0)
	for word := range total {
		total[word], borrow = bits.Sub64(total[word], other[word], borrow)
	}
}

func (total sum) bytes() []byte {
	content := make([]byte, 0, 32)
	for _, word := range total {
		content = binary.BigEndian.AppendUint64(content, word)
	}
	return content
}
